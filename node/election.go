package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
	"shedkeel.org/shedkeel/formation"
	"shedkeel.org/shedkeel/timer"
)

const (
	// electionStagger is how much later each further node, in the order of compareNodes,
	// stands for election, so that nodes seldom write at the same time.
	electionStagger = 60 * time.Millisecond
	// initialSettleTime is how long the list of nodes must stay without a new node before the
	// first election of a fleet. While a fleet starts, each node knows few of the nodes that
	// precede it in the order of compareNodes, so too many nodes would stand for election.
	initialSettleTime = 500 * time.Millisecond
	// maxInitialSettle bounds the wait until the list of nodes stops growing.
	maxInitialSettle = 3 * time.Second
	// initialStagger replaces electionStagger in the first election of a fleet. It is long
	// enough for all nodes to learn that a node has won before the next one stands.
	initialStagger = 400 * time.Millisecond
	// leaderTTL is the time to live of the leader's lease: long enough for two renewals
	// to fail, short enough that a successor of a dead leader acts within two seconds.
	leaderTTL = 1500 * time.Millisecond
	// leaderRenewInterval is how often a leader renews its lease.
	leaderRenewInterval = leaderTTL / 3
	// epochsPerTerm is the number of epochs that are reserved for one term: an epoch is the
	// term times epochsPerTerm, plus a count.
	epochsPerTerm = 1 << 20
	// termsPerEra is the number of terms of an era of the key-value service. An era has far
	// fewer elections, so each term of a later era is above all terms of an earlier one.
	termsPerEra = 1 << 20
	// maxTerm is the highest term that is accepted. Only a foreign client, one that is not a
	// node, writes a higher term. The epochs of the terms up to maxTerm fit into 64 bits;
	// those of terms from 1<<44 on would overflow.
	maxTerm = 1 << 40
	// orphanTimeout is for how long the leader record must be invalid (see isOrphaned)
	// before a node stands for election in spite of the record: far longer than a live node
	// is ever missing from the list.
	orphanTimeout = 5 * time.Second

	leaderKey = "shedkeel/lead"
	termKey   = "shedkeel/term"
)

// leadRecord is the record that names the leader. The key-value service removes the record
// when the leader's lease ends.
type leadRecord struct {
	Node        shedkeel.NodeID `json:"node"`
	Incarnation string          `json:"incarnation"`
	Term        uint64          `json:"term"`
	// Lease and Era identify the lease that the record was written with. A write whose outcome
	// is unknown may take effect after the node has been granted another lease, so the record
	// may name a lease that the node no longer holds.
	Lease int64 `json:"lease"`
	Era   int64 `json:"era,omitempty"`
}

// isOwnLead reports whether the record names this node as the leader, in its present
// incarnation and with the lease that it holds now.
func (controller *controller) isOwnLead(lead leadRecord) bool {
	node := controller.node
	lease := shedkeel.LeaseID{Era: lead.Era, Number: lead.Lease}
	return lead.Node == node.Settings.Node && lead.Incarnation == node.Incarnation && lease == controller.lease.ID()
}

// termRecord is the record that holds the term of the last leader.
type termRecord struct {
	Term uint64 `json:"term"`
}

// leading reports whether this node may give orders now: it is the leader and its
// lease is valid. If the leader record is no longer this node's, or this node has resigned,
// leading ends its leadership. If only the lease is not valid, the node gives no orders
// until the lease is renewed.
func (controller *controller) leading(now time.Duration) bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if !controller.leads {
		return false
	}
	lead, exists := controller.leaderRecord()
	own := exists && controller.isOwnLead(lead)
	if own && !controller.resigned && controller.lease.valid(now) {
		return true
	}
	if !own || controller.resigned {
		controller.leads = false
		controller.node.Log.Write(event.LeadLost, slog.Uint64("term", controller.term))
	}
	return false
}

// resign ends the leadership of this node, if it leads. The node does not stand for election
// again.
func (controller *controller) resign() {
	controller.mutex.Lock()
	controller.resigned = true
	led := controller.leads
	controller.mutex.Unlock()
	if !led {
		return
	}
	controller.lease.release() // the leader record is removed with the lease
}

// runLease renews the leader's lease while this node leads, and releases it when ctx
// ends.
func (controller *controller) runLease(ctx context.Context) {
	for ctx.Err() == nil {
		controller.mutex.Lock()
		leads := controller.leads
		controller.mutex.Unlock()
		if leads && controller.lease.held() {
			controller.lease.renew(ctx)
		}
		timer.Sleep(ctx, leaderRenewInterval)
	}
	controller.lease.release()
}

// leaderRecord returns the leader record as this node's mirror has it, and whether it
// exists. A record of an earlier era of the key-value service does not count as existing: its
// lease has ended. A record that can't be decoded exists, but is returned empty.
func (controller *controller) leaderRecord() (lead leadRecord, exists bool) {
	mirror := &controller.node.mirror
	record := mirror.Get(leaderKey)
	if !record.Revision.Exists() {
		return lead, false
	}
	if controller.node.fleet.decodeRecord(record, &lead) != nil {
		return leadRecord{}, true // the record exists, but names no node
	}
	return lead, lead.Era >= mirror.State().At.Era
}

// leader returns the node that leads, as far as this node knows, or "" if there is no leader
// record or it can't be decoded.
func (controller *controller) leader() shedkeel.NodeID {
	lead, exists := controller.leaderRecord()
	if !exists {
		return ""
	}
	return lead.Node
}

