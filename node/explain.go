package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"shedkeel.org/shedkeel"
)

// EventLinesContentType is the content type of log lines, one JSON object per line.
const EventLinesContentType = "application/x-ndjson"

// Explanation is what a node knows about a replica group.
type Explanation struct {
	Process string            `json:"process"`
	Node    shedkeel.NodeID   `json:"node"`
	Leader  shedkeel.NodeID   `json:"leader"` // the node that plans the group and sends its orders; empty: no leader is known
	Group   shedkeel.GroupID  `json:"group"`
	Members []MemberDump      `json:"members"` // listed members, also those of former formations of the group
	Waits   []WaitDump        `json:"waits"`   // what the planner waits for; empty at nodes that don't lead
	Events  []json.RawMessage `json:"events"`  // the latest lines of this node's log about the group
}

// MemberDump is a backend server whose record names a replica group.
type MemberDump struct {
	Server   shedkeel.InstanceID  `json:"server"`
	Rank     int                  `json:"rank"` // position in the group; 0: the head
	Epoch    uint64               `json:"epoch"`
	State    shedkeel.MemberState `json:"state"`
	Draining bool                 `json:"draining"`
	Dead     bool                 `json:"dead"` // a probe found it dead; only the leader sends probes
	Slow     float64              `json:"slow"` // the pace (see paces) at which it began to count as slow; 0: not slow, or not known, since only the leader asks for paces
}

// adminHandler returns the HTTP handler of operators' queries and, if the node has metrics, of
// the metrics page.
func (node *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	if node.Metrics != nil {
		mux.Handle("GET /metrics", node.Metrics.Page)
	}
	mux.HandleFunc("GET /v1/dump", node.serveDump)
	mux.HandleFunc("GET /v1/status", node.serveDump)
	mux.HandleFunc("GET /v1/explain/{group...}", node.serveExplain)
	mux.HandleFunc("GET /v1/requests/{id}", node.serveRequest)
	return mux
}

// serveDump answers with the node's state, at both paths that operator.Client uses for it:
// /v1/status, which keepers also serve, and /v1/dump, which keepers and entries also serve.
func (node *Node) serveDump(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, node.dump())
}

// serveExplain answers with what the node knows about a group, or with 404 if no listed server
// is a member of the group and no recent log line is about it.
func (node *Node) serveExplain(writer http.ResponseWriter, request *http.Request) {
	group := shedkeel.GroupID(request.PathValue("group"))
	explanation := Explanation{
		Process: Process, Node: node.Settings.Node, Leader: node.controller.leader(), Group: group, Members: node.members(group),
		Events: []json.RawMessage{},
	}
	explanation.Waits = node.controller.waitsForGroup(group, explanation.Members, node.Timers.Now())
	for _, line := range node.Log.Recent("group", string(group)) {
		explanation.Events = append(explanation.Events, bytes.TrimSpace(line))
	}
	if len(explanation.Members) == 0 && len(explanation.Events) == 0 {
		notFound(writer, fmt.Sprintf("no listed server tells of group %s, and none of this node's latest events; its planner is node %s", group, explanation.Leader))
		return
	}
	writeJSON(writer, http.StatusOK, explanation)
}

// members returns the listed servers whose records name the group.
func (node *Node) members(group shedkeel.GroupID) []MemberDump {
	node.fleet.mutex.Lock()
	instances := node.fleet.sortedInstances()
	node.fleet.mutex.Unlock()
	controller := &node.controller
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	members := []MemberDump{}
	for _, instance := range instances {
		if instance.Member == nil || instance.Member.Group != group {
			continue
		}
		_, dead := controller.dead[instance.ID]
		members = append(members, MemberDump{
			Server: instance.ID, Rank: instance.Member.Rank, Epoch: instance.Member.Epoch, State: instance.Member.State,
			Draining: instance.Draining, Dead: dead, Slow: controller.paces.slow[instance.ID],
		})
	}
	return members
}

// serveRequest answers with this node's recent log lines about a request, or with 404 if there
// are none.
func (node *Node) serveRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	lines := node.Log.Recent("request", id)
	if len(lines) == 0 {
		notFound(writer, fmt.Sprintf("none of the latest events of node %s tells of request %s; ask the node that its caller sent it to, or read its log", node.Settings.Node, id))
		return
	}
	writer.Header().Set("Content-Type", EventLinesContentType)
	writer.Header().Set("X-Content-Type-Options", "nosniff")
	for _, line := range lines {
		_, _ = writer.Write(line) //nolint:gosec // JSON lines with nosniff, so no browser interprets them; an error means that the client disconnected
	}
}

// notFound answers 404 with an error text.
func notFound(writer http.ResponseWriter, text string) {
	writeJSON(writer, http.StatusNotFound, map[string]string{"error": text})
}

// writeJSON answers with the body as JSON.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // an error means that the client disconnected
}
