// Package wire carries calls and gossip datagrams between shedkeel's own processes.
// Calls are protobuf messages over yamux sessions, with one stream per call. The
// messages are defined in wire.proto.
package wire

import (
	"bufio"
	"bytes"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/quota"
)

// MaxMessage is the size of the largest accepted message, in bytes.
const MaxMessage = 4 << 20

const (
	// freeMessageBytes is the size up to which messages need no room: nearly all are smaller.
	freeMessageBytes = 4 << 10
	// heldCopies is how often a message is held while it is read: its text, and what was decoded.
	heldCopies = 2
)

// maxFirstRead is how much memory is allotted to a message before any of it has arrived.
const maxFirstRead = 64 << 10

const (
	dialTimeout = time.Second // includes the TLS handshake
	// serveTimeout is the deadline of an accepted stream. After it a read that waits for
	// the call fails, and so does a write of the reply that waits until the other side
	// reads. It does not end the handler's context, and a late reply is still sent if the
	// stream accepts it at once.
	serveTimeout = 10 * time.Second
)

// Handler answers incoming calls. Handle runs on one goroutine per call. The context
// belongs to the session: it ends when the session ends, and SessionFromContext returns
// the session.
type Handler interface {
	Handle(ctx context.Context, call *Call) *Reply
}

// yamuxConfig returns the configuration of sessions on both sides.
func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.AcceptBacklog = 64                       // streams that wait to be accepted; each may hold a window of bytes
	config.KeepAliveInterval = 2 * time.Second      // pause between keepalives
	config.ConnectionWriteTimeout = 2 * time.Second // closes the session if a keepalive gets no reply
	config.StreamOpenTimeout = 2 * time.Second      // closes the session if a stream is not accepted
	config.StreamCloseTimeout = 10 * time.Second    // resets a closed stream that the other side does not close
	return config
}

// Peer is the client of one other process. It dials on first use and again after the
// session has ended. If Handler is set, it answers calls that the other process sends over
// the same session.
type Peer struct {
	Address string
	Key     string      // shared secret of all processes of the fleet
	TLS     *tls.Config // nil: no TLS
	Handler Handler
	Room    *quota.Room // for the messages that are read. nil: their sum is not bounded
	// Dial opens connections to Address without TLS. nil: the operating system does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mutex sync.Mutex
	link  *link
}

// Do sends a call, whose Key it sets, and returns its reply. The error is an UnavailableError
// if no session could be opened, so that the call was certainly not handled, and otherwise an
// UnknownOutcomeError, also if the other process replied with an error, such as for a wrong
// key. A failure closes the session, with its other calls, unless its cause is the end of ctx or the want of room.
func (peer *Peer) Do(ctx context.Context, call *Call) (*Reply, error) {
	link, err := peer.open(ctx)
	if err != nil {
		return nil, &shedkeel.UnavailableError{What: "process at " + peer.Address, RetryAfter: time.Second, Cause: err}
	}
	reply, err := roundTrip(ctx, link, call)
	if err != nil {
		peer.drop(link, err)
		return nil, &shedkeel.UnknownOutcomeError{What: "call to " + peer.Address, Cause: err}
	}
	return reply, nil
}

// Close ends the session. A later Do dials again.
func (peer *Peer) Close() {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.link != nil {
		_ = peer.link.Close()
		peer.link = nil
	}
}

// open returns the open link. If there is none, it dials and, if Handler is set, starts to
// answer calls over the new link. It holds the mutex while it dials: concurrent calls wait
// for the result, without regard to their contexts.
func (peer *Peer) open(ctx context.Context) (*link, error) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.link != nil && !peer.link.IsClosed() {
		return peer.link, nil
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := dialer.DialContext
	if peer.Dial != nil {
		dial = peer.Dial
	}
	if peer.TLS != nil {
		dial = (&tls.Dialer{NetDialer: dialer, Config: peer.TLS}).DialContext
	}
	conn, err := dial(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, err
	}
	link, err := newLink(conn, newClientSession)
	if err != nil {
		return nil, err
	}
	link.key, link.room = peer.Key, peer.Room
	peer.link = link
	if peer.Handler != nil {
		callServer := &callServer{link: link, handler: peer.Handler, trusted: true}
		go callServer.run()
	}
	return link, nil
}

