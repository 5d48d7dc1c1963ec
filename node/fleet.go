package node

import (
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
	"shedkeel.org/shedkeel/serve"
)

const (
	// fleetTick is the interval of fleet.tick, which detects outages of the key-value service
	// and ends the holds of records and servers (see deletedRecordHold, unreadableRecordHold
	// and restoredServerHold).
	fleetTick = 100 * time.Millisecond
	// outageAge is the age of the mirror's copy above which the key-value service counts as
	// unavailable. In a healthy fleet a copy is up to 1.5 s old, and its renewal takes some
	// tenths of a second more. Below that sum, a healthy key-value service would count as
	// unavailable, and servers that have left would stay in use 2 s longer.
	outageAge = 2300 * time.Millisecond
	// deletedRecordHold is for how long after an outage of the key-value service, or after
	// its restore from a snapshot, a record that was deleted in the outage or lost in the
	// restore is still used. According to the platform's documentation, live servers write
	// their records again about 2 s after the outage.
	deletedRecordHold = 2300 * time.Millisecond
	// unreadableRecordHold is how long a backend server whose record became unreadable keeps
	// its place in its group, without direct requests. It covers two heartbeats, which replace
	// an invalid record that another writer wrote, and their delivery: according to the
	// platform's documentation, the next heartbeat follows within 1.2 s.
	unreadableRecordHold = 3 * time.Second
)

// fleet is the state that a node derives from the records: the configuration, the
// servers and groups that may get requests, and the nodes.
type fleet struct {
	node *Node
	// config is the active configuration with its proof. It is replaced as a whole, with the mutex held.
	config       atomic.Pointer[serve.ConfigState]
	activeConfig configCopy

	mutex             sync.Mutex
	instances         map[string]shedkeel.Instance      // by key
	progress          map[string]*progress              // of the listed servers, and of those whose records were removed lately, by key
	progressExpiry    map[string]time.Duration          // when the progress of servers whose records were removed is forgotten, by key
	nodes             map[string]nodeRecord             // by key
	retained          map[string]time.Duration          // until when a record that was deleted in or after an outage of the key-value service, or lost in its restore, is used, by key
	evacuated         map[shedkeel.ZoneID]bool          // zones whose backend servers get no requests
	coldUntil         map[string]time.Duration          // until when a server that reported being cold counts as cold, by key
	evacuationEndedAt map[shedkeel.ZoneID]time.Duration // when the last evacuation of a zone ended
	removals          removals                          // servers whose records were removed recently
	unreadable        map[string]time.Duration          // until when a server whose record is unreadable keeps its place in its group, by key
	skippedRecords    atomic.Int64                      // number of records that were not used: unreadable, invalid or outdated ones
	outageUntil       time.Duration                     // end of the latest outage or restore of the key-value service, with deletedRecordHold added
	verifiedAt        atomic.Int64                      // when the mirror's copy was last proven current, as of the last tick; a time.Duration
	loggedCounts      map[string]int                    // number of servers or groups that may get requests, as last logged, by service and model
}

// applyChanges applies changed records. The mirror calls applyChanges with its lock held, so
// calls are never concurrent, and applyChanges must not call the mirror.
func (fleet *fleet) applyChanges(records []shedkeel.Record) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.instances == nil {
		fleet.instances = map[string]shedkeel.Instance{}
		fleet.progress = map[string]*progress{}
		fleet.progressExpiry = map[string]time.Duration{}
		fleet.nodes = map[string]nodeRecord{}
		fleet.retained = map[string]time.Duration{}
		fleet.unreadable = map[string]time.Duration{}
		fleet.evacuated = map[shedkeel.ZoneID]bool{}
		fleet.coldUntil = map[string]time.Duration{}
		fleet.evacuationEndedAt = map[shedkeel.ZoneID]time.Duration{}
	}
	now := fleet.node.Timers.Now()
	serversChanged, nodesChanged := false, false
	for _, record := range records {
		switch {
		case record.Key == fleet.node.Decoder.ConfigKey():
			serversChanged = fleet.applyConfigRecord(record) || serversChanged
		case strings.HasPrefix(record.Key, fleet.node.Decoder.InstancePrefix()):
			serversChanged = fleet.applyInstance(record, now) || serversChanged
		case strings.HasPrefix(record.Key, nodePrefix):
			nodesChanged = fleet.applyNode(record, now) || nodesChanged
		case strings.HasPrefix(record.Key, BlamePrefix):
			fleet.node.guard.applyRecord(record)
		default:
			if zone, found := fleet.node.Decoder.EvacuatedZone(record.Key); found {
				serversChanged = fleet.applyEvacuation(record, zone) || serversChanged
			}
		}
	}
	fleet.propagate(serversChanged, nodesChanged)
}

