package node

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
)

const (
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
	domains := domainsOf(suspects, instances)
	for _, instance := range instances {
		again, dead := controller.dead[instance.ID]
		due := dead && now >= again
		if instance.Member != nil && !dead {
			_, due = suspects[instance.Member.Assignment()]
		}
		if !dead && domains[instance.Domain] && formation.IsFree(&instance) {
			due = true
		}
		if due && !controller.probing[instance.ID] {
			controller.probing[instance.ID] = true
			go controller.runProbe(ctx, instance, witnessesFor(instance, instances))
		}
	}
	for id := range controller.dead {
		if !slices.ContainsFunc(instances, func(instance shedkeel.Instance) bool { return instance.ID == id }) {
			delete(controller.dead, id)
		}
	}
}

// domainsOf returns the domains of the suspected groups. Their free servers are
// probed with the members: they are the substitutes, and servers that share a
// fault are lost together. Of six groups that lost members as 38 servers were cut
// off, three were formed with a substitute that was cut off too, and stood 0.9 s
// later than the others.
func domainsOf(suspects map[shedkeel.Assignment]time.Duration, instances []shedkeel.Instance) map[shedkeel.DomainID]bool {
	found := map[shedkeel.DomainID]bool{}
	for _, instance := range instances {
		if instance.Member == nil {
			continue
		}
		if _, suspected := suspects[instance.Member.Assignment()]; suspected {
			found[instance.Domain] = true
		}
	}
	return found
}

// witnessesFor returns the addresses of servers that tell whether this node
// reaches any but the one that is probed. They are in other domains if there
// are some: a whole domain may be dark at once.
func witnessesFor(probed shedkeel.Instance, instances []shedkeel.Instance) []string {
	var near, far []string
	for _, instance := range instances {
		switch {
		case instance.Domain != probed.Domain:
			far = append(far, instance.Address)
		case instance.ID != probed.ID:
			near = append(near, instance.Address)
		}
	}
	if len(far) > 0 {
		return far
	}
	return near
}

// runProbe finds out whether a member answers.
func (controller *controller) runProbe(ctx context.Context, instance shedkeel.Instance, others []string) {
	err := controller.prober.probe(ctx, instance, others)
	controller.probed(instance, err)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	delete(controller.probing, instance.ID)
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
	case errors.Is(err, errUnsure):
		controller.node.Log.Write(event.ProbeUnsure, slog.String("server", string(instance.ID)), slog.String("error", err.Error()))
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
