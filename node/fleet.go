package node

import (
	"encoding/json"
	"log/slog"
	"maps"
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
	// fleetTick is how often records are checked that are held though gone.
	fleetTick = 100 * time.Millisecond
	// troubleAge is the age of the mirror from which the service counts as
	// away. A calm fleet's copies are up to 1.5 s old, and some tenths more
	// until a stale one is renewed: taking that for trouble kept a server that
	// had left for two seconds.
	troubleAge = 2300 * time.Millisecond
	// lapseHold is how long a record that went while the service was away is
	// still believed after its return: living servers have written theirs
	// again about two seconds after it, by the platform's pages.
	lapseHold = 2300 * time.Millisecond
	// doubtHold is how long a backend server whose record can't be read any more
	// keeps its place in its group. It gets no requests by itself meanwhile. One odd
	// write by another writer is gone with the server's next heartbeat, by the
	// platform's pages 1.2 s later at most; two of them and the way here fit in.
	doubtHold = 3 * time.Second
)

// fleet is what a node makes of the records: the configuration, the servers
// and groups that requests may be sent to, and the other nodes.
type fleet struct {
	node         *Node
	view         atomic.Pointer[serve.View]
	activeConfig activeConfigCopy

	mutex        sync.Mutex
	instances    map[string]shedkeel.Instance      // by key
	nodes        map[string]nodeRecord             // by key
	retained     map[string]time.Duration          // gone while the service was away, believed until then
	evacuated    map[shedkeel.ZoneID]bool          // their backend servers get nothing
	coldUntil    map[string]time.Duration          // servers that have said so are cold until then, by key
	takenBack    map[shedkeel.ZoneID]time.Duration // when an evacuation was withdrawn last
	removals     removals
	unreadable   map[string]time.Duration // servers whose records can't be read, and until when they keep their places
	unread       atomic.Int64             // records that were not used
	afterRestore bool                     // the records that come are of an older copy of the service
	outageUntil  time.Duration            // the service was away until then, or is
	verifiedAt   atomic.Int64             // when the copy was proven last, as a time.Duration
	loggedCounts map[string]int           // servers and groups that may be sent to, as logged last
}

// changed takes in changed records. The mirror calls it one at a time.
func (fleet *fleet) changed(records []shedkeel.Record) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.instances == nil {
		fleet.instances = map[string]shedkeel.Instance{}
		fleet.nodes = map[string]nodeRecord{}
		fleet.retained = map[string]time.Duration{}
		fleet.unreadable = map[string]time.Duration{}
		fleet.evacuated = map[shedkeel.ZoneID]bool{}
		fleet.coldUntil = map[string]time.Duration{}
		fleet.takenBack = map[shedkeel.ZoneID]time.Duration{}
	}
	now := fleet.node.Timers.Now()
	servers, nodes := false, false
	for _, record := range records {
		switch {
		case record.Key == fleet.node.Decoder.ConfigKey():
			servers = fleet.applyConfigRecord(record) || servers
		case strings.HasPrefix(record.Key, fleet.node.Decoder.InstancePrefix()):
			servers = fleet.applyInstance(record, now) || servers
		case strings.HasPrefix(record.Key, nodePrefix):
			nodes = fleet.applyNode(record, now) || nodes
		case strings.HasPrefix(record.Key, blamePrefix):
			fleet.node.guard.takeRecord(record)
		default:
			if zone, found := fleet.node.Decoder.EvacuatedZone(record.Key); found {
				servers = fleet.takeEvacuation(record, zone) || servers
			}
		}
	}
	fleet.afterRestore = false
	fleet.propagate(servers, nodes)
}

// skipped notes a record that is not used. The mutex may be held.
func (fleet *fleet) skipped(record shedkeel.Record, err error) {
	fleet.unread.Add(1)
	fleet.node.Log.Write(event.RecordSkipped, slog.String("key", record.Key), slog.String("revision", record.Revision.String()), slog.String("error", err.Error()))
}

// read decodes a record that nodes write, and logs one that can't be read.
func (fleet *fleet) read(record shedkeel.Record, into any) error {
	err := json.Unmarshal(record.Value, into)
	if err != nil {
		fleet.skipped(record, err)
	}
	return err
}

