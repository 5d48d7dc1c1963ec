package completeness

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/platform"
)

var compareWays = flag.Int("ways", 0, "compare the ways to judge close-delimited answers with so many answers each; 0: skip")

// simulated is a backend server on loopback whose process can be ended. Its answers are close-delimited.
type simulated struct {
	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	name     string
	born     int64
	busy     time.Duration // until a health check gets a slot
	terse    bool          // health checks don't state the start
	deaf     bool          // takes connections and answers nothing
	after    func(*simulated)
	dials    int
}

// start listens on the address; "": a free one.
func (server *simulated) start(t *testing.T, address string) {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.listener, server.conns = listener, map[net.Conn]bool{}
	go server.run(listener)
}

func (server *simulated) run(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		server.dials++
		server.conns[conn] = true
		server.mutex.Unlock()
		go server.runConn(conn)
	}
}

func (server *simulated) runConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		server.mutex.Lock()
		name, born, busy, deaf := server.name, server.born, server.busy, server.deaf
		if server.terse {
			born = 0
		}
		server.mutex.Unlock()
		if err != nil || deaf {
			return
		}
		if request.URL.Path == "/health" {
			time.Sleep(busy)
			body := fmt.Sprintf(`{"born":%d}`, born)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Shedkeel-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
			continue
		}
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
		if server.after != nil {
			server.after(server)
		}
		_ = conn.Close()
		return
	}
}

// kill ends the process: the listener and all connections close.
func (server *simulated) kill() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	_ = server.listener.Close()
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.conns = map[net.Conn]bool{}
}

// restart ends the process and starts another at the same address.
func (server *simulated) restart(t *testing.T, name string, born int64) {
	t.Helper()
	address := server.address()
	server.kill()
	server.mutex.Lock()
	server.name, server.born = name, born
	server.mutex.Unlock()
	server.start(t, address)
}

func (server *simulated) address() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.listener.Addr().String()
}

// way decides whether the answer that the instance has sent passes as complete.
type way func(ctx context.Context, transport *engine.CheckTransport, instance shedkeel.InstanceID, address string, requestedAt time.Time) bool

// connectedWay opens the connection of its health check before the request is sent.
const connectedWay = "7 health check, connected before the request"

var ways = map[string]way{
	"1 any end": func(context.Context, *engine.CheckTransport, shedkeel.InstanceID, string, time.Time) bool {
		return true
	},
	"2 unless a dial is refused": func(ctx context.Context, _ *engine.CheckTransport, _ shedkeel.InstanceID, address string, _ time.Time) bool {
		return !(&engine.Transport{}).Stopped(ctx, address)
	},
	"3 if a dial is accepted": func(ctx context.Context, _ *engine.CheckTransport, _ shedkeel.InstanceID, address string, _ time.Time) bool {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	},
	"4 health check, name": func(ctx context.Context, _ *engine.CheckTransport, instance shedkeel.InstanceID, address string, _ time.Time) bool {
		checks := &engine.CheckTransport{}
		health, err := (&platform.HealthClient{Transport: checks}).Health(ctx, address, "/health")
		checks.Close()
		return err == nil && health.Server == instance.Server()
	},
	"5 health check, process": checkProcess,
	connectedWay:              checkProcess,
	"6 none": func(context.Context, *engine.CheckTransport, shedkeel.InstanceID, string, time.Time) bool {
		return false
	},
}

// checkProcess is the way that wants a health check to be answered by the process that has sent the answer.
func checkProcess(ctx context.Context, transport *engine.CheckTransport, instance shedkeel.InstanceID, address string, requestedAt time.Time) bool {
	health, err := (&platform.HealthClient{Transport: transport}).Health(ctx, address, "/health")
	return err == nil && Judge(true, nil, JudgeProcess(instance, health, requestedAt)) == Complete
}

