package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// timeline is virtual time in steps of 1 ms.
type timeline struct {
	now    time.Duration
	events map[time.Duration][]func()
}

// after calls a function after a delay, at the next full millisecond.
func (timeline *timeline) after(delay time.Duration, call func()) {
	at := (timeline.now + max(delay, 0)).Truncate(time.Millisecond) + time.Millisecond
	timeline.events[at] = append(timeline.events[at], call)
}

func (timeline *timeline) run(until time.Duration) {
	for ; timeline.now < until; timeline.now += time.Millisecond {
		for _, call := range timeline.events[timeline.now] {
			call()
		}
		delete(timeline.events, timeline.now)
	}
}

const (
	testSlots   = 34 // of a group
	testQueue   = 68 // requests that a group queues beyond its slots
	testPrompt  = 674
	passSteps   = 5
	passPrompts = passSteps * 2048 / testPrompt // prompts that a group reads in one pass at most
)

// stream is a request at a group.
type stream struct {
	priority int
	events   int // that are still to come
	gone     bool
	begun    bool
	first    func() // called at the first event
	end      func()
}

// group is an engine: each pass reads the prompts that are new in its slots and ends with one
// event of each running stream. A pass takes longer the more streams run.
type group struct {
	timeline       *timeline
	slowness       *float64 // factor of all times
	running, queue []*stream
	busy           bool
}

// add queues a stream behind those of its priority, and reports whether there is room.
func (group *group) add(added *stream) bool {
	if len(group.queue) >= testQueue {
		return false
	}
	place := slices.IndexFunc(group.queue, func(queued *stream) bool { return queued.priority > added.priority })
	if place < 0 {
		place = len(group.queue)
	}
	group.queue = slices.Insert(group.queue, place, added)
	if !group.busy {
		group.pass()
	}
	return true
}

func (group *group) pass() {
	isGone := func(stream *stream) bool { return stream.gone }
	group.running, group.queue = slices.DeleteFunc(group.running, isGone), slices.DeleteFunc(group.queue, isGone)
	admitted := min(testSlots-len(group.running), len(group.queue), passPrompts)
	group.running = append(group.running, group.queue[:admitted]...)
	group.queue = group.queue[admitted:]
	group.busy = len(group.running) > 0
	if !group.busy {
		return
	}
	group.timeline.after(passTime(len(group.running), admitted, *group.slowness), func() {
		for _, stream := range group.running {
			if !stream.begun && !stream.gone {
				stream.begun = true
				stream.first()
			}
			if stream.events--; stream.events == 0 {
				stream.end()
				stream.gone = true
			}
		}
		group.pass()
	})
}

// passTime returns how long a pass takes that reads the given number of prompts.
func passTime(running, prompts int, slowness float64) time.Duration {
	milliseconds := passSteps*(6.07+0.241*float64(running)) + float64(prompts*testPrompt)/46
	return time.Duration(slowness * milliseconds * float64(time.Millisecond))
}

const (
	testObjective  = 500 * time.Millisecond
	testTimeout    = 2500 * time.Millisecond
	meanEvents     = 16                      // of an answer: 5 to 27
	testGiveUp     = 2 * time.Second         // without an event
	testWindow     = 2 * time.Second         // in which requests on time are counted
	testExpiry     = 3 * time.Second         // of a box's report
	testDuration   = 1600 * time.Millisecond // mean of streams, as the spreader knows it
	eagerDelay     = 50 * time.Millisecond   // after which callers retry that do not honor Retry-After
	maxEagerTries  = 20
	usualLoad      = 0.85 // traffic before and after the overload, of the capacity
	overloadBegins = 4 * time.Second
	overloadEnds   = 14 * time.Second
	playEnds       = 20 * time.Second
	failsAt        = 9 * time.Second
)

// scales are the numbers of boxes, with the number of groups of each partition.
var scales = map[int]int{9: 6, 66: 12, 300: 24}

// groupRate is how many requests per second a group with full slots completes.
func groupRate() float64 {
	const arrivals = float64(testSlots) / meanEvents // in each pass
	pass := passTime(testSlots, 0, 1).Seconds() + arrivals*testPrompt/46/1000
	return arrivals / pass
}

