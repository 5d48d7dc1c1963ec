package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// surplusConfig has a route of streams that may not be resumed, so that each request may run once only.
const surplusConfig = `{"version":7,
"routes":[{"name":"r-draft","host":"ficu95.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"ruhsat-api","max_attempts":2,"public":true,"resume_streams":false,"gap_aim_ms":300}],
"services":[{"name":"ruhsat-api","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	// plainSlots is how many requests a runner works on at once.
	plainSlots = 6
	// surplusShare is the largest part of its answers that a faulty runner follows with another one.
	surplusShare = 0.05
)

// streamer is a plain runner that speaks HTTP/1.1 by itself, so that it can send a surplus answer.
type streamer struct {
	*surplusFleet
	id, address string
	faulty      bool
	slots       chan struct{}
	events      int           // of a stream
	pause       time.Duration // between two events
	answers     int           // whole answers sent
	surplus     int           // of these, the ones followed by a second answer
}

// surplusFleet is the set of runners.
type surplusFleet struct {
	record  *record
	mutex   sync.Mutex
	runs    map[string][]string // the runners that began to run a request, by its id
	shed    int                 // health checks rejected for want of a slot
	surplus int
}

// serve answers the requests of one connection.
func (streamer *streamer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	surplus := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if surplus != "" {
			streamer.record.write("runner %s sends a surplus answer to its last health check, in the place where the answer of %s is due", streamer.id, request.Header.Get("X-Shedkeel-Attempt-Id"))
			_, _ = io.WriteString(conn, surplus)
			surplus = ""
		}
		switch {
		case request.Header.Get("X-Shedkeel-Expect-Instance") != "" && request.Header.Get("X-Shedkeel-Expect-Instance") != streamer.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Shedkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", streamer.id)
		case request.URL.Path == "/health":
			answer, repeats := streamer.health()
			_, _ = io.WriteString(conn, answer)
			if repeats {
				surplus = answer
			}
		default:
			if !streamer.stream(conn, request) {
				return
			}
		}
	}
}

// health returns the answer to a health check, which is rejected while no slot is free, and whether a
// second answer follows late.
func (streamer *streamer) health() (answer string, repeats bool) {
	streamer.mutex.Lock()
	defer streamer.mutex.Unlock()
	streamer.answers++
	select {
	case streamer.slots <- struct{}{}:
		<-streamer.slots
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Shedkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", streamer.id), false
	default:
	}
	streamer.shed++
	repeats = streamer.faulty && float64(streamer.surplusSent()+1) <= surplusShare*float64(streamer.answers)
	if repeats {
		streamer.addSurplus()
	}
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Shedkeel-Not-Executed: 1\r\nX-Shedkeel-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", streamer.id), repeats
}

func (streamer *streamer) surplusSent() int { return streamer.surplus }

func (streamer *streamer) addSurplus() {
	streamer.surplus++
	streamer.surplusFleet.surplus++
}

// stream runs a request and answers with events, in chunks or until the connection ends. It returns false
// if the connection has ended.
func (streamer *streamer) stream(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Shedkeel-Attempt-Id")
	streamer.slots <- struct{}{}
	defer func() { <-streamer.slots }()
	streamer.mutex.Lock()
	streamer.answers++
	streamer.runs[id] = append(streamer.runs[id], streamer.id)
	streamer.mutex.Unlock()
	streamer.record.write("runner %s runs request %s", streamer.id, id)
	chunked := len(id)%2 == 0 && strings.ContainsAny(id[len(id)-1:], "02468ace")
	framing := "Connection: close\r\n"
	if chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Shedkeel-Attempt-Id: %s\r\nX-Shedkeel-Response-Seal: %s.%s\r\nContent-Type: text/event-stream\r\n%s\r\n", id, streamer.id, id, framing); err != nil {
		return false
	}
	for number := 1; number <= streamer.events; number++ {
		time.Sleep(streamer.pause)
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", number, number, streamer.id)
		if chunked {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
	}
	if chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	return false
}

// addStreamer starts a runner and writes its record about every heartbeat_ms.
func (play *play) addStreamer(fleet *surplusFleet, index, slots, events int, pause time.Duration, faulty bool) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", play.prefix, 100+index))
	if err != nil {
		return err
	}
	added := &streamer{surplusFleet: fleet, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+index), address: listener.Addr().String(), faulty: faulty, slots: make(chan struct{}, slots), events: events, pause: pause}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go added.serve(conn)
		}
	}()
	entry, err := json.Marshal(map[string]any{"service": "ruhsat-api", "address": added.address, "zone": "ic-a", "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": 0})
	if err != nil {
		return err
	}
	go func() {
		for {
			_, _ = play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "servers/" + added.id, Value: entry}}})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// playSurplus has faulty runners send a second answer after some whole ones.
func playSurplus(play *play) int {
	if _, err := play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: []byte(surplusConfig)}}}); err != nil {
		return play.fail(err)
	}
	fleet := &surplusFleet{record: play.record, runs: map[string][]string{}}
	for index := range 5 {
		if err := play.addStreamer(fleet, index, plainSlots, 8, 30*time.Millisecond, play.trouble && index < 3); err != nil {
			return play.fail(err)
		}
	}
	if err := play.startNodes(3); err != nil {
		return play.fail(err)
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	var calls sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	number := 0
	end := time.Now().Add(15 * time.Second)
	for worker := range 40 { // more than the slots at times, as with a burst of users
		calls.Go(func() {
			for time.Now().Before(end) {
				mutex.Lock()
				number++
				id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+number)
				mutex.Unlock()
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				got := send(ctx, play.nodes[worker%len(play.nodes)].callers, "POST", "/draft/2f", map[string]string{"X-Shedkeel-Attempt-Id": id, "X-Shedkeel-Deadline-Ms": "8000"}, []byte("a catch log"))
				cancel()
				play.write("client has of %s: status %d, %d bytes, whole %t", id, got.status, len(got.body), got.complete)
				mutex.Lock()
				statuses[got.status]++
				mutex.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	calls.Wait()
	time.Sleep(time.Second)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	twice := 0
	for id, runners := range fleet.runs {
		if len(runners) > 1 {
			twice++
			play.write("BROKEN TWICE: request %s, which isn't idempotent, has run at %v", id, runners)
		}
	}
	play.write("%d requests, statuses %v; %d health checks rejected for want of a slot; %d surplus answers; %d requests ran twice", number, statuses, fleet.shed, fleet.surplus, twice)
	switch {
	case twice > 0:
		return broken
	case statuses[http.StatusOK] == 0:
		return failed
	}
	return held
}
