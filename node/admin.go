package node

import (
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/formation"
)

// Process identifies a node to operators' clients.
const Process = "node"

// Dump is a node's state for operators. It contains no secrets.
type Dump struct {
	Process        string             `json:"process"`
	Node           shedkeel.NodeID    `json:"node"`
	Incarnation    string             `json:"incarnation"`
	Stopping       bool               `json:"stopping"`
	Leads          bool               `json:"leads"`
	Leader         shedkeel.NodeID    `json:"leader"`
	Config         int64              `json:"config"`   // version of the active configuration
	Revision       string             `json:"revision"` // latest revision of the store that this node knows
	Age            string             `json:"age"`      // time since the latest proof that the node's copy is current
	Served         int64              `json:"served"`
	Nodes          []shedkeel.NodeID  `json:"nodes"`
	ExcludedNodes  []ExcludedNodeDump `json:"unnamed"`   // listed nodes that the directory leaves out
	Isolated       bool               `json:"isolated"`  // this node receives nothing from others, so it judges none of them dead
	BlamedRequests []BlameDump        `json:"judged"`    // requests withheld from servers because servers ended while running them
	Limited        []LimitDump        `json:"limited"`   // servers that limit the rate of their requests
	Evacuated      []EvacuationDump   `json:"evacuated"` // availability zones whose servers get no requests
	Groups         []GroupDump        `json:"groups"`
	Servers        []ServerDump       `json:"servers"`
}

// BlameDump is a request that is withheld from servers.
type BlameDump struct {
	Request  shedkeel.RequestDigest `json:"request"`
	Judgment string                 `json:"judgment"`
	Servers  []shedkeel.InstanceID  `json:"servers"` // incarnations of the servers that ended while running it
}

// LimitDump is a server whose request rate is limited.
type LimitDump struct {
	Server  shedkeel.InstanceID `json:"server"`
	Rate    float64             `json:"rate"`    // requests per second of all nodes together
	For     string              `json:"for"`     // how long this node has known the limit; empty: the server is cold
	Cold    string              `json:"cold"`    // how much longer the server stays cold; empty: it reported a limit
	Granter shedkeel.NodeID     `json:"granter"` // the node that grants the permits; empty: no node is known
	Granted int64               `json:"granted"` // permits granted by this node since it became the granter
	Refused int64               `json:"refused"`
}

// EvacuationDump is an availability zone that operators evacuated.
type EvacuationDump struct {
	Zone    shedkeel.ZoneID `json:"zone"`
	Servers int             `json:"servers"` // listed in the zone; 0 may mean that its name is misspelled
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
	Epoch   uint64                `json:"epoch"`
	Model   shedkeel.ModelID      `json:"model"`
	State   shedkeel.MemberState  `json:"state"` // state of the group's head; empty: the head is not listed
	Members []shedkeel.InstanceID `json:"members"`
}

// ServerDump is a backend server outside of replica groups.
type ServerDump struct {
	Server   shedkeel.InstanceID `json:"server"`
	Service  shedkeel.ServiceID  `json:"service"`
	Draining bool                `json:"draining"`
	Staged   []shedkeel.ModelID  `json:"staged"`
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
	if view := node.fleet.view.Load(); view != nil {
		dump.Config = view.Config.Version
	}
	node.fleet.addFleet(&dump)
	dump.Isolated = node.gossip.isolated()
	dump.ExcludedNodes = node.excludedNodes()
	dump.BlamedRequests = node.guard.judgedRequests()
	dump.Limited = node.limits.dump()
	dump.Evacuated = node.fleet.evacuations()
	return dump
}

// excludedNodes returns the listed nodes that the directory leaves out.
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