// caller is one caller with its attempts.
type caller struct {
	digest  uint64
	account shedkeel.AccountID
	born    time.Duration
	tries   int
	eager   bool
	late    bool // it has used up its objective before the play knows it
	onTime  bool
	begun   bool
	leaves  time.Duration
}

// box is what a box knows and reports with its next request.
type box struct {
	running  int
	outcomes Outcomes
}

// holder is a node that decides, with what the boxes have reported to it.
type holder struct {
	Controller
	running  []float64
	reported []time.Duration
}

// play is a replay of a load. The zero value of each field that is not set by newPlay is the plain case.
type play struct {
	timeline
	random   *rand.Rand
	groups   []*group
	boxes    []box
	slowness float64
	holders  []*holder
	holderOf func(box int) int // index in holders
	decide   func(holder *holder, request Request, load Load, now time.Duration) Decision
	callers  []*caller
	lateNow  int // leftovers that run
}

func newPlay(boxes int, seed uint64) *play {
	play := &play{timeline: timeline{events: map[time.Duration][]func(){}}, random: rand.New(rand.NewPCG(seed, 1)), boxes: make([]box, boxes), slowness: 1}
	for range scales[boxes] {
		play.groups = append(play.groups, &group{timeline: &play.timeline, slowness: &play.slowness})
	}
	play.addHolder()
	play.holderOf = func(int) int { return 0 }
	play.decide = func(holder *holder, request Request, load Load, now time.Duration) Decision {
		return holder.Decide(request, load, now)
	}
	return play
}

func (play *play) addHolder() {
	holder := &holder{running: make([]float64, len(play.boxes)), reported: make([]time.Duration, len(play.boxes))}
	for index := range holder.reported {
		holder.reported[index] = -testExpiry
	}
	play.holders = append(play.holders, holder)
}

func (play *play) slots() float64 { return float64(len(play.groups) * testSlots) }

// capacity is the number of requests per second that all groups complete.
func (play *play) capacity() float64 { return groupRate() * float64(len(play.groups)) }

// arrive has callers of an account arrive at random times, at a rate per second.
func (play *play) arrive(account shedkeel.AccountID, rate float64, from, until time.Duration, eagerShare float64) {
	for at := from; ; {
		at += time.Duration(play.random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return
		}
		play.enter(&caller{account: account, eager: play.random.Float64() < eagerShare}, at)
	}
}

func (play *play) enter(caller *caller, at time.Duration) {
	caller.digest, caller.born, caller.leaves = play.random.Uint64(), at, at+testTimeout
	if caller.late {
		caller.born -= testObjective + time.Millisecond
	}
	play.callers = append(play.callers, caller)
	play.after(at-play.now, func() { play.try(caller) })
}

// try makes an attempt of a caller at a random box.
func (play *play) try(caller *caller) {
	if play.now >= caller.leaves {
		return
	}
	caller.tries++
	from := play.random.IntN(len(play.boxes))
	box, holder := &play.boxes[from], play.holders[play.holderOf(from)]
	load := Load{Running: holder.report(from, box.running, play.now), Slots: play.slots()}
	if box.outcomes.Met+box.outcomes.Missed > 0 {
		holder.Observe(box.outcomes, load, play.now)
		box.outcomes = Outcomes{}
	}
	chosen := slices.MinFunc(play.groups, func(a, b *group) int { return len(a.running) + len(a.queue) - len(b.running) - len(b.queue) })
	request := Request{Account: caller.account, Digest: caller.digest, Objective: testObjective, Remaining: caller.leaves - play.now, Queueing: chosen.delay(), Work: 1.6}
	if caller.late {
		request.Waited = play.now - caller.born
	}
	decision := play.decide(holder, request, load, play.now)
	if decision.Class == Reject || !play.send(caller, box, chosen, decision) {
		play.refuse(caller, decision.RetryAfter)
		return
	}
	holder.running[from]++
}

