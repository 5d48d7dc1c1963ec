package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shedkeel.org/shedkeel/quota"
)

const (
	// lingerTime is how long a connection is read after a refusal. Closing it at once would reset it,
	// which may destroy the answer on its way to the client.
	lingerTime = time.Second
	// writeTime bounds the writing of a refusal.
	writeTime = 100 * time.Millisecond
	// refusalBuffer is the size of the buffer for what a client sends after a refusal.
	refusalBuffer = 512
)

// errRefused reports that the client was refused or has lost its place.
var errRefused = errors.New("the client was refused")

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	gate     *Gate
	listener *listener
	client   quota.Client

	interrupted atomic.Bool // the client has lost its place

	mutex       sync.Mutex
	stage       stage
	scanner     headScanner
	bodyRefused bool // the current request is refused before its body has ended
}

// stage is what the bytes that are read belong to.
type stage int

const (
	inHead    stage = iota // a head, or what stands between two requests
	inRequest              // a request whose head has ended
	inBody                 // a body
	unscanned              // calls of a process that may be one of the fleet
)

// Read reads, and charges the client for a head. When the client is refused, Read sends the refusal. The
// error is then one that net/http doesn't answer.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count := 0
	var err error
	if !conn.interrupted.Load() {
		count, err = conn.Conn.Read(buffer)
	}
	status := conn.receive(buffer[:count])
	if status != 0 {
		conn.refuse(status, buffer)
	}
	if status != 0 || conn.interrupted.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return count, err
}

// receive records what was read. It returns the status of a refusal that the connection has to send
// itself, since no handler has the request yet, or 0.
func (conn *Conn) receive(data []byte) int {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.interrupted.Load() {
		if conn.stage == inHead && conn.scanner.begun {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	if len(data) == 0 || conn.stage == inRequest {
		return 0
	}
	ledger := conn.gate.Ledger
	now := conn.gate.now()
	ledger.Receive(&conn.client, len(data), now)
	switch conn.stage {
	case inHead:
		return conn.receiveHead(data, now)
	case unscanned:
		return conn.receiveCall(len(data), now)
	}
	return 0
}

// receiveHead charges the client for a part of a head. The caller must hold the mutex.
func (conn *Conn) receiveHead(data []byte, now time.Duration) int {
	conn.scanner.scan(data)
	scanner := &conn.scanner
	switch {
	case int64(scanner.bytes) > conn.gate.limits().HeaderBytes:
		conn.gate.Ledger.Refuse(&conn.client, quota.LimitHead, true)
		return http.StatusRequestHeaderFieldsTooLarge
	case !conn.gate.Ledger.Reserve(&conn.client, quota.HeadCost(scanner.lines, scanner.bytes), now):
		return http.StatusServiceUnavailable
	}
	if scanner.ended {
		conn.stage = inRequest
	}
	return 0
}

// refuse sends a refusal that no handler sends, and reads what the client still sends, for lingerTime.
func (conn *Conn) refuse(status int, buffer []byte) {
	if conn.listener.calls {
		_ = conn.Conn.Close()
		return
	}
	text := http.StatusText(status) + "\n"
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(text))
	if status == http.StatusServiceUnavailable {
		head += "Retry-After: " + retryAfterText + "\r\n"
	}
	_ = conn.SetDeadline(time.Now().Add(writeTime))
	if _, err := io.WriteString(conn.Conn, head+"\r\n"+text); err != nil || !conn.gate.Ledger.Linger(&conn.client, conn.gate.now()) {
		return
	}
	conn.linger(buffer)
}

// noPlaceAnswer is the answer to a connection that has no place at its listener.
var noPlaceAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfterText + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// runRefusal refuses a connection that has no place at its listener.
func (conn *Conn) runRefusal() {
	defer conn.listener.lingering.Add(-1)
	defer func() { _ = conn.Conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(writeTime))
	if _, err := conn.Write(noPlaceAnswer); err != nil {
		return
	}
	conn.linger(make([]byte, refusalBuffer))
}

// refuseAtOnce is runRefusal without a wait: it reads only what the client has sent already.
func (conn *Conn) refuseAtOnce() {
	defer func() { _ = conn.Conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(writeTime))
	if _, err := conn.Write(noPlaceAnswer); err != nil {
		return
	}
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	buffer := make([]byte, maxPiece)
	_ = raw.Read(func(descriptor uintptr) bool {
		_, _ = syscall.Read(int(descriptor), buffer)
		return true // whether or not there was anything: the descriptor does not block
	})
}

// linger ends the sending side, and reads until the client has read all or lingerTime is over.
func (conn *Conn) linger(buffer []byte) {
	_ = conn.CloseWrite()
	_ = conn.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	for {
		if _, err := conn.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// Interrupt implements quota.Interrupter.
func (conn *Conn) Interrupt(resting bool) {
	conn.interrupted.Store(true)
	if resting || conn.listener.calls {
		_ = conn.Close()
		return
	}
	_ = conn.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes a read
}

// SetReadDeadline sets the deadline, unless the client has lost its place.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	if err := conn.Conn.SetReadDeadline(deadline); err != nil || !conn.interrupted.Load() {
		return err
	}
	return conn.Conn.SetReadDeadline(time.Unix(1, 0))
}

// CloseWrite ends the sending side, where the connection can do so.
func (conn *Conn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (conn *Conn) Close() error {
	conn.gate.Ledger.Disconnect(&conn.client)
	return conn.Conn.Close()
}

// begin records that a handler has the request. It returns false if the request doesn't fit.
func (conn *Conn) begin(request *http.Request) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stage = inRequest
	conn.bodyRefused = false
	ledger := conn.gate.Ledger
	if !ledger.Serve(&conn.client, requestCost(request), conn.gate.now()) {
		return false
	}
	if request.ContentLength == 0 {
		return true
	}
	conn.stage = inBody // whether or not the handler reads the body
	return ledger.ReceiveBody(&conn.client, conn.gate.now())
}

// rest records that the connection waits for its next request.
func (conn *Conn) rest() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stage, conn.scanner = inHead, headScanner{}
	conn.gate.Ledger.Rest(&conn.client, conn.gate.now())
}