// applyInstance takes in a backend server's record, and reports whether it changes what
// requests may be sent to. Gone ones are believed a while where the service was away,
// and never in a state they had left.
func (fleet *fleet) applyInstance(record shedkeel.Record, now time.Duration) bool {
	if record.Gone {
		return fleet.removeOrRetain(record.Key, now, func() { fleet.removeInstance(record.Key, record.Revision.Era, now) })
	}
	instance, err := fleet.node.Decoder.Instance(record.Key, record.Value)
	if err != nil {
		fleet.skipped(record, err)
		return fleet.markUnreadable(record.Key, now)
	}
	known, listed := fleet.instances[record.Key]
	if listed && fleet.isOutdated(&instance, &known) {
		fleet.skipped(record, &shedkeel.InvalidError{Where: record.Key, What: "the server wrote it before what is known of it", Remedy: "none is needed: it writes its record again"})
		return false
	}
	_, wasDoubted := fleet.unreadable[record.Key]
	fleet.removals.returned(instance.ID, record.Revision.Era, now)
	delete(fleet.retained, record.Key)
	delete(fleet.unreadable, record.Key)
	fleet.instances[record.Key] = instance
	fleet.coldUntil[record.Key] = now + instance.ColdFor
	// A heartbeat changes nothing but its sequence: thousands of them come a second.
	return !listed || wasDoubted || !instance.Same(&known)
}

// isOutdated reports whether a record of a server is isOutdated than what is known of it: of a
// former start, or in an isOutdated copy of the key-value service with a lower sequence or
// from before it drained.
func (fleet *fleet) isOutdated(instance, known *shedkeel.Instance) bool {
	born, knownBorn := instance.ID.Born(), known.ID.Born()
	if born != knownBorn {
		return born != 0 && born < knownBorn
	}
	wasReady := known.Draining && !instance.Draining
	return fleet.afterRestore && (wasReady || instance.Sequence < known.Sequence)
}

// markUnreadable has a server that was good get no requests, now that its record can't be
// read, and keep its place in its group for a while. It reports whether that is
// news.
func (fleet *fleet) markUnreadable(key string, now time.Duration) bool {
	_, listed := fleet.instances[key]
	_, doubted := fleet.unreadable[key]
	if !listed || doubted {
		return false
	}
	fleet.unreadable[key] = now + doubtHold
	return true
}

// removeInstance forgets a server that is gone in an era of the key-value service.
func (fleet *fleet) removeInstance(key string, era int64, now time.Duration) {
	if instance, listed := fleet.instances[key]; listed {
		fleet.removals.note(instance.ID, era, now)
	}
	delete(fleet.instances, key)
	delete(fleet.unreadable, key)
	delete(fleet.coldUntil, key)
}

// removeOrRetain takes in that a record went. While the service was away leases may have
// run out, so what may have written it is believed for a while.
func (fleet *fleet) removeOrRetain(key string, now time.Duration, remove func()) bool {
	if now >= fleet.outageUntil || !fleet.writerMayReturn(key) {
		remove()
		return true
	}
	fleet.retained[key] = fleet.outageUntil
	if id, isNode := strings.CutPrefix(key, nodePrefix); isNode {
		fleet.node.Log.Write(event.NodeHeld, slog.String("of", id), slog.Duration("until", fleet.outageUntil-now), slog.Duration("age", fleet.mirrorAge()))
	}
	return false
}

// writerMayReturn reports whether what wrote a record may write it again. A node that
// others find dead may not.
func (fleet *fleet) writerMayReturn(key string) bool {
	id, isNode := strings.CutPrefix(key, nodePrefix)
	return !isNode || fleet.node.gossip.serves(shedkeel.NodeID(id))
}

// tick notes whether the service is away, and removes what has been believed
// long enough.
func (fleet *fleet) tick(now time.Duration) {
	state := fleet.node.mirror.State()
	fleet.verifiedAt.Store(int64(state.AsOf))
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if state.Known && now-state.AsOf > troubleAge {
		fleet.outageUntil = now + lapseHold
	}
	servers, nodes := false, false
	for key, until := range fleet.retained {
		away := now < fleet.outageUntil && now-state.AsOf > troubleAge
		if fleet.writerMayReturn(key) && (now < until || away) {
			continue
		}
		delete(fleet.retained, key)
		if strings.HasPrefix(key, nodePrefix) {
			delete(fleet.nodes, key)
			nodes = true
		} else {
			fleet.removeInstance(key, state.At.Era, now)
			servers = true
		}
	}
	for key, until := range fleet.unreadable {
		if now >= until {
			fleet.removeInstance(key, state.At.Era, now)
			servers = true
		}
	}
	servers = fleet.removals.expire(now) || servers
	fleet.propagate(servers, nodes)
}

// mirrorAge returns how old the copy of the records was at the last tick. Unlike
// the mirror's state it can be asked while the mirror tells of a change.
func (fleet *fleet) mirrorAge() time.Duration {
	return fleet.node.Timers.Now() - time.Duration(fleet.verifiedAt.Load())
}

// propagate passes on what has changed. The mutex is held.
func (fleet *fleet) propagate(servers, nodes bool) {
	if servers {
		fleet.rebuildTable()
	}
	if nodes {
		fleet.node.peers.update(fleet.sortedNodes())
	}
}

