package node

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// Process is the value of the field "process" in a node's answers to operators' clients.
// It tells the clients that the process is a node.
const Process = "node"

// Dump is a node's state for operators. It contains no secrets.
type Dump struct {
	Process        string             `json:"process"`
	Node           shedkeel.NodeID    `json:"node"`
	Incarnation    string             `json:"incarnation"`
	Stopping       bool               `json:"stopping"`
	Leads          bool               `json:"leads"`    // this node has been elected leader; its lease may have expired
	Leader         shedkeel.NodeID    `json:"leader"`   // empty: no leader is known
	Config         int64              `json:"config"`   // version of the active configuration; 0: none
	Revision       string             `json:"revision"` // revision of the key-value service that this node's copy of the records has reached
	Age            string             `json:"age"`      // how long ago that copy was last proven current
	Served         int64              `json:"served"`   // requests received since the process started, including refused ones
	Nodes          []shedkeel.NodeID  `json:"nodes"`    // the listed nodes: those whose records this node has
	ExcludedNodes  []ExcludedNodeDump `json:"unnamed"`  // listed nodes that the directory does not name to callers
	Isolated       bool               `json:"isolated"` // this node receives nothing, neither from other nodes nor from the key-value service, so it declares no node dead
	Reach          ReachDump          `json:"reach"`
	BlamedRequests []BlameDump        `json:"judged"`    // quarantined and contained digests and parts of prompts
	Limited        []LimitDump        `json:"limited"`   // servers that limit their request rate or are cold
	Evacuated      []EvacuationDump   `json:"evacuated"` // availability zones whose servers get no requests
	Overload       []OverloadDump     `json:"overload"`  // of the models whose requests this node spreads
	Models         []ModelDump        `json:"models"`    // empty at nodes that don't lead
	Groups         []GroupDump        `json:"groups"`
	Servers        []ServerDump       `json:"servers"`
}

// ReachDump tells which backend servers this node reaches, and for whom it opens connections.
type ReachDump struct {
	Unreachable int    `json:"unreachable"` // servers whose latest direct dial failed in the last seconds
	CutOff      bool   `json:"cut_off"`     // one of these servers is reached by another node, which relays the connections of this one
	NoPath      bool   `json:"no_path"`     // neither this node nor others for it reach a server; requests are refused
	Heard       string `json:"heard"`       // how long ago a server was last heard over a direct connection; empty: never
	Relayed     int64  `json:"relayed"`     // connections that are open for other nodes
}

// BlameDump is a digest or a part of prompts whose requests may be sent to no server (contained) or
// to one at a time (quarantined), because servers have terminated while running them.
type BlameDump struct {
	Request         shedkeel.Subject      `json:"request"`
	Model           shedkeel.ModelID      `json:"model,omitempty"`  // of a part of prompts
	Part            shedkeel.PartID       `json:"part,omitempty"`   // empty: a digest
	Judgment        string                `json:"judgment"`         // "quarantined" or "contained"
	Servers         []shedkeel.InstanceID `json:"servers"`          // the instances that terminated while running the requests
	Since           time.Time             `json:"since,omitzero"`   // when the first of the servers terminated, if known
	Recorded        bool                  `json:"recorded"`         // the key-value service has a record, which operators can remove
	Refused         int64                 `json:"refused"`          // requests that this node has refused because of it
	RefusedAccounts []shedkeel.AccountID  `json:"refused_accounts"` // client accounts of these, at most maxRefusedAccounts
}

// LimitDump is a server whose request rate is limited: the server states a limit in its
// answers, or it is cold, that is, it has started recently and accepts fewer requests until
// it is warm. A server to which both apply has two dumps.
type LimitDump struct {
	Server  shedkeel.InstanceID `json:"server"`
	Rate    float64             `json:"rate"`    // requests per second that the server accepts from all nodes together
	For     string              `json:"for"`     // how long the server has stated a limit without a break; empty: the dump is of the cold state
	Cold    string              `json:"cold"`    // how much longer the server stays cold; empty: the dump is of a stated limit
	Granter shedkeel.NodeID     `json:"granter"` // the node that grants the permits to send the server requests; empty: no node is known
	Granted int64               `json:"granted"` // permits granted by this node since it became the granter; 0 if this node is not the granter
	Refused int64               `json:"refused"` // requests for permits refused by this node in the same time
}

