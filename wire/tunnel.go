package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"shedkeel.org/shedkeel"
)

const (
	// frameHeaderBytes is the size of a frame's header: the length of its data, big endian. A
	// frame without data marks the regular end of the connection's data.
	frameHeaderBytes = 2
	// tunnelBufferBytes is the size of the buffer for one direction of a tunnel.
	tunnelBufferBytes = 16 << 10
)

// errTunnelBroken reports that the end of a server's data is missing: the server or the
// relaying process broke off the connection.
var errTunnelBroken = errors.New("the relayed connection broke off")

// Connector opens connections for other processes.
type Connector interface {
	// Connect opens a connection as the call asks. The connection is nil unless the
	// reply's outcome is CONNECTED. ctx is that of Handler.Handle.
	Connect(ctx context.Context, call *ConnectCall) (net.Conn, *ConnectReply)
}

// Connect asks the other process to open a connection. The connection is nil unless the
// reply's outcome is CONNECTED, and it outlives ctx. Its Read returns io.EOF only if the server has
// ended its data regularly. The errors are those of Do.
func (peer *Peer) Connect(ctx context.Context, call *ConnectCall) (net.Conn, *ConnectReply, error) {
	link, err := peer.open(ctx)
	if err != nil {
		return nil, nil, &shedkeel.UnavailableError{What: "process at " + peer.Address, RetryAfter: time.Second, Cause: err}
	}
	conn, reply, err := connect(ctx, link, call)
	if err != nil {
		peer.drop(link, err)
		return nil, nil, &shedkeel.UnknownOutcomeError{What: "call to " + peer.Address, Cause: err}
	}
	return conn, reply, nil
}

// connect sends the call over a new stream, which becomes the connection if the outcome is
// CONNECTED, and is closed otherwise.
func connect(ctx context.Context, link *link, call *ConnectCall) (net.Conn, *ConnectReply, error) {
	stream, err := link.open()
	if err != nil {
		return nil, nil, err
	}
	conn := &tunnelConn{Stream: stream, link: link, reader: bufio.NewReaderSize(stream, tunnelBufferBytes)}
	stop := context.AfterFunc(ctx, func() { expireDeadline(stream) })
	reply, err := conn.open(call)
	if !stop() {
		err = firstError(err, ctx.Err())
	}
	if err != nil || reply.GetOutcome() != ConnectReply_CONNECTED {
		_ = conn.Close()
		return nil, reply, firstError(ctx.Err(), err)
	}
	return conn, reply, nil
}

// tunnelConn is the side of a relayed connection that asked for it. Writes go to the server as
// they are.
type tunnelConn struct {
	*yamux.Stream
	link      *link
	reader    *bufio.Reader
	remaining int // bytes left of the current frame
	ended     bool
	closing   sync.Once
}

// open sends the call and reads its reply.
func (conn *tunnelConn) open(call *ConnectCall) (*ConnectReply, error) {
	reply, err := conn.link.exchange(conn.Stream, conn.reader, &Call{Kind: &Call_Connect{Connect: call}})
	if err != nil {
		return nil, err
	}
	if reply.GetConnect() == nil {
		return nil, errors.New("the process does not know the call")
	}
	return reply.GetConnect(), nil
}

// Read reads the server's data. It returns io.EOF at their regular end, and errTunnelBroken if
// the stream ends before it.
func (conn *tunnelConn) Read(buffer []byte) (int, error) {
	for conn.remaining == 0 {
		if conn.ended {
			return 0, io.EOF
		}
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(conn.reader, header[:]); err != nil {
			return 0, unlessEOF(err)
		}
		conn.remaining = int(binary.BigEndian.Uint16(header[:]))
		conn.ended = conn.remaining == 0
	}
	count, err := conn.reader.Read(buffer[:min(len(buffer), conn.remaining)])
	conn.remaining -= count
	return count, unlessEOF(err)
}

// unlessEOF returns errTunnelBroken in place of an io.EOF of the stream.
func unlessEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTunnelBroken
	}
	return err
}

// Close closes the connection to the server, at once or when the relaying process notices.
func (conn *tunnelConn) Close() error {
	conn.closing.Do(func() {
		expireDeadline(conn.Stream) // wakes blocked calls
		conn.link.close(conn.Stream)
	})
	return nil
}

// serveConnection opens the connection that the call asks for, replies, and carries the data of
// the connection until one side closes it.
func (callServer *callServer) serveConnection(ctx context.Context, stream *yamux.Stream, call *ConnectCall) {
	conn, reply := callServer.connector.Connect(ctx, call)
	_, err := protodelim.MarshalTo(stream, &Reply{Kind: &Reply_Connect{Connect: reply}})
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if err != nil {
		return
	}
	callServer.link.setDeadline(stream, time.Time{})
	tunnel := &tunnel{stream: stream, conn: conn}
	var upstream sync.WaitGroup
	upstream.Go(tunnel.runUpstream)
	tunnel.runDownstream()
	expireDeadline(stream) // the server is gone, so nothing can be sent to it
	upstream.Wait()
}

// tunnel is a relayed connection at the process that relays it.
type tunnel struct {
	stream *yamux.Stream
	conn   net.Conn
}

// runUpstream carries data to the server until the other process closes the connection, and
// then closes the connection to the server. If the server takes no more data, it may still send
// some, so the rest is read and dropped.
func (tunnel *tunnel) runUpstream() {
	buffer := make([]byte, tunnelBufferBytes)
	received := struct{ io.Reader }{tunnel.stream} // without WriteTo, so that buffer is used
	if _, err := io.CopyBuffer(tunnel.conn, received, buffer); err != nil {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, received, buffer)
	}
	_ = tunnel.conn.Close()
	expireDeadline(tunnel.stream) // ends a write that waits for the other process to read
}

// runDownstream carries the server's data in frames until the connection ends. It marks the end
// if the server has ended its data regularly.
func (tunnel *tunnel) runDownstream() {
	frame := make([]byte, frameHeaderBytes+tunnelBufferBytes)
	for {
		count, err := tunnel.conn.Read(frame[frameHeaderBytes:])
		if count > 0 && !tunnel.writeFrame(frame[:frameHeaderBytes+count]) {
			return
		}
		if errors.Is(err, io.EOF) {
			tunnel.writeFrame(frame[:frameHeaderBytes])
		}
		if err != nil {
			return
		}
	}
}

// writeFrame sets the frame's header and sends the frame. It reports whether that succeeded.
func (tunnel *tunnel) writeFrame(frame []byte) bool {
	binary.BigEndian.PutUint16(frame, uint16(len(frame)-frameHeaderBytes))
	_, err := tunnel.stream.Write(frame)
	return err == nil
}
