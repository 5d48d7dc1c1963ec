package node

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

const (
	// probeTimeout is how long a member may take to answer a probe; it
	// answers in milliseconds when it lives.
	probeTimeout = 200 * time.Millisecond
	// probeTries is how many probes at once a dead member does not answer; a
	// single one may be lost on its way.
	probeTries = 2
	// reviveEvery is how often a dead member is probed again.
	reviveEvery = time.Second
	// suspectPause is how long after a group was probed further notices of it
	// are passed over: those of all nodes come within it.
	suspectPause = 400 * time.Millisecond
	// stalledTime is how long a group counts as giving no sign after a notice.
	stalledTime = 2 * time.Second
)

// suspect has the members of a group probed.
func (controller *controller) suspect(group shedkeel.Assignment) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.node.Timers.Now()
	if now-controller.followed[group] < suspectPause && controller.followed[group] != 0 {
		return
	}
	controller.followed[group] = now
	controller.suspects[group] = now
}

// stalled returns the groups that were lately reported silent. The mutex is
// held.
func (controller *controller) stalled(now time.Duration) map[shedkeel.Assignment]bool {
	found := map[shedkeel.Assignment]bool{}
	for group, at := range controller.followed {
		switch {
		case now-at < stalledTime:
			found[group] = true
		case now-at > time.Minute:
			delete(controller.followed, group)
		}
	}
	return found
}

// probeSuspects probes the members of suspected groups, and dead ones again.
func (controller *controller) probeSuspects(ctx context.Context, instances []shedkeel.Instance, now time.Duration) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	suspects := controller.suspects
	controller.suspects = map[shedkeel.Assignment]time.Duration{} // each notice is followed up once
	for _, instance := range instances {
		again, dead := controller.dead[instance.ID]
		due := dead && now >= again
		if instance.Member != nil && !dead {
			_, due = suspects[instance.Member.Assignment()]
		}
		if due && !controller.probing[instance.ID] {
			controller.probing[instance.ID] = true
			go controller.runProbe(ctx, instance)
		}
	}
	for id := range controller.dead {
		if !slices.ContainsFunc(instances, func(instance shedkeel.Instance) bool { return instance.ID == id }) {
			delete(controller.dead, id)
		}
	}
}

// runProbe finds out whether a member answers.
func (controller *controller) runProbe(ctx context.Context, instance shedkeel.Instance) {
	answers := make(chan error, probeTries)
	for range probeTries {
		go controller.runTry(ctx, instance.Address, answers)
	}
	var err error
	for range probeTries {
		if err = <-answers; err == nil {
			break
		}
	}
	controller.probed(instance, err)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	delete(controller.probing, instance.ID)
}

// runTry probes once.
func (controller *controller) runTry(ctx context.Context, address string, answers chan<- error) {
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := controller.node.Engines.Report(probe, address)
	answers <- err
}

// lost has all nodes avoid a group that lost a member.
func (controller *controller) lost(group shedkeel.Assignment) {
	node := controller.node
	node.table.Avoid(group, node.Timers.Now(), lossTime)
	node.peers.lost(group)
}

func (controller *controller) probed(instance shedkeel.Instance, err error) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	_, dead := controller.dead[instance.ID]
	switch {
	case err != nil:
		controller.dead[instance.ID] = controller.node.Timers.Now() + reviveEvery
		if instance.Member != nil {
			controller.lost(instance.Member.Assignment())
		}
		if !dead {
			controller.node.Log.Write(event.MemberDead, slog.String("server", string(instance.ID)), slog.String("error", err.Error()))
		}
	case dead:
		delete(controller.dead, instance.ID)
		controller.node.Log.Write(event.MemberAlive, slog.String("server", string(instance.ID)))
	}
}