// EvacuationDump is an availability zone that operators evacuated.
type EvacuationDump struct {
	Zone    shedkeel.ZoneID `json:"zone"`
	Servers int             `json:"servers"` // listed servers in the zone; 0 may mean that the zone's name is misspelled
}

// ExcludedNodeDump is a listed node that the directory leaves out, and why.
type ExcludedNodeDump struct {
	Node   shedkeel.NodeID `json:"node"`
	Reason string          `json:"reason"`
}

// Reasons why the directory leaves out a listed node.
const (
	reasonStopping   = "it stops, as its record says"
	reasonLeft       = "it stops, as it told other nodes"
	reasonNeverHeard = "it was listed a while ago at most, and no node has heard it since"
	reasonDead       = "no node hears it; look at its box and its way to the others"
)

// GroupDump is a replica group as this node knows it.
type GroupDump struct {
	Group   shedkeel.GroupID      `json:"group"`
	Epoch   uint64                `json:"epoch"` // the highest epoch that a listed server reports for the group
	Model   shedkeel.ModelID      `json:"model"`
	State   shedkeel.MemberState  `json:"state"`   // state of the group's head; empty: no listed head reports that epoch
	Members []shedkeel.InstanceID `json:"members"` // the listed servers that report the group with that epoch
}

// ServerDump is a backend server whose record names no replica group.
type ServerDump struct {
	Server   shedkeel.InstanceID `json:"server"`
	Service  shedkeel.ServiceID  `json:"service"`
	Draining bool                `json:"draining"`
	Staged   []shedkeel.ModelID  `json:"staged"` // models whose weights are in the host memory of its box
}

// dump returns the node's state.
func (node *Node) dump() Dump {
	state := node.mirror.State()
	node.controller.mutex.Lock()
	leads := node.controller.leads
	node.controller.mutex.Unlock()
	dump := Dump{
		Process: Process, Node: node.Settings.Node, Incarnation: node.Incarnation, Stopping: node.stopping.Load(), Leads: leads,
		Leader: node.controller.leader(), Revision: state.At.String(), Served: node.handler.RequestCount(),
		Age: (node.Timers.Now() - state.AsOf).Round(time.Millisecond).String(),
	}
	if view := node.fleet.view(); view != nil {
		dump.Config = view.Config.Version
	}
	node.fleet.addFleet(&dump)
	dump.Isolated = node.gossip.isolated()
	dump.Reach = node.reachDump()
	dump.ExcludedNodes = node.excludedNodes()
	dump.BlamedRequests = node.guard.judgedSubjects()
	dump.Limited = node.limits.dump()
	dump.Evacuated = node.fleet.evacuations()
	dump.Models = node.controller.modelDumps(node.Timers.Now())
	dump.Overload = node.admissions.dump(node.Timers.Now())
	return dump
}

// excludedNodes returns the listed nodes that the directory leaves out because they stop, are
// dead or have not been heard yet. The directory also leaves out this node while this node is
// not ready; excludedNodes does not return a node for that reason.
func (node *Node) excludedNodes() []ExcludedNodeDump {
	found := []ExcludedNodeDump{}
	for _, record := range node.peers.listed() {
		liveness := node.gossip.liveness(record.ID)
		switch {
		case liveness == shedkeel.Dead:
			found = append(found, ExcludedNodeDump{record.ID, reasonDead})
		case liveness == shedkeel.Left:
			found = append(found, ExcludedNodeDump{record.ID, reasonLeft})
		case liveness == shedkeel.Unconfirmed:
			found = append(found, ExcludedNodeDump{record.ID, reasonNeverHeard})
		case record.Stopping:
			found = append(found, ExcludedNodeDump{record.ID, reasonStopping})
		}
	}
	return found
}

// addFleet adds the nodes, groups and servers to a dump.
func (fleet *fleet) addFleet(dump *Dump) {
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
