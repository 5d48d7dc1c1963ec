package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// stopEvents and stopPause are the events of a stream and the time between them.
	stopEvents, stopPause = 27, 180 * time.Millisecond
	// grace is grace_s.
	grace = 8 * time.Second
	// lastSend is until when after a SIGTERM the rule excuses requests whose runner is still at work.
	lastSend = 3 * time.Second
)

// attempt is what a client sent and had of one request.
type attempt struct {
	id    string
	node  string
	sent  time.Time
	ended time.Time
	outcome
}

// playStopInOutage stops the node that leads, while the store is silent.
func playStopInOutage(play *play) int {
	if _, err := play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: []byte(surplusConfig)}}}); err != nil {
		return play.fail(err)
	}
	fleet := &surplusFleet{record: play.record, runs: map[string][]string{}}
	for index := range 3 {
		if err := play.addStreamer(fleet, index, 200, stopEvents, stopPause, false); err != nil {
			return play.fail(err)
		}
	}
	if err := play.startNodes(4); err != nil {
		return play.fail(err)
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	var leader *node
	var lead struct{ Node string }
	_ = json.Unmarshal(play.data.Record("shedkeel/lead").Value, &lead)
	for _, node := range play.nodes {
		if node.name == lead.Node {
			leader = node
		}
	}
	if leader == nil {
		return play.fail(fmt.Errorf("no node leads"))
	}
	// Each client keeps an answer of the directory three times as long as it says, and longer while no new
	// one can be had.
	clients := make([]*caller, 60)
	done := make(chan struct{})
	var calls sync.WaitGroup
	for index := range clients {
		clients[index] = &caller{play: play}
		clients[index].look()
		calls.Go(func() {
			wait := time.Duration(rand.Int64N(int64(3 * time.Second)))
			for {
				select {
				case <-done:
					return
				case <-time.After(wait):
					clients[index].look()
					wait = 3 * time.Second
				}
			}
		})
	}
	var mutex sync.Mutex
	attempts := []attempt{}
	calls.Go(func() {
		tick := time.NewTicker(time.Second / 60)
		defer tick.Stop()
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			calls.Go(func() {
				caller := clients[rand.IntN(len(clients))]
				caller.mutex.Lock()
				target := caller.targets[rand.IntN(len(caller.targets))]
				caller.mutex.Unlock()
				made := attempt{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+number), node: target, sent: time.Now()}
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				made.outcome = send(ctx, target, "POST", "/draft/2f", map[string]string{"X-Shedkeel-Attempt-Id": made.id, "X-Shedkeel-Deadline-Ms": "8000"}, []byte("a catch log"))
				made.ended = time.Now()
				play.write("client sent %s to %s at %.3f s and has: status %d, %d bytes, whole %t, error %v", made.id, target, made.sent.Sub(play.began).Seconds(), made.status, len(made.body), made.complete, made.err)
				mutex.Lock()
				defer mutex.Unlock()
				attempts = append(attempts, made)
			})
		}
	})
	time.Sleep(4 * time.Second)
	play.silent.Store(play.trouble)
	play.write("the store is silent: %t", play.trouble)
	time.Sleep(3 * time.Second)
	stopped := time.Now()
	_ = leader.command.Process.Signal(syscall.SIGTERM)
	play.write("SIGTERM to %s, which leads", leader.name)
	calls.Go(func() {
		select {
		case <-leader.ended:
			play.write("%s has ended", leader.name)
		case <-time.After(grace):
			_ = leader.command.Process.Kill()
			play.write("SIGKILL to %s", leader.name)
		}
	})
	time.Sleep(max(time.Until(stopped.Add(5*time.Second)), 0))
	play.silent.Store(false)
	play.write("the store answers")
	time.Sleep(4 * time.Second)
	close(done)
	calls.Wait()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	lost, excused, served := 0, 0, 0
	for _, made := range attempts {
		after := made.sent.Sub(stopped)
		switch {
		case made.status == 200 && made.complete:
			served++
		case made.node != leader.callers || len(fleet.runs[made.id]) == 0 || made.complete || made.ended.Sub(made.sent) > 7900*time.Millisecond || after < 0:
		case after <= lastSend:
			excused++
		default:
			lost++
			play.write("BROKEN LOST: request %s, sent %.3f s after the SIGTERM, has run at %s, and its connection ended %.3f s after the SIGTERM with no complete answer: %s", made.id, after.Seconds(), strings.Join(fleet.runs[made.id], ", "), made.ended.Sub(stopped).Seconds(), made.err)
		}
	}
	play.write("%d requests, %d served whole, %d cut off that were sent up to 3 s after the SIGTERM, %d lost", len(attempts), served, excused, lost)
	switch {
	case lost > 0:
		return broken
	case served == 0:
		return failed
	}
	return held
}