// rebuildTable makes the table of servers that requests may be sent to. The mutex
// is held.
func (fleet *fleet) rebuildTable() {
	view := fleet.view.Load()
	if view == nil {
		return
	}
	listed := map[shedkeel.InstanceID]bool{}
	for _, instance := range fleet.instances {
		listed[instance.ID] = true
	}
	isListed := func(server shedkeel.InstanceID) bool { return listed[server] }
	fleet.node.limits.retain(isListed)
	fleet.node.table.Retain(isListed, fleet.node.Timers.Now())
	epochs := formation.LatestEpochs(maps.Values(fleet.instances))
	var servers []dispatch.Server
	for key, instance := range fleet.instances {
		service := view.Service(instance.Service)
		fleet.reportCold(key, &instance, service)
		_, doubted := fleet.unreadable[key]
		switch {
		case service == nil || instance.Draining || doubted || fleet.removals.withheld(instance.ID) || fleet.evacuated[instance.Zone]:
		case service.Engine == nil:
			servers = append(servers, serverOf(&instance))
		case isOpenHead(instance.Member, epochs):
			servers = append(servers, groupServerOf(&instance, service.Engine))
		}
	}
	fleet.node.table.Replace(servers)
	fleet.node.limits.apply()
	fleet.logServerCounts(servers)
}

// reportCold tells the limits of a server that is cold. After an evacuation a server is
// taken to be: its record says so only some time after requests may come again.
func (fleet *fleet) reportCold(key string, instance *shedkeel.Instance, service *shedkeel.RoutedService) {
	if service == nil || service.ColdRate <= 0 {
		return
	}
	until := fleet.coldUntil[key]
	if since, was := fleet.takenBack[instance.Zone]; was {
		until = max(until, since+service.ColdTime)
	}
	if until > fleet.node.Timers.Now() {
		fleet.node.limits.noteCold(shedkeel.ColdServer{Server: instance.ID, Rate: service.ColdRate, Until: until})
	}
}

// isOpenHead reports whether a member is the open head of its group. One whose
// group was formed anew without it may be open still.
func isOpenHead(member *shedkeel.Membership, epochs map[shedkeel.GroupID]uint64) bool {
	return member != nil && member.Rank == 0 && member.State == shedkeel.MemberOpen && member.Epoch == epochs[member.Group]
}

// serverOf returns a backend server as requests are sent to it.
func serverOf(instance *shedkeel.Instance) dispatch.Server {
	return dispatch.Server{Service: instance.Service, Instance: instance.ID, Address: instance.Address, Zone: instance.Zone, Slots: instance.Slots}
}

// groupServerOf returns a replica group, by its head, as requests are sent to it.
func groupServerOf(head *shedkeel.Instance, engine *shedkeel.Engine) dispatch.Server {
	server := serverOf(head)
	server.Model = formation.ModelOf(head.Member.Group)
	server.Group = head.Member.Assignment()
	server.Slots = engine.Slots
	server.Rate = engine.ReadPerSecond
	model := engine.Model(server.Model)
	if model == nil {
		return server
	}
	server.Pass = engine.LongestPass(model)
	server.Each = time.Duration(engine.Stride) * engine.StepEach
	server.Rate /= model.Slowdown()
	server.Each = time.Duration(float64(server.Each) * model.Slowdown())
	return server
}

// logServerCounts logs how many servers and groups may be sent to.
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

// groupServices returns the services of replica groups with their instances. Those
// that said that they drain do so, whatever their records say now.
func (fleet *fleet) groupServices() map[shedkeel.ServiceID][]shedkeel.Instance {
	view := fleet.view.Load()
	if view == nil {
		return nil
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	draining := fleet.node.table.Draining()
	found := map[shedkeel.ServiceID][]shedkeel.Instance{}
	for _, instance := range fleet.instances {
		if service := view.Service(instance.Service); service != nil && service.Engine != nil {
			instance.Draining = instance.Draining || draining[instance.ID] || fleet.removals.withheld(instance.ID)
			found[instance.Service] = append(found[instance.Service], instance)
		}
	}
	for _, instances := range found {
		sortInstances(instances)
	}
	return found
}

// highestEpoch returns the highest epoch that a backend server tells of.
func (fleet *fleet) highestEpoch() uint64 {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	highest := uint64(0)
	for _, instance := range fleet.instances {
		if instance.Member != nil && instance.Member.Epoch/termEpochs <= mostTerm {
			highest = max(highest, instance.Member.Epoch)
		}
	}
	return highest
}

// sortedInstances returns the backend servers by name. The mutex is held.
func (fleet *fleet) sortedInstances() []shedkeel.Instance {
	var found []shedkeel.Instance
	for _, instance := range fleet.instances {
		found = append(found, instance)
	}
	sortInstances(found)
	return found
}

func sortInstances(instances []shedkeel.Instance) {
	slices.SortFunc(instances, func(a, b shedkeel.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