// skipRecord counts and logs a record that is not used. It may be called with or without
// the mutex.
func (fleet *fleet) skipRecord(record shedkeel.Record, err error) {
	fleet.skippedRecords.Add(1)
	fleet.node.Log.Write(event.RecordSkipped, slog.String("key", record.Key), slog.String("revision", record.Revision.String()), slog.String("error", err.Error()))
}

// decodeRecord decodes a record that nodes write, and logs one that it can't decode.
func (fleet *fleet) decodeRecord(record shedkeel.Record, into any) error {
	err := json.Unmarshal(record.Value, into)
	if err != nil {
		fleet.skipRecord(record, err)
	}
	return err
}

// applyInstance applies a backend server's record and reports whether it may change which
// servers get requests. A deleted record may be retained (see removeOrRetain). An unreadable
// record is skipped (see markUnreadable), and so is a record that is older than the known one.
// The caller holds the mutex.
func (fleet *fleet) applyInstance(record shedkeel.Record, now time.Duration) bool {
	if record.Removed {
		return fleet.removeOrRetain(record.Key, now, func() { fleet.removeInstance(record.Key, record.Revision.Era, now) })
	}
	instance, err := fleet.node.Decoder.Instance(record.Key, record.Value)
	if err != nil {
		fleet.skipRecord(record, err)
		return fleet.markUnreadable(record.Key, now)
	}
	if err := fleet.checkProgress(record.Key, &instance, now); err != nil {
		fleet.skipRecord(record, err)
		return false
	}
	known, listed := fleet.instances[record.Key]
	_, wasUnreadable := fleet.unreadable[record.Key]
	fleet.removals.recordReturn(instance.ID, record.Revision.Era, now)
	delete(fleet.retained, record.Key)
	delete(fleet.unreadable, record.Key)
	fleet.instances[record.Key] = instance
	fleet.recordProgress(record.Key, &instance)
	fleet.coldUntil[record.Key] = now + instance.ColdFor
	// A heartbeat changes only the sequence. Thousands of heartbeats arrive per second, so they must
	// not rebuild the table.
	return !listed || wasUnreadable || !instance.EqualExceptSequence(&known)
}

// markUnreadable stops direct requests to a listed server whose record became unreadable and
// keeps the server's place in its group for unreadableRecordHold. It reports whether the
// servers that may get requests have changed: they have not if the server is not listed or
// its record was unreadable before. The caller holds the mutex.
func (fleet *fleet) markUnreadable(key string, now time.Duration) bool {
	_, listed := fleet.instances[key]
	_, unreadable := fleet.unreadable[key]
	if !listed || unreadable {
		return false
	}
	fleet.unreadable[key] = now + unreadableRecordHold
	return true
}

// removeInstance removes a server and records the era of the key-value service in which its
// record was removed. The caller holds the mutex.
func (fleet *fleet) removeInstance(key string, era int64, now time.Duration) {
	if instance, listed := fleet.instances[key]; listed {
		fleet.removals.recordRemoval(instance.ID, era, now)
	}
	fleet.recordEnd(key, now)
	delete(fleet.instances, key)
	delete(fleet.unreadable, key)
	delete(fleet.coldUntil, key)
}

// removeOrRetain handles a deleted record: it calls remove or retains the record, and reports
// whether it called remove. It retains the record until outageUntil if the owner may write it
// again, because leases of live owners may have expired in an outage. If the owner does not,
// tick removes the record later. The caller holds the mutex.
func (fleet *fleet) removeOrRetain(key string, now time.Duration, remove func()) bool {
	if now >= fleet.outageUntil || !fleet.ownerMayRewrite(key) {
		remove()
		return true
	}
	fleet.retained[key] = fleet.outageUntil
	if id, isNode := strings.CutPrefix(key, nodePrefix); isNode {
		fleet.node.Log.Write(event.NodeKeptWithoutRecord, slog.String("of", id), slog.Duration("until", fleet.outageUntil-now), slog.Duration("age", fleet.mirrorAge()))
	}
	return false
}

// ownerMayRewrite reports whether the owner of a record may write it again. A backend server
// always may. A node may not if the failure detector finds that the node is dead or has left,
// or has not heard it yet.
func (fleet *fleet) ownerMayRewrite(key string) bool {
	id, isNode := strings.CutPrefix(key, nodePrefix)
	return !isNode || fleet.node.gossip.mayServeCallers(shedkeel.NodeID(id))
}