// report records the requests that run at a box, and returns those of all boxes.
func (holder *holder) report(from, running int, now time.Duration) (all float64) {
	holder.running[from], holder.reported[from] = float64(running), now
	for index, known := range holder.running {
		if age := now - holder.reported[index]; age < testExpiry {
			all += known * math.Exp(-age.Seconds()/testDuration.Seconds())
		}
	}
	return all
}

// delay is the expected delay of a first event by the streams of the group.
func (group *group) delay() time.Duration {
	delay := passTime(len(group.running), 0, 1) - passTime(0, 0, 1)
	if waiting := len(group.running) + len(group.queue) - testSlots; waiting >= 0 {
		delay += time.Duration(float64(waiting+1) / groupRate() * float64(time.Second))
	}
	return delay
}

// refuse has a caller retry once when it was told to, if that is within a third of the time that it
// has left, or at once and often if it is eager.
func (play *play) refuse(caller *caller, retryAfter time.Duration) {
	switch {
	case caller.eager && caller.tries < maxEagerTries:
		play.after(eagerDelay, func() { play.try(caller) })
	case !caller.eager && caller.tries < 2:
		play.after(min(retryAfter, (caller.leaves-play.now)/3), func() { play.try(caller) })
	}
}

// send sends an admitted request to a group, and reports whether the group takes it.
func (play *play) send(caller *caller, box *box, chosen *group, decision Decision) bool {
	sent, counted, onTime := play.now, decision.Class != OnTime, decision.Class == OnTime
	idle := passTime(1, 1, play.slowness)
	observe := func() {
		if counted {
			return
		}
		counted = true
		elapsed := play.now - sent
		if elapsed <= decision.Due {
			box.outcomes.Met++
		} else {
			box.outcomes.Missed++
		}
		box.outcomes.Expected += decision.Queueing
		box.outcomes.Actual += max(elapsed-idle, 0)
	}
	leave := func() {
		box.running--
		if !onTime {
			play.lateNow--
		}
	}
	added := &stream{events: 5 + play.random.IntN(2*meanEvents-9), end: leave}
	if !onTime {
		added.priority = 9
	}
	added.first = func() {
		observe()
		caller.begun, caller.onTime = true, play.now-caller.born <= testObjective
	}
	if !chosen.add(added) {
		return false
	}
	box.running++
	if !onTime {
		play.lateNow++
	}
	play.after(decision.Due+time.Millisecond, observe)
	play.after(testGiveUp, func() {
		if !added.begun && !added.gone {
			added.gone = true
			leave()
		}
	})
	return true
}

// onTime counts the callers that arrived in the time and got their first event on time, and all of them.
func (play *play) onTime(from, until time.Duration, account shedkeel.AccountID) (onTime, all int) {
	for _, caller := range play.callers {
		if caller.born >= from && caller.born < until && caller.account == account {
			all++
			if caller.onTime {
				onTime++
			}
		}
	}
	return onTime, all
}

// held returns the lowest of the windows that begin from a time on, as a fraction of the best window of
// the span.
func (play *play) held(spanFrom, from, until time.Duration) float64 {
	best, worst := 0, math.MaxInt
	for begin := spanFrom; begin+testWindow <= until; begin += testWindow {
		onTime, _ := play.onTime(begin, begin+testWindow, "")
		best = max(best, onTime)
		if begin >= from {
			worst = min(worst, onTime)
		}
	}
	return float64(worst) / float64(best)
}

// overloaded runs a play with traffic of usualLoad of the capacity and a multiple of it in the middle.
func (play *play) overloaded(times, eagerShare float64) {
	play.arrive("", usualLoad*play.capacity(), 0, overloadBegins, 0)
	play.arrive("", times*play.capacity(), overloadBegins, overloadEnds, eagerShare)
	play.arrive("", usualLoad*play.capacity(), overloadEnds, playEnds, 0)
	play.run(playEnds + testTimeout)
}

