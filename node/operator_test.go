package node_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/operator"
)

// TestOperatorsClient queries running nodes with the operators' client: the status, a group at
// the leader, a refused request and its trace, and IDs that the nodes don't know. It also checks
// that the metrics page counts groups.
func TestOperatorsClient(t *testing.T) {
	cluster := newTestCluster(t, 2)
	cluster.eventually("two groups serve", func() bool { return len(cluster.fleet.OpenHeads()["m0"]) >= 2 })
	client := &operator.Client{Address: cluster.nodes[0].admin}
	var status bytes.Buffer
	cluster.eventually("the node shows open groups", func() bool {
		answer, err := client.Status(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, answer.Keeper == nil) // the process that answers is a node, not a keeper
		status.Reset()
		operator.PrintStatus(&status, answer)
		return strings.Contains(status.String(), "groups: ") && !strings.Contains(status.String(), "groups: 0 open")
	})
	assert.Assert(t, strings.Contains(status.String(), "2 nodes, planned by node-"), status.String())
	assert.Assert(t, strings.Contains(status.String(), "plain-0"), "the status does not list the plain server plain-0")

	leader := client
	view, err := client.Status(t.Context())
	assert.NilError(t, err)
	group := string(view.Node.Groups[0].Group)
	for _, running := range cluster.nodes {
		if answer, err := client.Status(t.Context()); err == nil && answer.Node.Leader == running.Settings.Node {
			leader = &operator.Client{Address: running.admin}
		}
	}
	explanation, err := leader.Explain(t.Context(), group)
	assert.NilError(t, err)
	var printed bytes.Buffer
	operator.PrintExplanation(&printed, explanation)
	assert.Assert(t, strings.Contains(printed.String(), "order to an engine"), printed.String()) // the text of event.OrderSent
	assert.Equal(t, len(explanation.Node.Members), 2)                                            // the size of the model m0's groups

	id := shedkeel.NewNonce()
	cluster.eventually("a node that has its configuration refuses an unknown key", func() bool {
		code, _ := cluster.send(cluster.nodes[0].callers, id, "/copy/a", "unknown-key", 5)
		return code == http.StatusUnauthorized
	})
	log, err := client.Request(t.Context(), id)
	assert.NilError(t, err)
	printed.Reset()
	operator.PrintRequest(&printed, log)
	assert.Assert(t, strings.Contains(printed.String(), "the key belongs to no client account"), printed.String())

	trace := &operator.Trace{Request: id}
	assert.NilError(t, client.Trace(t.Context(), trace))
	lines, err := trace.Lines()
	assert.NilError(t, err)
	assert.Equal(t, lines[0].Node, "node-0")

	_, err = client.Request(t.Context(), "unknown")
	assert.ErrorContains(t, err, "none of the latest events of node node-0 tells of request unknown")
	_, err = client.Explain(t.Context(), "m0/nowhere/1")
	assert.ErrorContains(t, err, "no listed server tells of group m0/nowhere/1")

	response, err := cluster.client.Get("http://" + cluster.nodes[0].admin + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), `groups{state="open"}`), "the metrics page has no count of open groups")
}
