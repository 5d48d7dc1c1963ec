package keeper

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/group"
	"shedkeel.org/shedkeel/member"
)

// maxConcurrentProbes limits the probes that one call of probeAll has in flight.
const maxConcurrentProbes = 32

// prober probes engines for their state and stores the last answer of each box. Its
// methods may be called concurrently.
type prober struct {
	engines shedkeel.Engines
	timers  shedkeel.Timers
	timeout time.Duration // of one probe

	mutex sync.Mutex
	views map[shedkeel.BoxID]shedkeel.BoxView
}

// probeRound is the result of one round of probes.
type probeRound struct {
	answers map[shedkeel.BoxID]shedkeel.BoxState // states of the boxes that answered
	refused map[shedkeel.BoxID]bool              // by failed box: whether it refused the connection
}

// probeAll probes all boxes at their addresses, stores the answers, and returns when
// each box has answered or its probe has failed.
func (prober *prober) probeAll(ctx context.Context, addresses map[shedkeel.BoxID]string) probeRound {
	result := probeRound{answers: map[shedkeel.BoxID]shedkeel.BoxState{}, refused: map[shedkeel.BoxID]bool{}}
	var mutex sync.Mutex
	var pending sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, box := range slices.Sorted(maps.Keys(addresses)) {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			state, sent, err := prober.probeOne(ctx, addresses[box])
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				result.refused[box] = errors.Is(err, syscall.ECONNREFUSED)
				return
			}
			result.answers[box] = state
			prober.storeAnswer(box, state, sent)
		})
	}
	pending.Wait()
	return result
}

// probeOne probes one address. The returned time is when the probe was sent.
func (prober *prober) probeOne(ctx context.Context, address string) (shedkeel.BoxState, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, prober.timeout)
	defer cancel()
	sent := prober.timers.Now()
	state, err := prober.engines.Probe(ctx, address)
	return state, sent, err
}

// storeAnswer stores the state that a box reported to a probe sent at the time sent.
func (prober *prober) storeAnswer(box shedkeel.BoxID, state shedkeel.BoxState, sent time.Duration) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	view := prober.views[box]
	view.State = state
	view.LastReply = sent
	prober.views[box] = view
}

// lastView returns the last state that a box reported, with LastReply negative if
// the box has never answered.
func (prober *prober) lastView(box shedkeel.Box) shedkeel.BoxView {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	view, known := prober.views[box.ID]
	if !known {
		view.LastReply = -1
	}
	view.Box = box
	return view
}

// tickProbe probes the members of all groups that this keeper watches and merges the
// verdicts as its digest, unless ctx has ended meanwhile.
func (keeper *Keeper) tickProbe(ctx context.Context, now time.Duration) {
	groups := keeper.watchedGroups(now)
	addresses := map[shedkeel.BoxID]string{}
	for _, watched := range groups {
		for _, groupMember := range watched.Members {
			addresses[groupMember.Box] = groupMember.Address
		}
	}
	started := keeper.Timers.Now()
	found := keeper.prober.probeAll(ctx, addresses)
	if ctx.Err() != nil {
		return
	}
	keeper.recordDigest(groups, found, started)
}

// watchedGroups returns the groups that this keeper probes; see member.ShouldProbe.
func (keeper *Keeper) watchedGroups(now time.Duration) []shedkeel.Group {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	live := keeper.table.Live(now)
	var groups []shedkeel.Group
	for _, placement := range keeper.table.Placements() {
		for _, placed := range placement.Groups {
			if member.ShouldProbe(keeper.Settings.Node, placed.ID, placement.Zone, live) {
				groups = append(groups, placed)
			}
		}
	}
	return groups
}

// recordDigest builds and merges this keeper's digest: a verdict on each watched group
// and the boxes that the box list marks as leaving. asOf is when the round of probes
// began.
func (keeper *Keeper) recordDigest(groups []shedkeel.Group, found probeRound, asOf time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.digestSequence++
	digest := member.Digest{Watcher: keeper.table.Self.ID, Incarnation: keeper.table.Self.Incarnation, Sequence: keeper.digestSequence, AsOf: asOf}
	for _, watched := range groups {
		verdict := group.ProbeVerdict(watched, found.answers, found.refused)
		first := found.answers[watched.Members[0].Box]
		digest.Verdicts = append(digest.Verdicts, member.GroupVerdict{
			Group: watched.ID, Epoch: watched.Epoch, Verdict: verdict, Load: first.Running + first.Queued,
		})
		keeper.recordVerdict(watched, verdict)
	}
	for _, box := range keeper.boxes {
		if box.Leaving {
			digest.Leaving = append(digest.Leaving, box.ID)
		}
	}
	keeper.table.MergeDigest(digest)
}

// recordVerdict stores the verdict on a group, and logs it if it is the first one or
// differs from the last. The mutex must be held.
func (keeper *Keeper) recordVerdict(watched shedkeel.Group, verdict shedkeel.Verdict) {
	before, known := keeper.verdicts[watched.ID]
	keeper.verdicts[watched.ID] = verdict
	if !known || before != verdict {
		keeper.Log.Write(event.GroupChanged, slog.String("group", string(watched.ID)), slog.Uint64("epoch", watched.Epoch), slog.String("state", verdict.String()))
	}
}
