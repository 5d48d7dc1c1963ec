// Package crowd runs the node's program on loopback beside crowds of clients that don't behave, and
// checks that the process lives, that its memory and descriptors stay within the smallest box, and
// that an ordinary request is answered while the crowd is there.
//
//	go test ./crowd -run 'TestCrowd/callers/short_lines'
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
)

const (
	// boxMemory is the memory of the smallest box, in bytes. The settings of the node state no
	// memory, so that it must stay within this.
	boxMemory = 160_000_000
	// boxDescriptors is how many descriptors the smallest box allows a process for sockets: 4,100
	// less the 200 that are reserved for files.
	boxDescriptors = 3900
	// maxHead and maxBody are the limits of a request in configText, in bytes.
	maxHead = 16 << 10
	maxBody = 4 << 20
	// actTime is for how long a crowd acts before the ordinary request is sent. The crowd stays.
	actTime = 4 * time.Second
	// answerTime bounds the tries of the ordinary request.
	answerTime = 40 * time.Second
	// reconnectPause is how long a client whose connection was closed waits before the next one.
	reconnectPause = 200 * time.Millisecond
	// sourceAddresses is from how many loopback addresses the clients of a crowd come.
	sourceAddresses = 50
	// pieceBytes is the size of the pieces in which clients send a body.
	pieceBytes = 64 << 10
)

// kind is what each client of a crowd does.
type kind struct {
	clients int
	// act does it over one connection. When it returns, the connection is closed and the client
	// begins again. It uses wait to keep the connection open.
	act func(client *client)
}

// client is one client of a crowd.
type client struct {
	conn   net.Conn
	number int
	node   *process
	done   <-chan struct{} // closed when the crowd leaves
}

// kinds are what crowds do, by listener. The heads and bodies are inside the limits of configText
// unless the name says otherwise.
var kinds = map[string]map[string]kind{
	"callers": {
		"short lines":                 {1000, func(client *client) { client.sendHead(shortLines, maxHead-384, 1) }},
		"one name":                    {1000, func(client *client) { client.sendHead(oneName, maxHead-384, 1) }},
		"odd names":                   {1000, func(client *client) { client.sendHead(oddNames, maxHead-384, 1) }},
		"short lines without end":     {1000, func(client *client) { client.sendHead(shortLines, maxHead-384, -1) }},
		"head over the limit":         {200, func(client *client) { client.sendHead(shortLines, 1_000_000, 1) }},
		"head without end":            {200, (*client).sendEndlessHead},
		"empty lines":                 {200, (*client).sendEmptyLines},
		"empty lines after a request": {200, (*client).sendEmptyLinesAfterRequest},
		"body short of its end":       {60, func(client *client) { client.sendBody(maxBody-1, maxBody) }},
		"body in pieces":              {60, func(client *client) { client.sendBody(maxBody-1, pieceBytes) }},
		"chunked body":                {60, (*client).sendChunkedBody},
		"whole bodies":                {60, func(client *client) { client.sendBody(maxBody, maxBody) }},
		"long names of requests":      {20, (*client).sendLongNames},
		"at rest":                     {4500, (*client).rest},
	},
	"directory": httpKinds,
	"readiness": httpKinds,
	"metrics":   httpKinds,
	"control":   callKinds,
}

// callKinds are what crowds do at listeners for calls.
var callKinds = map[string]kind{
	"at rest": {4500, func(client *client) {
		client.send([]byte{0})
		client.wait()
	}},
	"messages without key": {4, (*client).openStreams},
}

// boxKinds are what crowds do at the listeners of the programs of an entry box, by program and listener.
var boxKinds = map[string]map[string]map[string]kind{
	"shedkeel-entry":  {"entry": httpKinds, "admin": httpKinds},
	"shedkeel-keeper": {"operator": httpKinds, "wire": callKinds},
}

// httpKinds are what crowds do at listeners that bear no requests for backend servers.
var httpKinds = map[string]kind{
	"short lines":           {1000, func(client *client) { client.sendHead(shortLines, maxHead-384, 1) }},
	"one name":              {1000, func(client *client) { client.sendHead(oneName, maxHead-384, 1) }},
	"odd names":             {1000, func(client *client) { client.sendHead(oddNames, maxHead-384, 1) }},
	"head over the limit":   {40, func(client *client) { client.sendHead(shortLines, 1_000_000, 1) }},
	"head without end":      {60, (*client).sendEndlessHead},
	"empty lines":           {200, (*client).sendEmptyLines},
	"body short of its end": {60, func(client *client) { client.sendBody(maxBody-1, maxBody) }},
	"body in pieces":        {60, func(client *client) { client.sendBody(maxBody-1, pieceBytes) }},
	"chunked body":          {60, (*client).sendChunkedBody},
	"whole bodies":          {60, func(client *client) { client.sendBody(maxBody, maxBody) }},
	"at rest":               {4500, (*client).rest},
}