// answered returns the fraction of the callers of the overload that got any event.
func (play *play) answered() float64 {
	answered, all := 0, 0
	for _, caller := range play.callers {
		if caller.born >= overloadBegins && caller.born < overloadEnds {
			all++
			if caller.begun {
				answered++
			}
		}
	}
	return float64(answered) / float64(all)
}

// The bounds of the aims.
const (
	minHeld      = 0.95 // of the best window
	minRecovered = 0.95 // on time, once the overload is over for settledAfter
	minSmall     = 0.95 // on time, of an account that asks for less than its share
	settledAfter = 2 * time.Second
)

// checkHeld checks the aims of a load with an overload in the middle.
func (play *play) checkHeld(t *testing.T) {
	t.Helper()
	held := play.held(0, overloadBegins+testWindow, overloadEnds)
	onTime, all := play.onTime(overloadEnds+settledAfter, playEnds, "")
	recovered := float64(onTime) / float64(all)
	t.Logf("held %.3f of the best window, answered %.3f, %.3f on time afterwards, limit %.2f", held, play.answered(), recovered, play.holders[0].limit.Fraction())
	assert.Check(t, held >= minHeld, "held %.3f of the best window", held)
	assert.Check(t, recovered >= minRecovered, "%.3f on time after the overload", recovered)
}

// forScales runs a test at each scale.
func forScales(t *testing.T, name string, test func(*testing.T, *play)) {
	t.Helper()
	for boxes := range scales {
		t.Run(fmt.Sprint(name, "/", boxes, " boxes"), func(t *testing.T) {
			t.Parallel()
			test(t, newPlay(boxes, 5))
		})
	}
}

// TestOverload guards against losing the requests that could be on time to those that cannot, while
// traffic is above the capacity, and against effects that outlast the overload.
func TestOverload(t *testing.T) {
	cases := map[string]struct{ times, eager float64 }{
		"twice":                          {2, 0},
		"three times":                    {3, 0},
		"twice with eager callers":       {2, 0.3},
		"three times with eager callers": {3, 0.3},
	}
	for name, test := range cases {
		forScales(t, name, func(t *testing.T, play *play) {
			play.overloaded(test.times, test.eager)
			play.checkHeld(t)
		})
	}
}

// TestHolderFails guards against a loss of requests on time after a failure of the node that holds the
// controller: in mid-overload it is replaced by one without history, or another one decides for 2 s, or
// from then on each of two decides for half of the boxes.
func TestHolderFails(t *testing.T) {
	cases := map[string]func(play *play, box int) int{
		"replaced": func(play *play, _ int) int { return ifTrue(play.now >= failsAt) },
		"frozen":   func(play *play, _ int) int { return ifTrue(play.now >= failsAt && play.now < failsAt+2*time.Second) },
		"two":      func(play *play, box int) int { return ifTrue(play.now >= failsAt && box%2 == 1) },
	}
	for name, holderOf := range cases {
		forScales(t, name, func(t *testing.T, play *play) {
			play.addHolder()
			play.holderOf = func(box int) int { return holderOf(play, box) }
			play.overloaded(2, 0)
			play.checkHeld(t)
		})
	}
}

