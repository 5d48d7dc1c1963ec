package node

import (
	"encoding/json"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// Dump is the state of a node, without secrets.
type Dump struct {
	Node        shedkeel.NodeID   `json:"node"`
	Incarnation string            `json:"incarnation"`
	Stopping    bool              `json:"stopping"`
	Leads       bool              `json:"leads"`
	Leader      shedkeel.NodeID   `json:"leader"`
	Config      int64             `json:"config"`   // version in force
	Revision    int64             `json:"revision"` // of the store, as far as is known here
	Age         string            `json:"age"`      // of the proof that nothing is newer
	Served      int64             `json:"served"`
	Nodes       []shedkeel.NodeID `json:"nodes"`
	Groups      []GroupDump       `json:"groups"`
	Servers     []ServerDump      `json:"servers"`
}

// GroupDump is what a node believes of a replica group.
type GroupDump struct {
	Group   shedkeel.GroupID      `json:"group"`
	Epoch   uint64                `json:"epoch"`
	Model   shedkeel.ModelID      `json:"model"`
	State   shedkeel.MemberState  `json:"state"` // of its head; empty: not listed
	Members []shedkeel.InstanceID `json:"members"`
}

// ServerDump is a backend server that is in no replica group.
type ServerDump struct {
	Server   shedkeel.InstanceID `json:"server"`
	Service  shedkeel.ServiceID  `json:"service"`
	Draining bool                `json:"draining"`
	Staged   []shedkeel.ModelID  `json:"staged"`
}

// adminHandler serves metrics and the state of the node.
func (node *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	if node.Metrics != nil {
		mux.Handle("GET /metrics", node.Metrics.Page)
	}
	mux.HandleFunc("GET /v1/dump", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(node.dump())
	})
	return mux
}

func (node *Node) dump() Dump {
	state := node.mirror.State()
	node.controller.mutex.Lock()
	leads := node.controller.leads
	node.controller.mutex.Unlock()
	dump := Dump{
		Node: node.Settings.Node, Incarnation: node.Incarnation, Stopping: node.stopping.Load(), Leads: leads,
		Leader: node.controller.lead().Node, Revision: state.At, Served: node.front.Served(),
		Age: (node.Timers.Now() - state.AsOf).Round(time.Millisecond).String(),
	}
	if view := node.fleet.view.Load(); view != nil {
		dump.Config = view.Config.Version
	}
	node.fleet.describe(&dump)
	return dump
}

// describe adds what the fleet is made of.
func (fleet *fleet) describe(dump *Dump) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, node := range fleet.sortedNodes() {
		dump.Nodes = append(dump.Nodes, node.ID)
	}
	for _, group := range formation.Groups(fleet.sortedInstances()) {
		dump.Groups = append(dump.Groups, GroupDump(group))
	}
	for _, instance := range fleet.sortedInstances() {
		if instance.Member == nil {
			dump.Servers = append(dump.Servers, ServerDump{Server: instance.ID, Service: instance.Service, Draining: instance.Draining, Staged: instance.Staged})
		}
	}
}

// report logs and counts once a second what has no event of its own.
func (node *Node) report(now time.Duration) {
	node.Log.Report()
	if node.Metrics == nil {
		return
	}
	scope := node.Metrics.Scope
	scope.Gauge("mirror_age_seconds").Update((now - node.mirror.State().AsOf).Seconds())
	scope.Gauge("nodes").Update(float64(node.fleet.nodeCount()))
	if counted, ok := node.Store.(interface {
		Calls() (reads, writes, watches int64)
	}); ok {
		reads, writes, watches := counted.Calls()
		scope.Gauge("store_reads").Update(float64(reads))
		scope.Gauge("store_writes").Update(float64(writes))
		scope.Gauge("store_watches").Update(float64(watches))
	}
}
