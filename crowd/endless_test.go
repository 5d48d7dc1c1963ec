package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
	"shedkeel.org/shedkeel/wire"
)

// endlessConfig is a configuration with a stream of a service without groups, and a service with groups.
const endlessConfig = `{"version":1,
 "routes":[
  {"name":"r1","host":"h.example","path_prefix":"/flow/","kind":"streaming","timeout_ms":8000,"max_attempts":1,"public":true,"service":"flow"},
  {"name":"r2","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":8000,"max_attempts":2,"public":true,"service":"flow"},
  {"name":"r3","host":"h.example","path_prefix":"/fee/","kind":"unsafe","timeout_ms":8000,"max_attempts":1,"service":"plain"}],
 "services":[{"name":"plain","health_path":"/health","max_connections":10000},{"name":"flow","health_path":"/health","max_connections":10000},
  {"name":"llm","health_path":"/health","max_connections":10000,"engine":{"slots":16,"models":[{"name":"m0","size":2,"share":1,"pace":1,"load_s":0.5,"warmup_s":0.2}],"read_per_s":46000,"loads_per_s":40,"loads_at_once":6,"form_ms":100}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"shop","api_keys":["stays"]}]}`

// endlessServer answers each request with bytes without end, until the caller closes. Bytes that it sends slowly near its end keep
// what the caller has read in its memory.
type endlessServer struct {
	text string
	fast int // bytes that are sent at once; the rest comes slowly
}

func (server *endlessServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Shedkeel-Attempt-Id")
	writer.Header().Set("X-Shedkeel-Attempt-Id", id)
	writer.Header().Set("X-Shedkeel-Response-Seal", "s")
	writer.Header().Set("Content-Type", "text/event-stream")
	piece := bytes.Repeat([]byte(server.text), 4096/len(server.text))
	sent := 0
	for request.Context().Err() == nil {
		if _, err := writer.Write(piece); err != nil {
			return
		}
		if sent += len(piece); sent > server.fast {
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// endlessPeer answers each call with the largest message that is accepted.
type endlessPeer struct{}

func (endlessPeer) Handle(context.Context, *wire.Call) *wire.Reply {
	return &wire.Reply{Error: strings.Repeat("x", wire.MaxMessage-1024)}
}

// endlessPlay is a node beside sides that send bytes without end.
type endlessPlay struct {
	t     *testing.T
	data  *standin.Store
	store *httptest.Server
	node  *process
	// storeText is what the store answers to everything, if it is not empty.
	mutex     sync.Mutex
	storeText string
}

// put writes a record.
func (play *endlessPlay) put(key string, value any) {
	text, err := json.Marshal(value)
	assert.NilError(play.t, err)
	_, err = play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: key, Value: text}}})
	assert.NilError(play.t, err)
}

// addServers lists so many servers of a service, each at a listener of its own.
func (play *endlessPlay) addServers(service, domain string, count int, handler http.Handler) {
	for index := range count {
		listener := httptest.NewServer(handler)
		play.t.Cleanup(func() {
			listener.CloseClientConnections()
			listener.Close()
		})
		record := map[string]any{"service": service, "address": listener.Listener.Addr().String(), "zone": "z", "version": "v1", "slots": 26, "state": "ready", "cold_remaining_ms": 0, "seq": 0}
		if domain != "" {
			record["domain"], record["staged"], record["models"] = fmt.Sprint(domain, "-", index/8), []string{"m0"}, []string{}
		}
		play.put(fmt.Sprintf("servers/%s-%d", service, index), record)
	}
}