// drop closes a link on which a call failed with err, so that the next call dials again.
// If only the call's own context ended, or a message had no room, drop keeps the link, since other calls use it.
func (peer *Peer) drop(link *link, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errNoRoom) {
		return
	}
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	_ = link.Close()
	if peer.link == link {
		peer.link = nil
	}
}

// roundTrip sets the call's key, sends the call over a new stream and returns its reply.
// The error is that of the context if the context ended while the call was sent or the
// reply was read. The error field of a reply is returned as an error.
func roundTrip(ctx context.Context, link *link, call *Call) (*Reply, error) {
	stream, err := link.open()
	if err != nil {
		return nil, err
	}
	defer link.close(stream)
	stop := context.AfterFunc(ctx, func() { expireDeadline(stream) })
	defer stop()
	reply, err := link.exchange(stream, stream, call)
	if err != nil {
		return nil, firstError(ctx.Err(), err)
	}
	return reply, nil
}

// exchange sets the call's key, sends the call and reads its reply. The error field of a reply is
// returned as an error.
func (link *link) exchange(writer io.Writer, reader io.Reader, call *Call) (*Reply, error) {
	call.Key = link.key
	if _, err := protodelim.MarshalTo(writer, call); err != nil {
		return nil, err
	}
	reply := &Reply{}
	release, err := readMessage(reader, reply, link.room)
	if err != nil {
		return nil, err
	}
	release() // the reply is used at once
	switch reply.Error {
	case "":
		return reply, nil
	case errNoRoom.Error():
		return nil, errNoRoom
	}
	return nil, errors.New(reply.Error)
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// errNoRoom reports that the messages that are being read use up the room for them.
var errNoRoom = errors.New("there is no room for the message now; send it again later")

// readMessage reads one length-delimited message of at most MaxMessage bytes. It may
// consume more of the stream than the message, unless the stream is a bufio.Reader, which it uses
// as it is. A message that has no room is read and dropped, with errNoRoom. The caller must call release once the
// message has been used.
func readMessage(stream io.Reader, message proto.Message, room *quota.Room) (release func(), err error) {
	reader := bufio.NewReader(stream)
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > MaxMessage {
		return nil, &protodelim.SizeTooLargeError{Size: size, MaxSize: MaxMessage}
	}
	reserved := int64(0)
	if size > freeMessageBytes {
		reserved = heldCopies * int64(size)
	}
	if !room.Reserve(reserved) {
		if _, err := io.CopyN(io.Discard, reader, int64(size)); err != nil {
			return nil, err
		}
		return nil, errNoRoom
	}
	if err := readSized(reader, message, size); err != nil {
		room.Release(reserved)
		return nil, err
	}
	return func() { room.Release(reserved) }, nil
}

// readSized reads a message of the size.
func readSized(reader io.Reader, message proto.Message, size uint64) error {
	var text bytes.Buffer
	text.Grow(int(min(size, maxFirstRead))) // a size that is stated only must not cost its memory
	if _, err := io.CopyN(&text, reader, int64(size)); err != nil {
		return err
	}
	return proto.Unmarshal(text.Bytes(), message)
}

// Server accepts sessions and has Handler answer their calls.
type Server struct {
	Key     string      // shared secret of all processes of the fleet
	TLS     *tls.Config // nil: no TLS
	Handler Handler
	// Connector opens the connections that ConnectCalls ask for. nil: they are answered by an
	// error.
	Connector Connector
	Room      *quota.Room // for the calls that are read. nil: their sum is not bounded

	mutex   sync.Mutex
	links   map[*link]struct{}
	running sync.WaitGroup
}

// Session is the session over which a call arrived.
type Session struct {
	link *link
}

// Do sends a call, whose Key it sets, to the other side of the session and returns its
// reply. On an error it is unknown whether the other side handled the call.
func (session *Session) Do(ctx context.Context, call *Call) (*Reply, error) {
	return roundTrip(ctx, session.link, call)
}

// Closed reports whether the session has ended.
func (session *Session) Closed() bool { return session.link.IsClosed() }

// sessionContextKey is the context key of the Session that SessionFromContext returns.
type sessionContextKey struct{}

// SessionFromContext returns the session of the call to which a handler's context
// belongs, or nil for any other context.
func SessionFromContext(ctx context.Context) *Session {
	session, _ := ctx.Value(sessionContextKey{}).(*Session)
	return session
}

// Run accepts sessions until the listener is closed or fails. It then closes all
// sessions, waits for their calls to end and returns the listener's error, or nil if the
// listener was closed.
func (server *Server) Run(listener net.Listener) error {
	if server.TLS != nil {
		listener = tls.NewListener(listener, server.TLS)
	}
	server.mutex.Lock()
	server.links = map[*link]struct{}{}
	server.mutex.Unlock()
	defer server.closeAll()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		server.addSession(conn)
	}
}

