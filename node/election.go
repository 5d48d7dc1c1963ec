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
	// termEpochs is how many epochs one term of a leader has.
	termEpochs = 1 << 20

	leadKey = "shedkeel/lead"
	termKey = "shedkeel/term"
)

// leadRecord says who plans. It goes with the leader's lease.
type leadRecord struct {
	Node        shedkeel.NodeID `json:"node"`
	Incarnation string          `json:"incarnation"`
	Term        uint64          `json:"term"`
}

// names reports whether the record names this start of the node.
func (lead *leadRecord) names(node *Node) bool {
	return lead.Node == node.Settings.Node && lead.Incarnation == node.Incarnation
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
	lead := controller.lead()
	mine := lead.names(controller.node)
	if mine && !controller.resigned && controller.node.member.valid(now) {
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
	ctx, cancel := context.WithTimeout(context.Background(), leaseMargin)
	defer cancel()
	record := controller.node.mirror.Get(leadKey)
	_, err := controller.node.Store.Commit(ctx, shedkeel.Change{If: []shedkeel.Condition{{Key: leadKey, Revision: record.Revision}}, Remove: []string{leadKey}})
	if err != nil {
		controller.node.Log.Write(event.LeadLost, slog.String("error", err.Error()))
	}
}

// lead returns the record of who leads, as far as is known here.
func (controller *controller) lead() leadRecord {
	var lead leadRecord
	record := controller.node.mirror.Get(leadKey)
	if record.Revision == 0 {
		return lead
	}
	if err := json.Unmarshal(record.Value, &lead); err != nil {
		controller.node.Log.Write(event.RecordSkipped, slog.String("key", leadKey), slog.String("error", err.Error()))
	}
	return lead
}

// elect tries to lead where nobody does.
func (controller *controller) elect(ctx context.Context, now time.Duration) {
	node := controller.node
	state := node.mirror.State()
	controller.mutex.Lock()
	resigned := controller.resigned
	controller.mutex.Unlock()
	if resigned || !state.Known || now-state.AsOf > planAge || !node.member.valid(now) || node.mirror.Get(leadKey).Revision != 0 {
		controller.vacant = 0
		return
	}
	if controller.vacant == 0 {
		controller.vacant = now
	}
	if now-controller.vacant < time.Duration(node.peers.place())*electionStep {
		return
	}
	var term termRecord
	record := node.mirror.Get(termKey)
	if record.Revision != 0 {
		if err := json.Unmarshal(record.Value, &term); err != nil {
			node.Log.Write(event.RecordSkipped, slog.String("key", termKey), slog.String("error", err.Error()))
			return
		}
	}
	controller.tryLead(ctx, record.Revision, term.Term+1)
}

func (controller *controller) tryLead(ctx context.Context, revision int64, term uint64) {
	node := controller.node
	lead, err := json.Marshal(leadRecord{Node: node.Settings.Node, Incarnation: node.Incarnation, Term: term})
	if err != nil {
		return
	}
	next, err := json.Marshal(termRecord{Term: term})
	if err != nil {
		return
	}
	written, err := node.Store.Commit(ctx, shedkeel.Change{
		If:  []shedkeel.Condition{{Key: leadKey, Revision: 0}, {Key: termKey, Revision: revision}},
		Put: []shedkeel.Put{{Key: leadKey, Value: lead, Lease: shedkeel.LeaseID(node.member.lease.Load())}, {Key: termKey, Value: next}},
	})
	if err != nil {
		// Another was faster, or the outcome is unknown; the mirror shows
		// which.
		controller.vacant = 0
		timer.Sleep(ctx, planTick)
		controller.adopt(term)
		return
	}
	node.mirror.Apply(mirrorUpdate(
		shedkeel.Record{Key: leadKey, Value: lead, Revision: written}, shedkeel.Record{Key: termKey, Value: next, Revision: written}))
	controller.adopt(term)
}

// adopt begins to lead if the record says that this node does.
func (controller *controller) adopt(term uint64) {
	lead := controller.lead()
	if !lead.names(controller.node) || lead.Term != term {
		return
	}
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.leads = true
	controller.term = term
	controller.epochs = 0
	controller.planners = map[shedkeel.ServiceID]*formation.Planner{}
	controller.node.Log.Write(event.LeadGained, slog.Uint64("term", term))
}
