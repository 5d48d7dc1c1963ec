package swim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/swim"
)

const (
	// heartbeatInterval is the time between heartbeats of a node in the detectors that swim is
	// compared with; heartbeatTimeout is the time without one after which the node counts as dead.
	// With these values the detectors take as long as swim to detect a failure, and differ only in
	// their cost and in which nodes they declare dead.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second
	// watchersPerNode is how many others receive a node's heartbeats where only some
	// nodes watch it on behalf of all.
	watchersPerNode = 3
)

// heartbeatDetector is a failure detector by heartbeats. Each node sends them to all
// others, or only to its watchers. Watchers report nodes whose heartbeats are missing to all
// others, which declare a node dead once two watchers report it.
type heartbeatDetector struct {
	self            shedkeel.NodeID
	watchersOnly    bool // heartbeats go only to watchers
	peers           []shedkeel.NodeID
	lastHeartbeat   map[shedkeel.NodeID]time.Duration                     // of the nodes that this one watches
	reports         map[shedkeel.NodeID]map[shedkeel.NodeID]time.Duration // when a watcher reported a node last, by node and watcher
	byHash          map[uint64]shedkeel.NodeID
	now             time.Duration
	nextHeartbeatAt time.Duration
	changes         uint64
}

// newHeartbeatDetector returns a constructor of heartbeat detectors.
func newHeartbeatDetector(watchersOnly bool) func(shedkeel.NodeID, shedkeel.Random) shedkeel.FailureDetector {
	return func(id shedkeel.NodeID, _ shedkeel.Random) shedkeel.FailureDetector {
		return &heartbeatDetector{self: id, watchersOnly: watchersOnly, lastHeartbeat: map[shedkeel.NodeID]time.Duration{}, reports: map[shedkeel.NodeID]map[shedkeel.NodeID]time.Duration{}}
	}
}

// SetPeers must be called with the same peers each time.
func (heartbeatDetector *heartbeatDetector) SetPeers(peers []shedkeel.NodeID) {
	heartbeatDetector.peers = slices.Clone(peers)
	heartbeatDetector.byHash = map[uint64]shedkeel.NodeID{}
	for _, peer := range peers {
		heartbeatDetector.byHash[shedkeel.HashNode(peer)] = peer
		if peer != heartbeatDetector.self && slices.Contains(heartbeatDetector.watchersOf(peer), heartbeatDetector.self) {
			heartbeatDetector.lastHeartbeat[peer] = time.Second // when the nodes of the emulated fleets start
		}
	}
}

// watchersOf returns which nodes receive a node's heartbeats: all, or with watchersOnly the
// watchersPerNode that follow it in a ring.
func (heartbeatDetector *heartbeatDetector) watchersOf(peer shedkeel.NodeID) []shedkeel.NodeID {
	if !heartbeatDetector.watchersOnly {
		return heartbeatDetector.peers
	}
	place := slices.Index(heartbeatDetector.peers, peer)
	var found []shedkeel.NodeID
	for offset := range min(watchersPerNode, len(heartbeatDetector.peers)-1) {
		found = append(found, heartbeatDetector.peers[(place+1+offset)%len(heartbeatDetector.peers)])
	}
	return found
}

func (heartbeatDetector *heartbeatDetector) NoteContact(time.Duration) {}
func (heartbeatDetector *heartbeatDetector) Leave(time.Duration) []shedkeel.GossipDatagram {
	return nil
}
func (heartbeatDetector *heartbeatDetector) Isolated(time.Duration) bool { return false }
func (heartbeatDetector *heartbeatDetector) Changes() uint64             { return heartbeatDetector.changes }

func (heartbeatDetector *heartbeatDetector) Tick(now time.Duration) []shedkeel.GossipDatagram {
	heartbeatDetector.now = now
	if now < heartbeatDetector.nextHeartbeatAt {
		return nil
	}
	heartbeatDetector.nextHeartbeatAt = now + heartbeatInterval
	var dead []shedkeel.GossipUpdate
	for _, peer := range heartbeatDetector.peers {
		if at, watched := heartbeatDetector.lastHeartbeat[peer]; watched && now-at >= heartbeatTimeout {
			dead = append(dead, shedkeel.GossipUpdate{Node: shedkeel.HashNode(peer), Liveness: shedkeel.Dead})
		}
	}
	var sent []shedkeel.GossipDatagram
	for _, peer := range heartbeatDetector.peers {
		getsHeartbeat := slices.Contains(heartbeatDetector.watchersOf(heartbeatDetector.self), peer)
		if peer == heartbeatDetector.self || !getsHeartbeat && (len(dead) == 0 || !heartbeatDetector.watchersOnly) {
			continue
		}
		message := shedkeel.GossipMessage{Kind: shedkeel.GossipPing, From: heartbeatDetector.self}
		if heartbeatDetector.watchersOnly {
			message.Updates = dead
		}
		sent = append(sent, shedkeel.GossipDatagram{To: peer, Message: message})
	}
	return sent
}

