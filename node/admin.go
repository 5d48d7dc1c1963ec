package node

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// Process is what a node calls itself to operators' clients.
const Process = "node"

// Dump is the state of a node, without secrets.
type Dump struct {
	Process     string            `json:"process"`
	Node        shedkeel.NodeID   `json:"node"`
	Incarnation string            `json:"incarnation"`
	Stopping    bool              `json:"stopping"`
	Leads       bool              `json:"leads"`
	Leader      shedkeel.NodeID   `json:"leader"`
	Config      int64             `json:"config"`   // version in force
	Revision    string            `json:"revision"` // of the store, as far as is known here
	Age         string            `json:"age"`      // of the proof that nothing is newer
	Served      int64             `json:"served"`
	Nodes       []shedkeel.NodeID `json:"nodes"`
	Unnamed     []UnnamedDump     `json:"unnamed"`   // listed nodes to which callers are not sent
	Isolated    bool              `json:"isolated"`  // this node hears nobody, so it judges nobody
	Judged      []BlameDump       `json:"judged"`    // requests that are kept from servers, since servers ended under them
	Limited     []LimitDump       `json:"limited"`   // servers that limit the rate of their requests
	Evacuated   []EvacuationDump  `json:"evacuated"` // availability zones whose servers get nothing
	Groups      []GroupDump       `json:"groups"`
	Servers     []ServerDump      `json:"servers"`
}

// BlameDump is a request that is kept from servers.
type BlameDump struct {
	Request  shedkeel.RequestDigest `json:"request"`
	Judgment string                 `json:"judgment"`
	Servers  []shedkeel.InstanceID  `json:"servers"` // the starts of servers that ended under it
}

// LimitDump is a server that limits the rate of its requests.
type LimitDump struct {
	Server  shedkeel.InstanceID `json:"server"`
	Rate    float64             `json:"rate"`    // requests a second from all nodes together
	For     string              `json:"for"`     // how long this node has known it; empty: the server is cold
	Cold    string              `json:"cold"`    // how much longer it is cold; empty: it states a limit
	Granter shedkeel.NodeID     `json:"granter"` // grants the permits; empty: no node is known
	Granted int64               `json:"granted"` // permits, by this node since it grants them
	Refused int64               `json:"refused"`
}

// EvacuationDump is an availability zone that operators have evacuated.
type EvacuationDump struct {
	Zone    shedkeel.ZoneID `json:"zone"`
	Servers int             `json:"servers"` // listed there; 0 may be a misspelled zone
}

// UnnamedDump is a listed node to which callers are not sent, and why.
type UnnamedDump struct {
	Node   shedkeel.NodeID `json:"node"`
	Reason string          `json:"reason"`
}

// Why callers are not sent to a node that is listed.
const (
	reasonStopping   = "it stops, as its record says"
	reasonLeft       = "it stops, as it told other nodes"
	reasonNeverHeard = "it was listed a while ago at most, and no node has heard it since"
	reasonDead       = "no node hears it; look at its box and its way to the others"
)

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

func (node *Node) dump() Dump {
	state := node.mirror.State()
	node.controller.mutex.Lock()
	leads := node.controller.leads
	node.controller.mutex.Unlock()
	dump := Dump{
		Process: Process, Node: node.Settings.Node, Incarnation: node.Incarnation, Stopping: node.stopping.Load(), Leads: leads,
		Leader: node.controller.leader(), Revision: state.At.String(), Served: node.front.Served(),
		Age: (node.Timers.Now() - state.AsOf).Round(time.Millisecond).String(),
	}
	if view := node.fleet.view.Load(); view != nil {
		dump.Config = view.Config.Version
	}
	node.fleet.addFleet(&dump)
	dump.Isolated = node.gossip.isolated()
	dump.Unnamed = node.excludedNodes()
	dump.Judged = node.guard.judged()
	dump.Limited = node.limits.dump()
	dump.Evacuated = node.fleet.evacuations()
	return dump
}

// excludedNodes returns the listed nodes to which callers are not sent.
func (node *Node) excludedNodes() []UnnamedDump {
	found := []UnnamedDump{}
	for _, record := range node.peers.listed() {
		liveness := node.gossip.liveness(record.ID)
		switch {
		case liveness == shedkeel.Dead:
			found = append(found, UnnamedDump{record.ID, reasonDead})
		case liveness == shedkeel.Left:
			found = append(found, UnnamedDump{record.ID, reasonLeft})
		case liveness == shedkeel.Unheard:
			found = append(found, UnnamedDump{record.ID, reasonNeverHeard})
		case record.Stopping:
			found = append(found, UnnamedDump{record.ID, reasonStopping})
		}
	}
	return found
}

// addFleet adds what the fleet is made of.
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