// send sends requests to the path, so many at a time, until the test ends.
func (play *endlessPlay) send(path string, atOnce int) {
	for number := range atOnce {
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			for play.t.Context().Err() == nil {
				request, err := http.NewRequestWithContext(play.t.Context(), http.MethodPost, "http://"+play.node.addresses["callers"]+path, strings.NewReader("x"))
				if err != nil {
					return
				}
				request.Host = "h.example"
				request.Header.Set("X-Shedkeel-Attempt-Id", fmt.Sprintf("%08x%s", number, shedkeel.NewNonce()))
				request.Header.Set("X-Shedkeel-Deadline-Ms", "8000")
				if response, err := client.Do(request); err == nil {
					_ = response.Body.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// addPeer lists a node whose control address is that of the listener.
func (play *endlessPlay) addPeer(name, control string) {
	play.put("shedkeel/nodes/"+name, map[string]any{"id": name, "incarnation": "x", "zone": "z", "callers": "127.0.0.1:1", "control": control, "capacity": 2})
}

// TestEndlessBytes guards against a process that runs out of memory because servers, the store or other nodes send bytes that are no
// answer, without end, each within its own bound: the sum over all of them must stay within the smallest box, and an ordinary request
// be answered meanwhile.
func TestEndlessBytes(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds per side")
	}
	cases := map[string]func(*endlessPlay){
		"an event, from all servers": func(play *endlessPlay) {
			play.addServers("flow", "", 24, &endlessServer{"data: xxxxxxxxx", 200 << 10})
			play.send("/flow/x", 300)
		},
		"an answer, from all servers": func(play *endlessPlay) {
			play.addServers("flow", "", 24, &endlessServer{"x", 60 << 10})
			play.send("/look/x", 300)
		},
		"reports and orders, from 300 servers": func(play *endlessPlay) {
			play.addServers("llm", "d", 300, &endlessServer{"x", 250 << 10})
		},
		"an answer of the store": func(play *endlessPlay) { play.breakStore("body") },
		"a head of the store":    func(play *endlessPlay) { play.breakStore("head") },
		"replies of other nodes": func(play *endlessPlay) {
			for index := range 8 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(play.t, err)
				server := &wire.Server{Key: "crowd", Handler: endlessPeer{}}
				go func() { _ = server.Run(listener) }()
				play.t.Cleanup(func() { _ = listener.Close() })
				play.addPeer(fmt.Sprint("peer-", index), listener.Addr().String())
			}
			play.addServers("flow", "", 24, &endlessServer{"x", 10})
			play.send("/look/x", 100)
		},
		"calls of other nodes": func(play *endlessPlay) {
			call := &wire.Call{Kind: &wire.Call_Notice{Notice: &wire.NoticeCall{Node: strings.Repeat("x", wire.MaxMessage-1024)}}}
			for range 8 {
				peer := &wire.Peer{Address: play.node.addresses["control"], Key: "crowd"}
				play.t.Cleanup(peer.Close)
				for range 32 {
					go func() {
						for play.t.Context().Err() == nil {
							_, _ = peer.Do(play.t.Context(), &wire.Call{Kind: call.Kind})
						}
					}()
				}
			}
		},
	}
	binary := build(t, "shedkeel-node")
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			play := &endlessPlay{t: t, data: standin.NewStore()}
			healthy := (&platformstandin.Store{Data: play.data}).Handler()
			play.store = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { play.serveStore(healthy, writer, request) }))
			t.Cleanup(func() {
				play.store.CloseClientConnections()
				play.store.Close()
			})
			_, err := play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: []byte(endlessConfig)}}})
			assert.NilError(t, err)
			plain := httptest.NewUnstartedServer(nil)
			server := &platformstandin.Server{ID: "plain-0", Service: "plain", Address: plain.Listener.Addr().String()}
			plain.Config.Handler = server
			plain.Start()
			t.Cleanup(plain.Close)
			(&platformstandin.Fleet{Data: play.data}).Add(server)
			play.node = newProcess("callers", "directory", "readiness", "control", "metrics")
			addresses := play.node.addresses
			play.node.start(t, binary, fmt.Sprintf(settingsText, strings.TrimPrefix(play.store.URL, "http://"), addresses["callers"], addresses["directory"], addresses["readiness"], addresses["control"], addresses["metrics"]))
			assert.Assert(t, play.node.awaitAnswer("callers"), "the node doesn't serve")
			act(play)
			answered := 0
			for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
				if status, err := play.node.request("callers", "", []byte("x")); err == nil && status == http.StatusOK {
					answered++
				}
			}
			use := play.node.stop()
			t.Logf("ENDLESS %s: %d MB, %d descriptors, %d ordinary requests answered", name, use.memory/1_000_000, use.descriptors, answered)
			assert.Check(t, use.lives, "the process has ended")
			assert.Check(t, use.memory <= boxMemory, "it used %d MB", use.memory/1_000_000)
			assert.Check(t, answered > 0, "no ordinary request was answered")
		})
	}
}

// breakStore makes the store answer with bytes without end, in the head or in the body.
func (play *endlessPlay) breakStore(where string) {
	play.mutex.Lock()
	defer play.mutex.Unlock()
	play.storeText = where
}

// serveStore serves the store.
func (play *endlessPlay) serveStore(healthy http.Handler, writer http.ResponseWriter, request *http.Request) {
	play.mutex.Lock()
	text := play.storeText
	play.mutex.Unlock()
	switch text {
	case "":
		healthy.ServeHTTP(writer, request)
	case "body":
		for piece := bytes.Repeat([]byte("x"), 64<<10); request.Context().Err() == nil; {
			if _, err := writer.Write(piece); err != nil {
				return
			}
		}
	default:
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for line := []byte("a: " + strings.Repeat("x", 1000) + "\r\n"); err == nil; {
			_, err = conn.Write(line)
		}
	}
}