func (heartbeatDetector *heartbeatDetector) Receive(now time.Duration, message shedkeel.GossipMessage) []shedkeel.GossipDatagram {
	heartbeatDetector.now = now
	if _, watched := heartbeatDetector.lastHeartbeat[message.From]; watched {
		heartbeatDetector.lastHeartbeat[message.From] = now
	}
	for _, update := range message.Updates {
		reported := heartbeatDetector.byHash[update.Node]
		if heartbeatDetector.reports[reported] == nil {
			heartbeatDetector.reports[reported] = map[shedkeel.NodeID]time.Duration{}
		}
		heartbeatDetector.reports[reported][message.From] = now
	}
	return nil
}

func (heartbeatDetector *heartbeatDetector) Liveness(peer shedkeel.NodeID) shedkeel.Liveness {
	if at, watched := heartbeatDetector.lastHeartbeat[peer]; watched && heartbeatDetector.now-at < heartbeatTimeout {
		return shedkeel.Alive
	} else if watched && !heartbeatDetector.watchersOnly {
		return shedkeel.Dead
	}
	reporters := 0
	for _, at := range heartbeatDetector.reports[peer] {
		if heartbeatDetector.now-at < 2*heartbeatInterval {
			reporters++
		}
	}
	if reporters >= 2 {
		return shedkeel.Dead
	}
	return shedkeel.Alive
}

// TestCompareDetectors checks the reasons for the choice of swim on the same fleets and seeds. Its
// cost per node does not grow with the fleet, while heartbeats to all take more at 300 nodes than
// the 20 kB/s that a node may use for control. It detects any set of nodes that fail at once, while
// a ring of watchers misses nodes whose watchers fail with them.
func TestCompareDetectors(t *testing.T) {
	detectors := map[string]func(shedkeel.NodeID, shedkeel.Random) shedkeel.FailureDetector{
		"swim": func(id shedkeel.NodeID, random shedkeel.Random) shedkeel.FailureDetector {
			return &swim.Detector{Self: id, Random: random}
		},
		"heartbeats to all":  newHeartbeatDetector(false),
		"heartbeats to some": newHeartbeatDetector(true),
	}
	sizes := []int{9, 66, 89}
	if *seedFactor > 1 {
		sizes = append(sizes, 300)
	}
	cost := map[string]map[int]float64{}
	undetected := map[string]int{}
	for _, name := range []string{"swim", "heartbeats to all", "heartbeats to some"} {
		cost[name] = map[int]float64{}
		for _, size := range sizes {
			var single, half []time.Duration
			wrongViews := 0
			for seed := range max(2, seedCount(size)) {
				fleet := newFleet(seed, size, detectors[name])
				fleet.run(4 * time.Second)
				before := fleet.bytesSent
				fleet.run(5 * time.Second)
				cost[name][size] = float64(fleet.bytesSent-before) / 5 / float64(size)
				single = append(single, fleet.measureDetection(1))
				took := fleet.measureDetection(len(fleet.living()) / 2)
				half = append(half, took)
				if took >= detectionLimit {
					undetected[name]++
				}

				lossy := newFleet(seed, size, detectors[name])
				lossy.run(2 * time.Second)
				lossy.loss = 0.2
				for range 40 {
					lossy.run(250 * time.Millisecond)
					wrongViews = max(wrongViews, lossy.countViews(lossy.nodes, shedkeel.Dead))
				}
			}
			slices.Sort(single)
			slices.Sort(half)
			t.Logf("%-18s %4d nodes: one lost %s (longest %s), half lost %s (%s), at most %d of %d views wrong with a fifth of the datagrams lost, %.0f B/s a node",
				name, size, single[len(single)/2], single[len(single)-1], half[len(half)/2], half[len(half)-1], wrongViews, size*(size-1), cost[name][size])
		}
	}
	largest := sizes[len(sizes)-1]
	assert.Assert(t, cost["swim"][largest] < 1.3*cost["swim"][9], "%v", cost["swim"])
	assert.Assert(t, cost["swim"][largest] < 3000, "%v", cost["swim"])
	assert.Assert(t, cost["heartbeats to all"][89] > 10*cost["swim"][89], "%v", cost)
	assert.Equal(t, undetected["swim"], 0)
	assert.Assert(t, undetected["heartbeats to some"] > 0)
}

// detectionLimit is how long the detection of dead nodes may take before it counts as
// failed.
const detectionLimit = 10 * time.Second

// measureDetection has random nodes fail, and returns how long it takes until all others
// declare them dead.
func (fleet *fleet) measureDetection(count int) time.Duration {
	dead := fleet.pick(count)
	for _, node := range dead {
		node.dead = true
	}
	return fleet.runUntil(detectionLimit, func() bool { return fleet.countViews(dead, shedkeel.Dead) == count*len(fleet.living()) })
}

// BenchmarkSecond measures the time that a node's failure detector takes per second in a
// fleet without failures.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []int{9, 66, 300, 1000} {
		b.Run(fmt.Sprint(size, " nodes"), func(b *testing.B) {
			fleet := newFleet(1, size, newDetector)
			fleet.run(2 * time.Second)
			b.ResetTimer()
			for range b.N {
				fleet.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/node")
		})
	}
}
