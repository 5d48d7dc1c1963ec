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

// maxProbes bounds how many probes are under way at once.
const maxProbes = 32

// prober asks engines for their state and remembers what they said.
type prober struct {
	engines shedkeel.Engines
	timers  shedkeel.Timers
	timeout time.Duration

	mutex sync.Mutex
	views map[shedkeel.BoxID]shedkeel.BoxView
}

// round is what one round of probes brought.
type round struct {
	answers map[shedkeel.BoxID]shedkeel.BoxState
	refused map[shedkeel.BoxID]bool
}

// probe asks all boxes at once and returns when all have answered or run out
// of time.
func (prober *prober) probe(ctx context.Context, addresses map[shedkeel.BoxID]string) round {
	result := round{answers: map[shedkeel.BoxID]shedkeel.BoxState{}, refused: map[shedkeel.BoxID]bool{}}
	var mutex sync.Mutex
	var asked sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for _, box := range slices.Sorted(maps.Keys(addresses)) {
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			state, sent, err := prober.ask(ctx, addresses[box])
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				result.refused[box] = errors.Is(err, syscall.ECONNREFUSED)
				return
			}
			result.answers[box] = state
			prober.remember(box, state, sent)
		})
	}
	asked.Wait()
	return result
}

func (prober *prober) ask(ctx context.Context, address string) (shedkeel.BoxState, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, prober.timeout)
	defer cancel()
	sent := prober.timers.Now()
	state, err := prober.engines.Probe(ctx, address)
	return state, sent, err
}

func (prober *prober) remember(box shedkeel.BoxID, state shedkeel.BoxState, sent time.Duration) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	view := prober.views[box]
	view.State = state
	view.Seen = sent
	prober.views[box] = view
}

// view returns what a box last said, with Seen negative if it never answered.
func (prober *prober) view(box shedkeel.Box) shedkeel.BoxView {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	view, known := prober.views[box.ID]
	if !known {
		view.Seen = -1
	}
	view.Box = box
	return view
}

// tickProbe probes the members of all groups that this keeper watches and
// makes a digest of what it found.
func (keeper *Keeper) tickProbe(ctx context.Context, now time.Duration) {
	groups := keeper.watched(now)
	addresses := map[shedkeel.BoxID]string{}
	for _, watched := range groups {
		for _, place := range watched.Members {
			addresses[place.Box] = place.Address
		}
	}
	asOf := keeper.Timers.Now()
	found := keeper.probes.probe(ctx, addresses)
	if ctx.Err() != nil {
		return
	}
	keeper.digest(groups, found, asOf)
}

// watched returns the groups that this keeper probes.
func (keeper *Keeper) watched(now time.Duration) []shedkeel.Group {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	live := keeper.table.Live(now)
	var groups []shedkeel.Group
	for _, placement := range keeper.table.Placements() {
		for _, placed := range placement.Groups {
			if member.Watches(keeper.Settings.Node, placed.ID, placement.Zone, live) {
				groups = append(groups, placed)
			}
		}
	}
	return groups
}

func (keeper *Keeper) digest(groups []shedkeel.Group, found round, asOf time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.sequence++
	digest := member.Digest{Watcher: keeper.table.Self.ID, Incarnation: keeper.table.Self.Incarnation, Sequence: keeper.sequence, AsOf: asOf}
	for _, watched := range groups {
		verdict := group.Inspect(watched, found.answers, found.refused)
		first := found.answers[watched.Members[0].Box]
		digest.Verdicts = append(digest.Verdicts, member.GroupVerdict{
			Group: watched.ID, Epoch: watched.Epoch, Verdict: verdict, Load: first.Running + first.Queued,
		})
		keeper.noteVerdict(watched, verdict)
	}
	for _, box := range keeper.boxes {
		if box.Leaving {
			digest.Leaving = append(digest.Leaving, box.ID)
		}
	}
	keeper.table.MergeDigest(digest)
}

// noteVerdict logs a change. The mutex is held.
func (keeper *Keeper) noteVerdict(watched shedkeel.Group, verdict shedkeel.Verdict) {
	before, known := keeper.verdicts[watched.ID]
	keeper.verdicts[watched.ID] = verdict
	if !known || before != verdict {
		keeper.Log.Write(event.GroupChanged, slog.String("group", string(watched.ID)), slog.Uint64("epoch", watched.Epoch), slog.String("state", verdict.String()))
	}
}