// elect lets this node stand for election if there is no leader or an orphaned leader record (see
// isOrphaned), and the node's turn has come (see electionDelay). If the leader record is this
// node's own, the node becomes the leader. A node does neither if it has resigned, is not listed,
// or has no copy of the records that is at most maxMirrorAge old.
func (controller *controller) elect(ctx context.Context, now time.Duration) {
	node := controller.node
	state := node.mirror.State()
	controller.mutex.Lock()
	resigned := controller.resigned
	controller.mutex.Unlock()
	if resigned || !state.Known || now-state.AsOf > maxMirrorAge || !node.member.listed.Load() {
		controller.vacantSince, controller.orphanedSince = 0, 0
		return
	}
	if lead, exists := controller.leaderRecord(); exists && !controller.isOrphaned(lead, now) {
		controller.vacantSince = 0
		controller.becomeLeader(lead)
		return
	}
	if controller.vacantSince == 0 {
		controller.vacantSince = now
	}
	record, term := node.mirror.Get(leaderKey), node.mirror.Get(termKey)
	if now-controller.vacantSince < controller.electionDelay(term) {
		return
	}
	if controller.lease.valid(now) || controller.lease.grant(ctx) {
		controller.campaign(ctx, record.Revision, term.Revision, controller.nextTerm(term))
	}
}

// electionDelay returns how long there must have been no leader before this node stands
// for election. Nodes with more capacity come first. If there is no term record, this is the
// first election of the fleet: the nodes then also wait until the list of nodes has settled, for
// at most maxInitialSettle, and stand initialStagger apart.
func (controller *controller) electionDelay(term shedkeel.Record) time.Duration {
	peers := &controller.node.peers
	place := time.Duration(peers.ownIndex())
	if term.Revision.Exists() {
		return place * electionStagger
	}
	settled := min(max(peers.lastJoinTime()-controller.vacantSince, 0)+initialSettleTime, maxInitialSettle)
	return settled + place*initialStagger
}

// isOrphaned reports whether the leader record has been invalid for orphanTimeout: it names no
// listed node, or this node without being its own (see isOwnLead). Nodes then elect a leader in
// spite of the record. A record that a foreign client has overwritten has no lease, so it never
// expires and would otherwise leave the fleet without a leader for good.
func (controller *controller) isOrphaned(lead leadRecord, now time.Duration) bool {
	valid := controller.node.peers.peer(lead.Node) != nil
	if lead.Node == controller.node.Settings.Node {
		valid = controller.isOwnLead(lead)
	}
	if valid {
		controller.orphanedSince = 0
		return false
	}
	if controller.orphanedSince == 0 {
		controller.orphanedSince = now
	}
	return now-controller.orphanedSince >= orphanTimeout
}

// nextTerm returns a term above all earlier ones. A foreign client may have written
// the stored term, so nextTerm ignores a stored term above maxTerm, and also takes the epochs
// that backend servers report into account.
func (controller *controller) nextTerm(record shedkeel.Record) uint64 {
	var term termRecord
	if record.Revision.Exists() {
		_ = controller.node.fleet.decodeRecord(record, &term) // 0 if it can't be decoded
	}
	if term.Term > maxTerm {
		term.Term = 0
	}
	// The key-value service may have been restored from a snapshot that lacks the latest
	// terms, and the servers known to this node may report no epoch of those terms. The term
	// is therefore also above all terms of earlier eras. The era is capped so that all terms of
	// the era are at most maxTerm.
	era := min(uint64(controller.node.mirror.State().At.Era), maxTerm/termsPerEra-1)
	return max(term.Term, controller.node.fleet.highestEpoch()/epochsPerTerm, era*termsPerEra) + 1
}

// campaign writes the leader record and the term record for this node, unless one of the two
// records has changed since the given revision. If it succeeds, this node becomes the leader.
func (controller *controller) campaign(ctx context.Context, leadRevision, termRevision shedkeel.Revision, term uint64) {
	node := controller.node
	lease := controller.lease.ID()
	lead, err := json.Marshal(leadRecord{Node: node.Settings.Node, Incarnation: node.Incarnation, Term: term, Lease: lease.Number, Era: lease.Era})
	if err != nil {
		return
	}
	next, err := json.Marshal(termRecord{Term: term})
	if err != nil {
		return
	}
	written, err := node.Store.Commit(ctx, shedkeel.Transaction{
		If:  []shedkeel.Condition{{Key: leaderKey, Revision: leadRevision}, {Key: termKey, Revision: termRevision}},
		Put: []shedkeel.Put{{Key: leaderKey, Value: lead, Lease: lease}, {Key: termKey, Value: next}},
	})
	if err != nil {
		// Another node was faster, the key-value service is unavailable, or the outcome is
		// unknown. If the write takes effect later, the mirror shows the record and elect
		// makes this node lead.
		controller.vacantSince = 0
		return
	}
	node.mirror.Apply(mirrorUpdate(
		shedkeel.Record{Key: leaderKey, Value: lead, Revision: written}, shedkeel.Record{Key: termKey, Value: next, Revision: written}))
	if lead, exists := controller.leaderRecord(); exists {
		controller.becomeLeader(lead)
	}
}

// becomeLeader makes this node the leader if the record names it and its lease is valid,
// unless it leads already. The leadership begins with new planners. If the node has led in the
// same term before, it continues the count of epochs, so that it uses no epoch twice.
func (controller *controller) becomeLeader(lead leadRecord) {
	if !controller.isOwnLead(lead) || !controller.lease.valid(controller.node.Timers.Now()) {
		return
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if controller.leads {
		return
	}
	controller.leads = true
	if lead.Term != controller.term {
		controller.term = lead.Term
		controller.epochs = 0
	}
	controller.planners = map[shedkeel.ServiceID]*formation.Planner{}
	controller.unavailable = map[modelKey]time.Duration{}
	controller.node.Log.Write(event.LeadGained, slog.Uint64("term", lead.Term))
}