// tick checks whether the key-value service is unavailable, and ends the holds of retained
// records, of unreadable records and of servers that get no requests after a restore (see
// removals). A retained record stays during an outage, unless its owner may no longer write it
// again.
func (fleet *fleet) tick(now time.Duration) {
	state := fleet.node.mirror.State()
	fleet.verifiedAt.Store(int64(state.AsOf))
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if state.Known && now-state.AsOf > outageAge {
		fleet.outageUntil = now + deletedRecordHold
	}
	serversChanged, nodesChanged := false, false
	for key, until := range fleet.retained {
		unavailable := now < fleet.outageUntil && now-state.AsOf > outageAge
		if fleet.ownerMayRewrite(key) && (now < until || unavailable) {
			continue
		}
		delete(fleet.retained, key)
		if strings.HasPrefix(key, nodePrefix) {
			delete(fleet.nodes, key)
			nodesChanged = true
		} else {
			fleet.removeInstance(key, state.At.Era, now)
			serversChanged = true
		}
	}
	for key, until := range fleet.unreadable {
		if now >= until {
			fleet.removeInstance(key, state.At.Era, now)
			serversChanged = true
		}
	}
	serversChanged = fleet.removals.expire(now) || serversChanged
	fleet.expireProgress(now)
	fleet.propagate(serversChanged, nodesChanged)
}

// mirrorAge returns the age of the mirror's copy at the last tick. Unlike the mirror's
// state, this age can be read while the mirror reports a change.
func (fleet *fleet) mirrorAge() time.Duration {
	return fleet.node.Timers.Now() - time.Duration(fleet.verifiedAt.Load())
}

// propagate passes changed servers on to the dispatch table and the limits, and changed
// nodes to the peers. A changed configuration or evacuation counts as changed servers. The
// caller holds the mutex.
func (fleet *fleet) propagate(serversChanged, nodesChanged bool) {
	if serversChanged {
		fleet.rebuildTable()
	}
	if nodesChanged {
		fleet.node.peers.update(fleet.sortedNodes())
	}
}

// rebuildTable replaces the table of servers that may get requests: the servers of services
// without replica groups, and the open heads of groups. It also reports cold servers to the
// limits, and has the limits and the dispatch table drop what they know of unlisted servers.
// It does nothing while there is no configuration. The caller holds the mutex.
func (fleet *fleet) rebuildTable() {
	view := fleet.view()
	if view == nil {
		return
	}
	listed := map[shedkeel.InstanceID]bool{}
	for _, instance := range fleet.instances {
		listed[instance.ID] = true
	}
	isListed := func(server shedkeel.InstanceID) bool { return listed[server] }
	fleet.node.limits.retain(isListed)
	fleet.node.admissions.retain(func(service shedkeel.ServiceID, model shedkeel.ModelID) bool {
		routed := view.Service(service)
		return routed != nil && routed.Engine != nil && slices.ContainsFunc(routed.Engine.Models, func(listed shedkeel.Model) bool { return listed.ID == model })
	})
	fleet.node.table.RetainConditions(isListed, fleet.node.Timers.Now())
	epochs := formation.LatestEpochs(maps.Values(fleet.instances))
	var servers []dispatch.Server
	for key, instance := range fleet.instances {
		service := view.Service(instance.Service)
		fleet.reportCold(key, &instance, service)
		_, unreadable := fleet.unreadable[key]
		switch {
		case service == nil || instance.Draining || unreadable || fleet.removals.withheld(instance.ID) || fleet.evacuated[instance.Zone]:
		case service.Engine == nil:
			servers = append(servers, serverOf(&instance))
		case isOpenHead(instance.Member, epochs):
			servers = append(servers, groupServerOf(&instance, service.Engine))
		}
	}
	fleet.node.table.Replace(servers)
	fleet.node.limits.updateAll()
	fleet.logServerCounts(servers)
}

// reportCold reports a server to the limits if it is cold and its service has a ColdRate. After
// an evacuation every server of the zone counts as cold for the ColdTime of its service: a
// server's record states that the server is cold only some time after the server may get
// requests again. The caller holds the mutex.
func (fleet *fleet) reportCold(key string, instance *shedkeel.Instance, service *shedkeel.RoutedService) {
	if service == nil || service.ColdRate <= 0 {
		return
	}
	until := fleet.coldUntil[key]
	if endedAt, wasEvacuated := fleet.evacuationEndedAt[instance.Zone]; wasEvacuated {
		until = max(until, endedAt+service.ColdTime)
	}
	if until > fleet.node.Timers.Now() {
		fleet.node.limits.markCold(shedkeel.ColdServer{Server: instance.ID, Rate: service.ColdRate, Until: until})
	}
}

// isOpenHead reports whether a member is the open head of its group. The head of a
// former formation may still be open, so the epoch must be the group's latest.
func isOpenHead(member *shedkeel.Membership, epochs map[shedkeel.GroupID]uint64) bool {
	return member != nil && member.Rank == 0 && member.State == shedkeel.MemberOpen && member.Epoch == epochs[member.Group]
}

