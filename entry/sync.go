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

// sync polls the keeper on this box and takes over what is new.
func (entry *Entry) sync(time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(entry.Settings.Timing.Permit)/2)
	defer cancel()
	sent := entry.Timers.Now()
	entry.mutex.Lock()
	call := entry.table.AskKeeper(entry.Incarnation, entry.stopping.Load(), sent)
	entry.mutex.Unlock()
	reply, err := entry.Keeper.Do(ctx, &wire.Call{Kind: &wire.Call_Sync{Sync: call}})
	now := entry.Timers.Now()
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.noteKeeper(err)
	if err == nil && reply.GetSync().GetSettled() {
		changed := entry.table.TakeFromKeeper(reply.GetSync(), sent, now)
		for _, record := range changed {
			if record.Key == member.KeyConfig {
				entry.Log.Write(event.ConfigInForce, slog.Uint64("generation", record.Generation))
			}
		}
		entry.refresh(sent, now)
		return
	}
	entry.refresh(entry.view.Load().synced, now)
}

// noteKeeper logs when the keeper goes or comes back. The mutex is held.
func (entry *Entry) noteKeeper(err error) {
	if entry.keeperAway == (err != nil) {
		return
	}
	entry.keeperAway = err != nil
	if err != nil {
		entry.Log.Write(event.KeeperAway, slog.String("error", err.Error()))
		return
	}
	entry.Log.Write(event.KeeperBack)
}

// refresh makes a new view of the table. The mutex is held.
func (entry *Entry) refresh(synced, now time.Duration) {
	before := entry.view.Load()
	next := &view{synced: synced, accounts: map[string]*shedkeel.Account{}, weights: map[shedkeel.AccountID]int{}}
	next.config, next.known = entry.table.Config()
	for index := range next.config.Accounts {
		account := &next.config.Accounts[index]
		next.accounts[account.KeyHash] = account
		next.weights[account.ID] = account.Weight
	}
	next.nodes = entry.table.Live(now)
	judge := member.Judge{Now: now, Window: time.Duration(entry.Settings.Timing.Permit), Drains: map[shedkeel.BoxID]bool{}, Digests: entry.table.Digests()}
	for _, box := range next.config.Drains {
		judge.Drains[box] = true
	}
	next.permits = judge.Permits(entry.table.Placements())
	if next.config.Generation != before.config.Generation {
		entry.limiter.Configure(next.config.Accounts, next.config.EntryBoxes, now)
	}
	entry.retarget(next, judge, now)
	entry.view.Store(next)
	entry.giveUp(next)
}

// retarget tells the router which groups and servers may be sent requests.
func (entry *Entry) retarget(next *view, judge member.Judge, now time.Duration) {
	services := make([]shedkeel.ServiceID, 0, len(next.config.Services))
	for _, service := range next.config.Services {
		services = append(services, service.ID)
		if service.Kind == shedkeel.KindModel {
			entry.router.Update(service.ID, groupTargets(service, next.permits), now)
			continue
		}
		entry.router.Update(service.ID, serverTargets(service, judge, next.synced), now)
	}
	entry.router.Forget(services)
}

func groupTargets(service shedkeel.Service, permits []member.Permit) []route.Target {
	var targets []route.Target
	for _, permit := range permits {
		if permit.Group.Service != service.ID || len(permit.Group.Members) == 0 {
			continue
		}
		targets = append(targets, route.Target{
			Name: string(permit.Group.ID), Address: permit.Group.Members[0].Address, Assignment: permit.Group.Assignment(),
			Until: permit.Until, Reported: permit.Load, AsOf: permit.Watched, Capacity: service.Capacity,
		})
	}
	return targets
}

// serverTargets returns the servers of a plain service. They need no permit to
// be whole, but a word that they are leaving must have had time to arrive.
func serverTargets(service shedkeel.Service, judge member.Judge, synced time.Duration) []route.Target {
	leaving := judge.Leaving()
	var targets []route.Target
	for _, server := range service.Backends {
		if leaving[server.ID] {
			continue
		}
		targets = append(targets, route.Target{
			Name: string(server.ID), Address: server.Address, Until: synced + judge.Window*serverWindows, Capacity: service.Capacity,
		})
	}
	return targets
}

// serverWindows is for how many permit windows a plain service is served
// without word from the keeper: long enough for a keeper to be restarted.
const serverWindows = 2

// giveUp ends the requests that run on groups which are known not to be whole
// any more.
func (entry *Entry) giveUp(next *view) {
	standing := map[shedkeel.Assignment]bool{}
	for _, permit := range next.permits {
		if !permit.Broken {
			standing[permit.Group.Assignment()] = true
		}
	}
	entry.flights.endExcept(standing)
}

// entries returns the entry boxes that callers may use, those of the zone
// first, then this entry's own zone, then by name.
func (view *view) entries(zone, own shedkeel.ZoneID) []shedkeel.Node {
	var nodes []shedkeel.Node
	for _, node := range view.nodes {
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
