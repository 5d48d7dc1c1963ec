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
	// electionStep is how much later each further node tries to lead, so that
	// they seldom write at once.
	electionStep = 60 * time.Millisecond
	// firstSettle is how long no node may have come before the first one is elected
	// that plans: while a fleet starts, each node knows few others that come before it.
	firstSettle = 500 * time.Millisecond
	// firstPatience bounds that wait.
	firstPatience = 3 * time.Second
	// firstStep is electionStep in the first election: within it all know the outcome.
	firstStep = 400 * time.Millisecond
	// leadTTL is how long a leader leads without a renewal: long enough for two
	// renewals to fail, short enough that a successor of a dead one acts within
	// two seconds.
	leadTTL = 1500 * time.Millisecond
	// leadRenew is how often a leader renews its lease.
	leadRenew = leadTTL / 3
	// termEpochs is how many epochs one term of a leader has.
	termEpochs = 1 << 20
	// eraTerms is how many terms an era of the service has: far more than leaders begin
	// in it, so that those of a later era are above all of an earlier one.
	eraTerms = 1 << 20
	// mostTerm is the highest term that is believed. A higher one is another
	// writer's: its epochs would run over.
	mostTerm = 1 << 40
	// strayLeadTime is how long a record of who plans may name no listed node until
	// another node plans: far longer than a node that lives is ever missing.
	strayLeadTime = 5 * time.Second

	leadKey = "shedkeel/lead"
	termKey = "shedkeel/term"
)

// leadRecord says who plans. It goes with the leader's lease.
type leadRecord struct {
	Node        shedkeel.NodeID `json:"node"`
	Incarnation string          `json:"incarnation"`
	Term        uint64          `json:"term"`
	// Lease and Era name the lease that the record goes with. A write of which the
	// outcome is unknown may be done when the node has another one already.
	Lease int64 `json:"lease"`
	Era   int64 `json:"era,omitempty"`
}

// leadsBy reports whether the record says that this start of the node leads,
// for as long as the lease that it keeps.
func (controller *controller) leadsBy(lead leadRecord) bool {
	node := controller.node
	lease := shedkeel.LeaseID{Era: lead.Era, Number: lead.Lease}
	return lead.Node == node.Settings.Node && lead.Incarnation == node.Incarnation && lease == controller.lease.ID()
}

type termRecord struct {
	Term uint64 `json:"term"`
}

// leading reports whether this node may give orders now.
func (controller *controller) leading(now time.Duration) bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if !controller.leads {
		return false
	}
	lead, stands := controller.lead()
	mine := stands && controller.leadsBy(lead)
	if mine && !controller.resigned && controller.lease.valid(now) {
		return true
	}
	if !mine || controller.resigned {
		controller.leads = false
		controller.node.Log.Write(event.LeadLost, slog.Uint64("term", controller.term))
	}
	return false
}

// resign has the node lead no longer, and not again.
func (controller *controller) resign() {
	controller.mutex.Lock()
	controller.resigned = true
	led := controller.leads
	controller.mutex.Unlock()
	if !led {
		return
	}
	controller.lease.end() // the record that this node leads goes with it
}

// runLease renews the leader's lease while this node leads.
func (controller *controller) runLease(ctx context.Context) {
	for ctx.Err() == nil {
		controller.mutex.Lock()
		leads := controller.leads
		controller.mutex.Unlock()
		if leads && controller.lease.held() {
			controller.lease.renew(ctx)
		}
		timer.Sleep(ctx, leadRenew)
	}
	controller.lease.end()
}

// lead returns the record of who leads, as far as is known here. One that was written
// before the service came back from an older copy is none: its lease is over.
func (controller *controller) lead() (lead leadRecord, stands bool) {
	mirror := &controller.node.mirror
	record := mirror.Get(leadKey)
	if !record.Revision.Exists() {
		return lead, false
	}
	if controller.node.fleet.read(record, &lead) != nil {
		return leadRecord{}, true // nobody leads by one that can't be read
	}
	return lead, lead.Era >= mirror.State().At.Era
}