// TestWays compares the ways over what can become of a server, and prints for each the share of answers that pass
// as complete, the dials and the time that the judgment adds. It runs only with -ways.
func TestWays(t *testing.T) {
	if *compareWays == 0 {
		t.Skip("prints figures only, with -ways")
	}
	const born = 1000
	scenarios := map[string]struct {
		whole bool
		after func(t *testing.T, server *simulated)
		busy  time.Duration
		named bool // its record states its start
		terse bool // its health checks don't
		all   bool // the answers before it were close-delimited too
	}{
		"a sound, few such answers":                {whole: true, named: true},
		"b sound, all answers such":                {whole: true, named: true, all: true},
		"c sound, health check waits 60 ms":        {whole: true, named: true, busy: 60 * time.Millisecond},
		"d sound, no start stated":                 {whole: true},
		"k sound, start in the record only":        {whole: true, named: true, terse: true},
		"l as k, health check waits 600 ms":        {whole: true, named: true, terse: true, busy: 600 * time.Millisecond},
		"m as h, start in the record only":         {named: true, terse: true, after: func(t *testing.T, server *simulated) { server.restart(t, "s", born+1) }},
		"e drains, ends right after its answer":    {whole: true, named: true, after: func(_ *testing.T, server *simulated) { server.kill() }},
		"f killed":                                 {named: true, after: func(_ *testing.T, server *simulated) { server.kill() }},
		"g killed, restarted, another name":        {named: true, after: func(t *testing.T, server *simulated) { server.restart(t, "other", born+1) }},
		"h killed, restarted, same name":           {named: true, after: func(t *testing.T, server *simulated) { server.restart(t, "s", born+1) }},
		"i killed, its socket lives on unanswered": {named: true, after: func(_ *testing.T, server *simulated) { server.makeDeaf() }},
	}
	for scenario, test := range scenarios {
		for name, judge := range ways {
			t.Run(scenario+"/"+name, func(t *testing.T) {
				passed, dials, added := 0, 0, time.Duration(0)
				for range *compareWays {
					stated := int64(0)
					if test.named {
						stated = born
					}
					server := &simulated{name: "s", born: stated, busy: test.busy, terse: test.terse}
					server.start(t, "")
					transport := &engine.CheckTransport{}
					if test.all {
						judge(t.Context(), transport, shedkeel.NewInstanceID("s", stated), server.address(), time.Time{})
						server.mutex.Lock()
						server.dials = 0
						server.mutex.Unlock()
					}
					if test.after != nil {
						server.after = func(server *simulated) { test.after(t, server) }
					}
					address := server.address()
					limit := 400 * time.Millisecond
					if name == connectedWay {
						transport.Connect(t.Context(), address)
						limit = 2 * time.Second
					}
					began := time.Now()
					assert.NilError(t, readAnswer(t.Context(), address))
					ended := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), limit)
					if judge(ctx, transport, shedkeel.NewInstanceID("s", stated), address, began) {
						passed++
					}
					cancel()
					added += time.Since(ended)
					server.mutex.Lock()
					dials += server.dials - 1
					server.mutex.Unlock()
					transport.Close()
					server.kill()
				}
				kind := "parts passed on"
				if test.whole {
					kind = "whole passed on"
				}
				t.Logf("WAY | %s | %s | %s %d of %d | dials taken %.1f | added %.2f ms", scenario, name, kind, passed, *compareWays, float64(max(dials, 0))/float64(*compareWays), float64(added.Microseconds())/1000/float64(*compareWays))
			})
		}
	}
}

// makeDeaf ends all connections and leaves the listener, whose connections nobody answers any more.
func (server *simulated) makeDeaf() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.deaf = true
	for conn := range server.conns {
		_ = conn.Close()
	}
	server.conns = map[net.Conn]bool{}
}

// readAnswer sends a request over a new connection and reads the answer to the end of the connection. A reset is
// no error.
func readAnswer(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/answer", nil)
	if err != nil {
		return err
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	if errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	return err
}