// addSession starts a goroutine that answers the calls of a new connection. It closes the
// connection if no session can be created.
func (server *Server) addSession(conn net.Conn) {
	link, err := newLink(conn, newServerSession)
	if err != nil {
		return
	}
	link.key, link.room = server.Key, server.Room
	server.mutex.Lock()
	server.links[link] = struct{}{}
	server.mutex.Unlock()
	callServer := &callServer{link: link, handler: server.Handler, connector: server.Connector}
	server.running.Go(func() {
		callServer.run()
		server.mutex.Lock()
		delete(server.links, link)
		server.mutex.Unlock()
	})
}

// closeAll closes all sessions and waits for their calls to end.
func (server *Server) closeAll() {
	server.mutex.Lock()
	for link := range server.links {
		_ = link.Close()
	}
	server.mutex.Unlock()
	server.running.Wait()
}

// callServer answers the calls that arrive over one link.
type callServer struct {
	link      *link
	handler   Handler
	connector Connector // nil: see Server.Connector
	trusted   bool      // the other side has shown the key, or this side has opened the session
}

// run answers calls until the session ends. It then cancels the context of the calls in
// progress and waits for them. Until the other side has shown the key, it reads one call at a time.
func (callServer *callServer) run() {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), sessionContextKey{}, &Session{link: callServer.link}))
	defer cancel()
	for {
		stream, err := callServer.link.accept()
		if err != nil {
			_ = callServer.link.Close()
			return
		}
		if callServer.trusted {
			calls.Go(func() { callServer.serve(ctx, stream, callServer.read(stream)) })
			continue
		}
		received := callServer.read(stream)
		callServer.trusted = received.err == nil && callServer.authorized(received.call)
		if callServer.trusted {
			callServer.link.trust()
		}
		calls.Go(func() { callServer.serve(ctx, stream, received) })
	}
}

// receivedCall is a call that was read, or why there is none.
type receivedCall struct {
	call    *Call
	err     error
	release func() // returns the room of the call; nil with an error
}

// read reads one call from the stream.
func (callServer *callServer) read(stream *yamux.Stream) receivedCall {
	callServer.link.setDeadline(stream, time.Now().Add(serveTimeout))
	call := &Call{}
	release, err := readMessage(stream, call, callServer.link.room)
	return receivedCall{call: call, err: err, release: release}
}

// authorized reports whether the call has the fleet's key.
func (callServer *callServer) authorized(call *Call) bool {
	return subtle.ConstantTimeCompare([]byte(call.Key), []byte(callServer.link.key)) == 1
}

// serve has the handler answer a call and sends the reply. To a call with a wrong key, and to one without room, it replies with an
// error. Without a call, it closes the stream without a reply.
func (callServer *callServer) serve(ctx context.Context, stream *yamux.Stream, received receivedCall) {
	defer callServer.link.close(stream)
	reply, call := &Reply{}, received.call
	switch {
	case errors.Is(received.err, errNoRoom):
		_, _ = protodelim.MarshalTo(stream, &Reply{Error: received.err.Error()})
		return
	case received.err != nil:
		return
	}
	defer received.release()
	switch {
	case !callServer.authorized(call):
		reply.Error = "wrong wire key; set the same wire.key on all processes of the fleet"
	case call.GetConnect() != nil && callServer.connector != nil:
		callServer.serveConnection(ctx, stream, call.GetConnect())
		return
	default:
		reply = callServer.handler.Handle(ctx, call)
	}
	_, _ = protodelim.MarshalTo(stream, reply)
}