// leader returns the node that plans, as far as is known here, or "".
func (controller *controller) leader() shedkeel.NodeID {
	lead, stands := controller.lead()
	if !stands {
		return ""
	}
	return lead.Node
}

// elect tries to lead where nobody does.
func (controller *controller) elect(ctx context.Context, now time.Duration) {
	node := controller.node
	state := node.mirror.State()
	controller.mutex.Lock()
	resigned := controller.resigned
	controller.mutex.Unlock()
	if resigned || !state.Known || now-state.AsOf > planAge || !node.member.listed.Load() {
		controller.vacant, controller.stray = 0, 0
		return
	}
	if lead, stands := controller.lead(); stands && !controller.isStray(lead, now) {
		controller.vacant = 0
		controller.adopt(lead)
		return
	}
	if controller.vacant == 0 {
		controller.vacant = now
	}
	record, term := node.mirror.Get(leadKey), node.mirror.Get(termKey)
	if now-controller.vacant < controller.electionTurn(term) {
		return
	}
	if controller.lease.valid(now) || controller.lease.grant(ctx) {
		controller.tryLead(ctx, record.Revision, term.Revision, controller.nextTerm(term))
	}
}

// electionTurn returns after what time without a node that plans this one tries to:
// those with the most capacity come first.
func (controller *controller) electionTurn(term shedkeel.Record) time.Duration {
	peers := &controller.node.peers
	place := time.Duration(peers.place())
	if term.Revision.Exists() {
		return place * electionStep
	}
	settled := min(max(peers.lastCame()-controller.vacant, 0)+firstSettle, firstPatience)
	return settled + place*firstStep
}

// isStray reports whether the record of who plans has for so long named no
// listed node, or this one though it does not plan, that another may. Another
// writer may have spoilt it, and it goes with no lease then: nobody planned any
// more.
func (controller *controller) isStray(lead leadRecord, now time.Duration) bool {
	plans := controller.node.peers.peer(lead.Node) != nil
	if lead.Node == controller.node.Settings.Node {
		plans = controller.leadsBy(lead)
	}
	if plans {
		controller.stray = 0
		return false
	}
	if controller.stray == 0 {
		controller.stray = now
	}
	return now-controller.stray >= strayLeadTime
}

// nextTerm returns a term above all that were. What stands of it may be another
// writer's, so the epochs that backend servers tell of count too.
func (controller *controller) nextTerm(record shedkeel.Record) uint64 {
	var term termRecord
	if record.Revision.Exists() {
		_ = controller.node.fleet.read(record, &term) // 0 where it can't be read
	}
	if term.Term > mostTerm {
		term.Term = 0
	}
	// An older copy of the service may have forgotten terms that nobody here has seen.
	era := min(uint64(controller.node.mirror.State().At.Era), mostTerm/eraTerms-1)
	return max(term.Term, controller.node.fleet.highestEpoch()/termEpochs, era*eraTerms) + 1
}

// tryLead writes that this node plans, unless another has at these revisions.
func (controller *controller) tryLead(ctx context.Context, leadRevision, termRevision shedkeel.Revision, term uint64) {
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
	written, err := node.Store.Commit(ctx, shedkeel.Change{
		If:  []shedkeel.Condition{{Key: leadKey, Revision: leadRevision}, {Key: termKey, Revision: termRevision}},
		Put: []shedkeel.Put{{Key: leadKey, Value: lead, Lease: lease}, {Key: termKey, Value: next}},
	})
	if err != nil {
		// Another was faster, or the outcome is unknown: if it is done after
		// all, the mirror shows it and the node leads then.
		controller.vacant = 0
		return
	}
	node.mirror.Apply(mirrorUpdate(
		shedkeel.Record{Key: leadKey, Value: lead, Revision: written}, shedkeel.Record{Key: termKey, Value: next, Revision: written}))
	if lead, stands := controller.lead(); stands {
		controller.adopt(lead)
	}
}

// adopt begins to lead if the record says that this node does.
func (controller *controller) adopt(lead leadRecord) {
	if !controller.leadsBy(lead) || !controller.lease.valid(controller.node.Timers.Now()) {
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
	controller.node.Log.Write(event.LeadGained, slog.Uint64("term", lead.Term))
}
