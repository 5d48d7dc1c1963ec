package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/operator"
)

// maxTerminated is how many servers one request may terminate.
const maxTerminated = 3

// newDeadlyCluster returns a test cluster in which requests with the body "deadly" terminate the
// servers that run them. If nodes do not count these servers, a request that arrives repeatedly,
// with a new ID and at another node each time, terminates 18 of them, for example, and hardly any
// other request for the same groups is answered on time.
func newDeadlyCluster(t *testing.T, nodes int) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, nodes)
	cluster.fleet.CrashPrefix = "deadly"
	cluster.eventually("all nodes are in the directory", func() bool { return len(cluster.addresses(0)) == nodes })
	return cluster
}

// terminated returns how many servers the deadly request has terminated.
func (cluster *testCluster) terminated() int { return cluster.fleet.CrashCounts()["deadly"] }

// waitServing waits until the node answers a harmless request for the model m0 and two groups
// serve the model.
func (cluster *testCluster) waitServing(index int) {
	cluster.t.Helper()
	cluster.eventually("the node serves", func() bool {
		status, body := cluster.send(cluster.nodes[index].callers, shedkeel.NewNonce(), "/copy/a", "key-1", 50)
		// 10 events stand for the 50 tokens that the request asks for.
		return status == 200 && body == completeStream(10) && len(cluster.fleet.OpenHeads()["m0"]) >= 2
	})
}

// sendDeadly waits until the node serves, then sends it the deadly request with a new ID. It
// returns the status and body of the answer.
func (cluster *testCluster) sendDeadly(index int) (int, string) {
	cluster.t.Helper()
	cluster.waitServing(index)
	return cluster.sendBody(cluster.nodes[index].callers, shedkeel.NewNonce(), "/copy/a", "key-1", "deadly", 50)
}

// TestRequestThatEndsServersIsContained sends the deadly request to all nodes in turn,
// while other requests for the model arrive too. The deadly request must terminate at most
// maxTerminated servers. Other requests must be served afterwards, and operators must be able
// to find the deadly request and to release it.
func TestRequestThatEndsServersIsContained(t *testing.T) {
	checkContained(t, newDeadlyCluster(t, 3))
}

// TestRequestThatEndsServersRestartedAtOnce guards against a deadly request that terminates any number
// of servers, because the next process of each accepts connections before the end of the last is noticed.
func TestRequestThatEndsServersRestartedAtOnce(t *testing.T) {
	cluster := newDeadlyCluster(t, 3)
	cluster.restartDelay = 0
	checkContained(t, cluster)
}

// checkContained is the body of the tests above.
func checkContained(t *testing.T, cluster *testCluster) {
	for try := range 12 { // four times to each of the three nodes
		status, body := cluster.sendDeadly(try % 3)
		assert.Assert(t, status != 200, "the deadly request was answered: %s", body)
	}
	assert.Assert(t, cluster.terminated() <= maxTerminated, "%d servers terminated", cluster.terminated())
	cluster.waitServing(1)
	cluster.checkOperatorView()
}

// checkOperatorView checks that operators can find the blame of the deadly request by the ID
// that a caller sent with it, and can release the request by removing the blame's record.
func (cluster *testCluster) checkOperatorView() {
	t := cluster.t
	id := shedkeel.NewNonce()
	status, body := cluster.sendBody(cluster.nodes[0].callers, id, "/copy/a", "key-1", "deadly", 50)
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	client := &operator.Client{Address: cluster.nodes[0].admin}
	report, err := client.Request(t.Context(), id)
	assert.NilError(t, err)
	var printed bytes.Buffer
	operator.PrintRequest(&printed, report)
	digest := regexp.MustCompile(`digest=([0-9a-f]+)`).FindStringSubmatch(printed.String())
	assert.Equal(t, len(digest), 2, printed.String())

	answer, err := client.Status(t.Context())
	assert.NilError(t, err)
	printed.Reset()
	operator.PrintStatus(&printed, answer)
	assert.Assert(t, strings.Contains(printed.String(), "request "+digest[1]+" is contained"), printed.String())

	_, err = cluster.data.Commit(shedkeel.Transaction{Remove: []string{"shedkeel/blames/" + digest[1]}}) // the key of the blame's record (BlamePrefix)
	assert.NilError(t, err)
	cluster.eventually("the request is released", func() bool {
		answer, err := client.Status(t.Context())
		return err == nil && len(answer.Node.BlamedRequests) == 0
	})
}

// TestContainedAfterLossOfAllNodes replaces all nodes by new ones after the deadly request
// has terminated up to three servers. The new nodes must read the blame from the key-value
// service before they serve, so that the request terminates no more servers.
func TestContainedAfterLossOfAllNodes(t *testing.T) {
	cluster := newDeadlyCluster(t, 2)
	for try := range 4 { // twice to each node
		cluster.sendDeadly(try % 2)
	}
	time.Sleep(time.Second) // until the blame is written to the key-value service
	for _, node := range cluster.nodes {
		node.stop()
		node.ended.Wait()
	}
	before := cluster.terminated()
	for index := range 2 {
		cluster.start(2 + index) // nodes 0 and 1 have stopped
	}
	for try := range 4 {
		cluster.sendDeadly(2 + try%2)
	}
	assert.Equal(t, cluster.terminated(), before, "a contained request terminated more servers")
	assert.Assert(t, cluster.terminated() <= maxTerminated, "%d servers terminated", cluster.terminated())
}

// TestBurstIsContained sends the deadly request 20 times a second, to all nodes in turn, so that
// many requests with the same digest are in progress whenever a server terminates. None of them
// may be answered with status 200, and they must terminate at most maxOfBurst servers.
func TestBurstIsContained(t *testing.T) {
	// 80 requests are sent, one every 50 ms.
	const copies, pause = 80, 50 * time.Millisecond
	const maxOfBurst = 5 // servers; more than maxTerminated, as several may run the request before the first one terminates
	cluster := newDeadlyCluster(t, 3)
	for index := range 3 {
		cluster.waitServing(index)
	}
	statuses := make(chan int)
	for index := range copies {
		go func() {
			time.Sleep(time.Duration(index) * pause)
			status, _ := cluster.sendBody(cluster.nodes[index%3].callers, fmt.Sprint("crowd-", index), "/copy/a", "key-1", "deadly", 50)
			statuses <- status
		}()
	}
	for range copies {
		assert.Assert(t, <-statuses != 200)
	}
	assert.Assert(t, cluster.terminated() <= maxOfBurst, "%d servers terminated", cluster.terminated())
	cluster.waitServing(2)
}