// endBody records that the body was read to its end. It returns false if the client has lost its place.
func (conn *Conn) endBody() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stage = inRequest
	return conn.gate.Ledger.EndBody(&conn.client, conn.gate.now())
}

// reserve makes the client hold more bytes, and returns whether they fit.
func (conn *Conn) reserve(more int64) bool {
	ledger := conn.gate.Ledger
	return ledger.Reserve(&conn.client, ledger.Held(&conn.client)+more, conn.gate.now())
}

// refuseBody records that the request is refused before its body has ended.
func (conn *Conn) refuseBody() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stage, conn.bodyRefused = inRequest, true
}

// endAnswer sends the answer to a request that was refused before its body had ended, and reads the body for
// lingerTime. A client that waits for leave to send the body doesn't send it any more.
func (conn *Conn) endAnswer(controller *http.ResponseController, request *http.Request) {
	conn.mutex.Lock()
	refused := conn.bodyRefused
	conn.mutex.Unlock()
	if !refused || request.Header.Get("Expect") != "" {
		return
	}
	_ = controller.EnableFullDuplex() // else net/http reads the body before it sends the answer
	_ = controller.Flush()
	if !conn.gate.Ledger.Linger(&conn.client, conn.gate.now()) {
		return
	}
	_ = conn.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	conn.interrupted.Store(false)
	_, _ = io.Copy(io.Discard, request.Body)
}

// requestCost returns the cost of the head of a request that was parsed.
func requestCost(request *http.Request) int64 {
	lines, bytes := 2, len(request.RequestURI)+len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			lines++
			bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	return quota.HeadCost(lines, bytes)
}

// receiveCall charges a process that hasn't shown the fleet's key for what it sends. The caller must hold
// the mutex.
func (conn *Conn) receiveCall(count int, now time.Duration) int {
	conn.scanner.bytes += count
	if conn.scanner.bytes > maxUntrustedBytes {
		conn.gate.Ledger.Refuse(&conn.client, quota.LimitTrust, false)
		return http.StatusForbidden
	}
	if !conn.gate.Ledger.Reserve(&conn.client, untrustedCost*int64(conn.scanner.bytes), now) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// Trust records that the other side has shown the fleet's key: it isn't bounded any more.
func (conn *Conn) Trust() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.stage = inRequest
	conn.gate.Ledger.Trust(&conn.client, conn.gate.now())
}
