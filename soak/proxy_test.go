package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// manner is how a proxy treats what passes through it.
type manner int32

const (
	passing  manner = iota
	delayed         // each piece comes late
	silent          // nothing passes either way, and nothing is said
	deaf            // answers do not come back
	refusing        // connections are reset
)

// proxyDelay is how late pieces come through a delaying proxy.
const proxyDelay = 120 * time.Millisecond

// proxy stands on loopback between two processes and misbehaves on demand.
type proxy struct {
	target   string
	manner   atomic.Int32
	mutex    sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &proxy{target: target, listener: listener, conns: map[*net.TCPConn]struct{}{}}
	go proxy.run(listener)
	t.Cleanup(proxy.end)
	return proxy
}

func (proxy *proxy) address() string {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.listener.Addr().String()
}

// end has the address refuse connections, as that of a process that has ended.
func (proxy *proxy) end() {
	proxy.mutex.Lock()
	_ = proxy.listener.Close()
	proxy.mutex.Unlock()
	proxy.reset()
}

// begin has the address take connections again.
func (proxy *proxy) begin() error {
	listener, err := net.Listen("tcp", proxy.address())
	if err != nil {
		return err
	}
	proxy.mutex.Lock()
	proxy.listener = listener
	proxy.mutex.Unlock()
	go proxy.run(listener)
	return nil
}

func (proxy *proxy) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if manner(proxy.manner.Load()) == refusing {
			reset(conn)
			continue
		}
		go proxy.runConn(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) runConn(near net.Conn) {
	far, err := net.DialTimeout("tcp", proxy.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	proxy.keep(near, far)
	var both sync.WaitGroup
	both.Go(func() { proxy.runCopy(far, near, false) })
	both.Go(func() { proxy.runCopy(near, far, true) })
	both.Wait()
}

func (proxy *proxy) keep(conns ...net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			proxy.conns[tcp] = struct{}{}
		}
	}
}

// runCopy copies one way until an end is gone. What a silent proxy holds up
// comes once it passes again.
func (proxy *proxy) runCopy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		for proxy.holds(back) {
			time.Sleep(10 * time.Millisecond)
		}
		if manner(proxy.manner.Load()) == delayed {
			time.Sleep(proxyDelay)
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // a connection returns it as it is
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func (proxy *proxy) holds(back bool) bool {
	switch manner(proxy.manner.Load()) {
	case silent:
		return true
	case deaf:
		return back
	}
	return false
}

// set changes the manner; refusing resets what is open.
func (proxy *proxy) set(manner manner) {
	proxy.manner.Store(int32(manner))
	if manner == refusing {
		proxy.reset()
	}
}

func (proxy *proxy) reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		reset(conn)
	}
	proxy.conns = map[*net.TCPConn]struct{}{}
}