// TestCrowd runs one crowd at a time, each at a node of its own.
func TestCrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds per crowd")
	}
	binary := build(t, "shedkeel-node")
	for listener, crowds := range kinds {
		t.Run(listener, func(t *testing.T) {
			for name, kind := range crowds {
				t.Run(name, func(t *testing.T) { runCrowd(t, startNode(t, binary), "callers", listener, kind) })
			}
		})
	}
}

// TestCrowdAtBox runs one crowd at a time at the programs of an entry box, each without the other program.
func TestCrowdAtBox(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds per crowd")
	}
	ordinary := map[string]string{"shedkeel-entry": "entry", "shedkeel-keeper": "operator"}
	for program, listeners := range boxKinds {
		binary := build(t, program)
		for listener, crowds := range listeners {
			t.Run(listener, func(t *testing.T) {
				for name, kind := range crowds {
					t.Run(name, func(t *testing.T) {
						runCrowd(t, startBox(t, binary, ordinary[program]), ordinary[program], listener, kind)
					})
				}
			})
		}
	}
}

// TestCrowdOfAllKinds has the crowds of the callers' listener at one node at once, except those
// that need the most clients.
func TestCrowdOfAllKinds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	node := startNode(t, build(t, "shedkeel-node"))
	crowd := &crowd{done: make(chan struct{})}
	for _, kind := range kinds["callers"] {
		kind.clients = min(kind.clients, 100)
		crowd.add(node, "callers", kind)
	}
	judge(t, node, "callers", "callers", crowd)
}

// TestLargestRequests has a few callers one after the other send the largest request inside the
// limits, with nothing beside them.
func TestLargestRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	node := startNode(t, build(t, "shedkeel-node"))
	body := bytes.Repeat([]byte("x"), maxBody)
	for range 8 {
		status, err := node.request("callers", shortLines(maxHead-384), body)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
	checkUse(t, node)
}

// runCrowd has the crowd at the listener of a process, and judges the process. ordinary is the listener for
// requests.
func runCrowd(t *testing.T, node *process, ordinary, listener string, kind kind) {
	t.Helper()
	crowd := &crowd{done: make(chan struct{})}
	crowd.add(node, listener, kind)
	judge(t, node, ordinary, listener, crowd)
}

// judge lets the crowd act, sends ordinary requests beside it, and checks the process.
func judge(t *testing.T, node *process, ordinary, listener string, crowd *crowd) {
	t.Helper()
	time.Sleep(actTime)
	answered := node.awaitAnswer(ordinary)
	answeredThere := listener == ordinary || listener == "control" || listener == "wire" || node.awaitAnswer(listener)
	close(crowd.done)
	crowd.clients.Wait()
	assert.Check(t, answered, "no ordinary request was answered beside the crowd")
	assert.Check(t, answeredThere, "no ordinary request to the %s listener was answered beside the crowd", listener)
	assert.Check(t, node.awaitAnswer(ordinary), "no ordinary request was answered after the crowd")
	checkUse(t, node)
	t.Logf("%d connections were opened", crowd.opened.Load())
}

// checkUse checks that the process lives, and its memory and descriptors at their peak.
func checkUse(t *testing.T, node *process) {
	t.Helper()
	use := node.stop()
	t.Logf("peak: %.0f MB resident, %.0f MB with unread bytes, %d descriptors", float64(use.resident)/1e6, float64(use.memory)/1e6, use.descriptors)
	assert.Check(t, use.lives, "the process has ended")
	assert.Check(t, use.resident <= boxMemory, "%d bytes of memory, the box has %d", use.resident, boxMemory)
	assert.Check(t, use.memory <= boxMemory, "%d bytes of memory and of unread data, the box has %d", use.memory, boxMemory)
	assert.Check(t, use.descriptors <= boxDescriptors, "%d descriptors, the box has %d", use.descriptors, boxDescriptors)
}

// crowd is a number of clients that act until done is closed.
type crowd struct {
	done    chan struct{}
	clients sync.WaitGroup
	opened  atomic.Int64 // connections
}

// add adds the clients of the kind at the listener.
func (crowd *crowd) add(node *process, listener string, kind kind) {
	for number := range kind.clients {
		crowd.clients.Go(func() { crowd.run(node, listener, kind, number) })
	}
}

