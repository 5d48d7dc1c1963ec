package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// RawServer serves HTTP connections and writes the answers as they are. Set its exported fields before Run.
type RawServer struct {
	Answer func(request *http.Request) []byte // returns the answer to a request
	// Cut makes the server answer before it has read the body of a request, and then reset the connection, which must be a TCP one.
	Cut bool

	serving sync.WaitGroup
	mutex   sync.Mutex
	conns   map[net.Conn]struct{}
}

// Run serves the connections of the listener until it is closed, and then closes those that are open.
func (server *RawServer) Run(listener net.Listener) {
	server.conns = map[net.Conn]struct{}{}
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		server.mutex.Lock()
		server.conns[conn] = struct{}{}
		server.mutex.Unlock()
		server.serving.Go(func() { server.runConn(conn) })
	}
	server.mutex.Lock()
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.mutex.Unlock()
	server.serving.Wait()
}

// runConn answers the requests of one connection.
func (server *RawServer) runConn(conn net.Conn) {
	defer server.end(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !server.Cut {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if _, err := conn.Write(server.Answer(request)); err != nil || server.Cut {
			return
		}
	}
}

// end ends a connection.
func (server *RawServer) end(conn net.Conn) {
	server.mutex.Lock()
	delete(server.conns, conn)
	server.mutex.Unlock()
	if server.Cut {
		_ = conn.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // see Cut; closing it then resets it
	}
	_ = conn.Close()
}