func ifTrue(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// TestSlowEngines guards against a limit that stays too high after engines have become half as fast.
func TestSlowEngines(t *testing.T) {
	forScales(t, "half as fast", func(t *testing.T, play *play) {
		const slowAt = 8 * time.Second
		play.after(slowAt, func() { play.slowness = 2 })
		play.after(overloadEnds, func() { play.slowness = 1 })
		play.overloaded(2, 0)
		fast, slow := play.held(0, overloadBegins+testWindow, slowAt), play.held(slowAt+testWindow, slowAt+testWindow, overloadEnds)
		before, _ := play.onTime(slowAt-testWindow, slowAt, "")
		after, _ := play.onTime(slowAt+testWindow, slowAt+2*testWindow, "")
		t.Logf("held %.3f and %.3f, on time in a window before %d, after %d", fast, slow, before, after)
		assert.Check(t, fast >= minHeld, "held %.3f before", fast)
		assert.Check(t, slow >= minHeld, "held %.3f after", slow)
		assert.Check(t, float64(after) >= minHeld/2*float64(before), "%d on time after %d: less than the capacity that is left", after, before)
	})
}

// TestCrowd guards against a crowd in which requests that are late already take the slots of those that
// can be on time, on a controller without history.
func TestCrowd(t *testing.T) {
	forScales(t, "crowd", func(t *testing.T, play *play) {
		onTime := map[bool]int{}
		for _, withLate := range []bool{false, true} {
			crowd := newPlay(len(play.boxes), 5)
			for index := range int(3 * crowd.slots()) {
				at := time.Minute + time.Duration(index%50)*time.Millisecond
				if index%2 == 0 {
					crowd.enter(&caller{}, at)
				} else if withLate {
					crowd.enter(&caller{late: true}, at)
				}
			}
			crowd.now = time.Minute
			crowd.run(time.Minute + testTimeout)
			for _, caller := range crowd.callers {
				if caller.onTime && !caller.late {
					onTime[withLate]++
				}
			}
		}
		t.Logf("on time %d without late ones, %d with them", onTime[false], onTime[true])
		assert.Assert(t, float64(onTime[true]) >= minHeld*float64(onTime[false]))
	})
}

// TestSmallAccount guards against an account that asks for less than its share and is refused because
// others ask for many times theirs.
func TestSmallAccount(t *testing.T) {
	forScales(t, "small account", func(t *testing.T, play *play) {
		play.arrive("small", 0.1*play.capacity(), 0, overloadEnds, 0)
		for _, account := range []shedkeel.AccountID{"a", "b", "c"} {
			play.arrive(account, 0.2*play.capacity(), 0, overloadBegins, 0)
			play.arrive(account, play.capacity(), overloadBegins, overloadEnds, 0)
		}
		play.run(playEnds)
		onTime, all := play.onTime(overloadBegins+500*time.Millisecond, overloadEnds, "small") // shares adapt within 0.5 s
		t.Logf("small account: %d of %d on time", onTime, all)
		assert.Assert(t, float64(onTime) >= minSmall*float64(all), "%d of %d on time", onTime, all)
	})
}

// admitBySlots admits requests on time up to 0.9 of the slots, and lateFraction more as leftovers.
func (play *play) admitBySlots(lateFraction float64) func(*holder, Request, Load, time.Duration) Decision {
	const onTimeFraction, retryAfter = 0.9, 700 * time.Millisecond
	return func(_ *holder, request Request, load Load, _ time.Duration) Decision {
		late := float64(play.lateNow)
		switch {
		case load.Running-late < onTimeFraction*load.Slots:
			return Decision{Class: OnTime, Due: testObjective}
		case late < lateFraction*load.Slots:
			return Decision{Class: Leftover}
		}
		return Decision{RetryAfter: min(retryAfter, time.Duration(maxWaitFraction*float64(request.Remaining)))}
	}
}

// BenchmarkWays reports what each way of admission gives under twice and three times the traffic: the
// mean number of requests on time in a window, as a fraction of what the engines complete, the
// worst window as a fraction of the best one, and the requests that were answered at all.
func BenchmarkWays(b *testing.B) {
	ways := map[string]float64{"half late": 0.5, "a tenth late": 0.1, "adaptive": -1}
	for name, lateFraction := range ways {
		for boxes := range scales {
			for _, times := range []float64{2, 3} {
				b.Run(fmt.Sprintf("%s/%d boxes/%v times", name, boxes, times), func(b *testing.B) {
					for b.Loop() {
						play := newPlay(boxes, 5)
						if lateFraction >= 0 {
							play.decide = play.admitBySlots(lateFraction)
						}
						play.overloaded(times, 0)
						onTime, _ := play.onTime(overloadBegins+testWindow, overloadEnds, "")
						b.ReportMetric(float64(onTime)/(play.capacity()*(overloadEnds-overloadBegins-testWindow).Seconds()), "on-time")
						b.ReportMetric(play.held(0, overloadBegins+testWindow, overloadEnds), "held")
						b.ReportMetric(play.answered(), "answered")
					}
				})
			}
		}
	}
}