// run has one client act over one connection after the other until the crowd leaves.
func (crowd *crowd) run(node *process, listener string, kind kind, number int) {
	dialer := &net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 200, 1, byte(1+number%sourceAddresses))}}
	for {
		if conn, err := dialer.DialContext(context.Background(), "tcp", node.addresses[listener]); err == nil {
			crowd.opened.Add(1)
			stop := make(chan struct{})
			go func() {
				select {
				case <-crowd.done:
				case <-stop:
				}
				_ = conn.Close()
			}()
			kind.act(&client{conn: conn, number: number, node: node, done: crowd.done})
			close(stop)
		}
		select {
		case <-crowd.done:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// send sends the data and reports whether it was accepted.
func (client *client) send(data []byte) bool {
	_, err := client.conn.Write(data)
	return err == nil
}

// wait keeps the connection open until the node closes it or the crowd leaves.
func (client *client) wait() { _, _ = io.Copy(io.Discard, client.conn) }

// startLines are the first lines of a request that is inside the limits, without its end.
func (client *client) startLines() string {
	return fmt.Sprintf("POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Shedkeel-Key: stays\r\nX-Shedkeel-Deadline-Ms: 8000\r\nX-Shedkeel-Attempt-Id: crowd-%d-%d\r\n", client.number, time.Now().UnixNano())
}

// sendHead sends a request with header lines of the total size, and one byte of its body of two if
// bodyBytes is 1. If it is negative, the head doesn't end.
func (client *client) sendHead(lines func(size int) string, size, bodyBytes int) {
	head := client.startLines() + "Content-Length: 2\r\n" + lines(size)
	if bodyBytes >= 0 {
		head += "\r\n" + strings.Repeat("x", bodyBytes)
	}
	if client.send([]byte(head)) {
		client.wait()
	}
}

// shortLines returns header lines of about that size whose names are all different.
func shortLines(size int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < size-8; number++ {
		fmt.Fprintf(&lines, "%s:\r\n", letters(number))
	}
	return lines.String()
}

// letters returns a short name for the number.
func letters(number int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := ""
	for ; number >= 0; number = number/len(digits) - 1 {
		name = string(digits[number%len(digits)]) + name
	}
	return "q" + name
}

// oneName returns header lines of about that size with the same name.
func oneName(size int) string { return strings.Repeat("a:\r\n", size/4) }

// oddNames returns header lines of about that size with names of unusual characters.
func oddNames(size int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < size-16; number++ {
		fmt.Fprintf(&lines, "!#$%%&'*+-.^_`|~%d: \t\r\n", number%1000)
	}
	return lines.String()
}

// sendEndlessHead sends header lines until the node closes the connection.
func (client *client) sendEndlessHead() {
	lines := []byte(shortLines(pieceBytes))
	for sent := client.send([]byte(client.startLines())); sent; {
		sent = client.send(lines)
	}
}

// sendEmptyLines sends empty lines until the node closes the connection.
func (client *client) sendEmptyLines() {
	lines := bytes.Repeat([]byte("\r\n"), pieceBytes/2)
	for client.send(lines) {
	}
}

// sendEmptyLinesAfterRequest sends a whole request, and then empty lines.
func (client *client) sendEmptyLinesAfterRequest() {
	if client.send([]byte(client.startLines() + "Content-Length: 2\r\n\r\nxx")) {
		client.sendEmptyLines()
	}
}

// sendBody sends a request that states a body of maxBody, and so many bytes of it as sent says,
// in pieces. It waits for the answer to a whole body.
func (client *client) sendBody(sent, piece int) {
	if !client.send(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", client.startLines(), maxBody)) {
		return
	}
	data := bytes.Repeat([]byte("x"), piece)
	for left := sent; left > 0; left -= piece {
		if !client.send(data[:min(left, piece)]) {
			return
		}
	}
	if sent < maxBody {
		client.wait()
		return
	}
	_, _ = client.conn.Read(make([]byte, 1))
}

// sendChunkedBody sends a body in chunks, without its last one.
func (client *client) sendChunkedBody() {
	if !client.send([]byte(client.startLines() + "Transfer-Encoding: chunked\r\n\r\n")) {
		return
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", pieceBytes, bytes.Repeat([]byte("x"), pieceBytes))
	for range maxBody/pieceBytes - 1 {
		if !client.send(chunk) {
			return
		}
	}
	client.wait()
}

// rest sends a small request, reads the answer and keeps the connection open.
func (client *client) rest() {
	if client.send([]byte(client.startLines() + "Content-Length: 2\r\n\r\nxx")) {
		client.wait()
	}
}

// sendLongNames sends requests without a key whose IDs are as long as a head may be, and of bytes that take up
// several times as much where they are written as text.
func (client *client) sendLongNames() {
	request := fmt.Appendf(nil, "GET /look/x HTTP/1.1\r\nHost: h.example\r\nX-Shedkeel-Attempt-Id: %s\r\n\r\n", bytes.Repeat([]byte{0xff}, maxHead-384))
	go func() { _, _ = io.Copy(io.Discard, client.conn) }()
	for client.send(request) {
		time.Sleep(20 * time.Millisecond)
	}
}

// openStreams opens streams to a control address, and begins a message of the largest size on each
// without knowing the key.
func (client *client) openStreams() {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(client.conn, config)
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	message := append([]byte{0x80, 0x80, 0x80, 0x02}, bytes.Repeat([]byte("x"), pieceBytes)...) // its size, 4 MiB, as a varint
	for range 64 {
		stream, err := session.OpenStream()
		if err != nil {
			return
		}
		go func() { _, _ = stream.Write(message) }()
	}
	<-session.CloseChan()
}