// serverOf returns the dispatch entry of a backend server.
func serverOf(instance *shedkeel.Instance) dispatch.Server {
	return dispatch.Server{Service: instance.Service, Instance: instance.ID, Address: instance.Address, Zone: instance.Zone, Slots: instance.Slots}
}

// groupServerOf returns the dispatch entry of a replica group, addressed by its head. If the
// configuration lacks the group's model, the entry has no MaxEventGap and no DelayPerRequest,
// and its PrefillRate is that of the engine. Otherwise the model's EffectiveSlowdown divides the
// PrefillRate and multiplies the DelayPerRequest.
func groupServerOf(head *shedkeel.Instance, engine *shedkeel.Engine) dispatch.Server {
	server := serverOf(head)
	server.Model = formation.ModelOf(head.Member.Group)
	server.Group = head.Member.Assignment()
	server.Slots = engine.Slots
	server.PrefillRate = engine.ReadPerSecond
	model := engine.Model(server.Model)
	if model == nil {
		return server
	}
	server.MaxEventGap = engine.LongestPass(model)
	server.TokenTime = time.Duration(model.EffectiveSlowdown() * float64(engine.StepTime+time.Duration(engine.Slots/2)*engine.StepPerRequest))
	server.DelayPerRequest = time.Duration(engine.StepsPerPass) * engine.StepPerRequest
	server.PrefillRate /= model.EffectiveSlowdown()
	server.DelayPerRequest = time.Duration(float64(server.DelayPerRequest) * model.EffectiveSlowdown())
	return server
}

// logServerCounts logs how many servers or groups of each service and model may get requests,
// if one of these numbers has changed. The caller holds the mutex.
func (fleet *fleet) logServerCounts(servers []dispatch.Server) {
	counts := map[string]int{}
	for _, server := range servers {
		counts[strings.Trim(string(server.Service)+"/"+string(server.Model), "/")]++
	}
	if maps.Equal(counts, fleet.loggedCounts) {
		return
	}
	fleet.loggedCounts = counts
	fields := []slog.Attr{slog.Int("instances", len(fleet.instances))}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fields = append(fields, slog.Int(name, counts[name]))
	}
	fleet.node.Log.Write(event.ServersChanged, fields...)
}

// groupServices returns the instances of each service that has replica groups, as groupState does.
func (fleet *fleet) groupServices() map[shedkeel.ServiceID][]shedkeel.Instance {
	_, services := fleet.groupState()
	return services
}

// groupState returns the active configuration and the instances of each of its services that has replica groups, ordered by
// ID. Both are at least as new as the proof. Instances that reported in an answer that they drain, and those withheld from
// requests after a restore, are marked as draining, whatever their records state.
func (fleet *fleet) groupState() (serve.ConfigState, map[shedkeel.ServiceID][]shedkeel.Instance) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	config := fleet.configState()
	if config.View == nil {
		return config, nil
	}
	draining := fleet.node.table.Draining()
	found := map[shedkeel.ServiceID][]shedkeel.Instance{}
	for _, instance := range fleet.instances {
		if service := config.View.Service(instance.Service); service != nil && service.Engine != nil {
			instance.Draining = instance.Draining || draining[instance.ID] || fleet.removals.withheld(instance.ID)
			found[instance.Service] = append(found[instance.Service], instance)
		}
	}
	for _, instances := range found {
		sortInstances(instances)
	}
	return config, found
}

// highestEpoch returns the highest epoch in the backend servers' records, or 0. It ignores
// epochs of terms above maxTerm.
func (fleet *fleet) highestEpoch() uint64 {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	highest := uint64(0)
	for _, instance := range fleet.instances {
		if instance.Member != nil && instance.Member.Epoch/epochsPerTerm <= maxTerm {
			highest = max(highest, instance.Member.Epoch)
		}
	}
	return highest
}

// isServerAddress reports whether a listed backend server has the address.
func (fleet *fleet) isServerAddress(address string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, instance := range fleet.instances {
		if instance.Address == address {
			return true
		}
	}
	return false
}

// randomServers returns the addresses of up to count listed backend servers, chosen at random from
// those at other addresses than the excluded one.
func (fleet *fleet) randomServers(count int, excluded string) []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var found []string
	for _, instance := range fleet.instances {
		if instance.Address != excluded {
			found = append(found, instance.Address)
		}
	}
	rand.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	return found[:min(count, len(found))]
}

// sortedInstances returns the backend servers ordered by ID. The caller holds the mutex.
func (fleet *fleet) sortedInstances() []shedkeel.Instance {
	var found []shedkeel.Instance
	for _, instance := range fleet.instances {
		found = append(found, instance)
	}
	sortInstances(found)
	return found
}

// sortInstances orders instances by ID.
func sortInstances(instances []shedkeel.Instance) {
	slices.SortFunc(instances, func(a, b shedkeel.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
