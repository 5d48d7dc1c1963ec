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
	// reprobeInterval is how often a dead server is probed again.
	reprobeInterval = time.Second
	// noticeCooldown is how long further reports about a group are ignored after a report
	// that the group does not respond was accepted. The reports of all nodes about the same
	// failure arrive within this time.
	noticeCooldown = 400 * time.Millisecond
	// stallWindow is how long a group counts as stalled after an accepted report that the
	// group does not respond.
	stallWindow = 2 * time.Second
)

// suspect processes a report that a group does not respond: it schedules a probe of the
// group's members, unless a report about the group was accepted within the last
// noticeCooldown.
func (controller *controller) suspect(group shedkeel.Assignment) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := controller.node.Timers.Now()
	if now-controller.noticedAt[group] < noticeCooldown && controller.noticedAt[group] != 0 {
		return
	}
	controller.noticedAt[group] = now
	controller.suspects[group] = now
}

// stalledGroups returns the groups about which a report was accepted within the last
// stallWindow. To bound noticedAt, it forgets reports older than a minute, which is far
// longer than stallWindow and noticeCooldown. The caller holds the mutex.
func (controller *controller) stalledGroups(now time.Duration) map[shedkeel.Assignment]bool {
	found := map[shedkeel.Assignment]bool{}
	for group, at := range controller.noticedAt {
		switch {
		case now-at < stallWindow:
			found[group] = true
		case now-at > time.Minute:
			delete(controller.noticedAt, group)
		}
	}
	return found
}

// probeSuspects starts probes of the members of suspected groups, of the free servers in
// the domains of these groups, and of dead servers whose next probe is due. It leaves out
// servers whose probe is in progress and dead servers whose next probe is not due. Afterwards
// it forgets all suspicions, and the dead servers that are not among the instances.
func (controller *controller) probeSuspects(ctx context.Context, instances []shedkeel.Instance, now time.Duration) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	suspects := controller.suspects
	controller.suspects = map[shedkeel.Assignment]time.Duration{} // each accepted report causes one round of probes
	domains := suspectedDomains(suspects, instances)
	for _, instance := range instances {
		nextProbe, dead := controller.dead[instance.ID]
		due := dead && now >= nextProbe
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

// suspectedDomains returns the domains of the suspected groups. The free servers of these domains
// are probed together with the members, because a free server replaces a lost member, and servers
// that share a fault fail together. Without these probes, groups that are formed with a
// substitute that is cut off too are ready 0.9 s later.
func suspectedDomains(suspects map[shedkeel.Assignment]time.Duration, instances []shedkeel.Instance) map[shedkeel.DomainID]bool {
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

// witnessesFor returns the addresses of the servers that a probe may ask to find out
// whether this node reaches any server other than the probed one. If there are servers in
// other domains, it returns only those, because all servers of a domain may fail at once.
func witnessesFor(probed shedkeel.Instance, instances []shedkeel.Instance) []string {
	var sameDomain, otherDomains []string
	for _, instance := range instances {
		switch {
		case instance.Domain != probed.Domain:
			otherDomains = append(otherDomains, instance.Address)
		case instance.ID != probed.ID:
			sameDomain = append(sameDomain, instance.Address)
		}
	}
	if len(otherDomains) > 0 {
		return otherDomains
	}
	return sameDomain
}

// runProbe probes one server and processes the result.
func (controller *controller) runProbe(ctx context.Context, instance shedkeel.Instance, witnesses []string) {
	err := controller.prober.probe(ctx, instance, witnesses)
	controller.recordProbe(instance, err)
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	delete(controller.probing, instance.ID)
}

// reportLoss makes this node and the other nodes avoid a group that has lost a member, for
// lostGroupAvoidTime.
func (controller *controller) reportLoss(group shedkeel.Assignment) {
	node := controller.node
	node.table.AvoidGroup(group, node.Timers.Now(), lostGroupAvoidTime)
	node.peers.broadcastLoss(group)
}

// recordProbe processes the result of a probe: it marks a server as dead or as alive
// again, and at each failed probe makes all nodes avoid the group of which the dead server is
// a member. A dead server is probed again after reprobeInterval. An inconclusive probe is only
// logged.
func (controller *controller) recordProbe(instance shedkeel.Instance, err error) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	_, dead := controller.dead[instance.ID]
	switch {
	case errors.Is(err, errInconclusive):
		controller.node.Log.Write(event.ProbeInconclusive, slog.String("server", string(instance.ID)), slog.String("error", err.Error()))
	case err != nil:
		controller.dead[instance.ID] = controller.node.Timers.Now() + reprobeInterval
		if instance.Member != nil {
			controller.reportLoss(instance.Member.Assignment())
		}
		if !dead {
			controller.node.Log.Write(event.MemberDead, slog.String("server", string(instance.ID)), slog.String("error", err.Error()))
		}
	case dead:
		delete(controller.dead, instance.ID)
		controller.node.Log.Write(event.MemberAlive, slog.String("server", string(instance.ID)))
	}
}
