package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/route"
	"shedkeel.org/shedkeel/wire"
)

// sync fetches newer state from the keeper on this box and rebuilds the snapshot. If
// the keeper does not reply or is not settled, sync rebuilds the snapshot from the
// known state, so that groups with expired permits no longer count in the router's
// capacity.
func (entry *Entry) sync(time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(entry.Settings.Timing.Permit)/2)
	defer cancel()
	sent := entry.Timers.Now()
	entry.mutex.Lock()
	call := entry.table.SyncCall(entry.Incarnation, entry.stopping.Load(), sent)
	entry.mutex.Unlock()
	reply, err := entry.Keeper.Do(ctx, &wire.Call{Kind: &wire.Call_Sync{Sync: call}})
	now := entry.Timers.Now()
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.recordKeeperState(err)
	if err == nil && reply.GetSync().GetSettled() {
		changed := entry.table.MergeSyncReply(reply.GetSync(), sent, now)
		for _, record := range changed {
			if record.Key == member.KeyConfig {
				entry.Log.Write(event.ConfigInForce, slog.Uint64("generation", record.Generation))
			}
		}
		entry.rebuildSnapshot(sent, now)
		return
	}
	entry.rebuildSnapshot(entry.snapshot.Load().lastSync, now)
}

// recordKeeperState logs when the keeper becomes unavailable or available again.
// The mutex must be held.
func (entry *Entry) recordKeeperState(err error) {
	if entry.keeperUnreachable == (err != nil) {
		return
	}
	entry.keeperUnreachable = err != nil
	if err != nil {
		entry.Log.Write(event.KeeperUnavailable, slog.String("error", err.Error()))
		return
	}
	entry.Log.Write(event.KeeperAvailable)
}

// rebuildSnapshot replaces the snapshot by one built from the table, updates the
// router, and the limiter if the configuration has changed, and cancels requests to
// broken groups. synced becomes the lastSync of the snapshot. The mutex must be held.
func (entry *Entry) rebuildSnapshot(synced, now time.Duration) {
	before := entry.snapshot.Load()
	next := &snapshot{lastSync: synced, accounts: map[string]*shedkeel.Account{}, weights: map[shedkeel.AccountID]int{}}
	next.config, next.configured = entry.table.Config()
	for index := range next.config.Accounts {
		account := &next.config.Accounts[index]
		next.accounts[account.KeyHash] = account
		next.weights[account.ID] = account.Weight
	}
	next.nodes = entry.table.Live(now)
	input := member.PermitInput{Now: now, Window: time.Duration(entry.Settings.Timing.Permit), Drains: map[shedkeel.BoxID]bool{}, Digests: entry.table.Digests()}
	for _, box := range next.config.Drains {
		input.Drains[box] = true
	}
	next.permits = input.Permits(entry.table.Placements())
	if next.config.Generation != before.config.Generation {
		entry.limiter.Configure(next.config.Accounts, next.config.EntryBoxes, now)
	}
	entry.updateTargets(next, input, now)
	entry.snapshot.Store(next)
	entry.cancelBroken(next)
}

// updateTargets sets the router's targets for all configured services and drops all
// other services.
func (entry *Entry) updateTargets(next *snapshot, input member.PermitInput, now time.Duration) {
	services := make([]shedkeel.ServiceID, 0, len(next.config.Services))
	for _, service := range next.config.Services {
		services = append(services, service.ID)
		if service.Kind == shedkeel.KindModel {
			entry.router.Update(service.ID, groupTargets(service, next.permits), now)
			continue
		}
		entry.router.Update(service.ID, serverTargets(service, input, next.lastSync), now)
	}
	entry.router.RetainServices(services)
}

// groupTargets returns the groups of a model service that have members. A group
// without a valid permit is a target too, but not usable.
func groupTargets(service shedkeel.Service, permits []member.Permit) []route.Target {
	var targets []route.Target
	for _, permit := range permits {
		if permit.Group.Service != service.ID || len(permit.Group.Members) == 0 {
			continue
		}
		targets = append(targets, route.Target{
			Name: string(permit.Group.ID), Address: permit.Group.Members[0].Address, Assignment: permit.Group.Assignment(),
			UsableUntil: permit.Until, ReportedLoad: permit.Load, ReportedAt: permit.WholeAt, Capacity: service.Capacity,
		})
	}
	return targets
}

// serverTargets returns the servers of a plain service that are not leaving. They need
// no permit, but an entry may use them only for serverWindows after a sync: an entry
// that does not reach its keeper receives no notice that a server is leaving.
func serverTargets(service shedkeel.Service, input member.PermitInput, synced time.Duration) []route.Target {
	leaving := input.Leaving()
	var targets []route.Target
	for _, server := range service.Backends {
		if leaving[server.ID] {
			continue
		}
		targets = append(targets, route.Target{
			Name: string(server.ID), Address: server.Address, UsableUntil: synced + input.Window*serverWindows, Capacity: service.Capacity,
		})
	}
	return targets
}

// serverWindows is how long after the last sync an entry may use the servers of a
// plain service, in permit windows. Two windows allow for a restart of the keeper.
const serverWindows = 2

// cancelBroken cancels the requests to groups that are broken or that no placement
// contains any more.
func (entry *Entry) cancelBroken(next *snapshot) {
	intact := map[shedkeel.Assignment]bool{}
	for _, permit := range next.permits {
		if !permit.Broken {
			intact[permit.Group.Assignment()] = true
		}
	}
	entry.inFlight.cancelExcept(intact)
}

// entryNodes returns the live nodes whose entries have an address and are not
// stopping: those in zone, which the caller names, first; then those in own, the zone
// of this entry; then the others; each sorted by ID.
func (snapshot *snapshot) entryNodes(zone, own shedkeel.ZoneID) []shedkeel.Node {
	var nodes []shedkeel.Node
	for _, node := range snapshot.nodes {
		if !node.Stopping && node.Entry != "" {
			nodes = append(nodes, node)
		}
	}
	distance := func(node shedkeel.Node) int {
		switch node.Zone {
		case zone:
			return 0
		case own:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(nodes, func(a, b shedkeel.Node) int { return distance(a) - distance(b) })
	return nodes
}
