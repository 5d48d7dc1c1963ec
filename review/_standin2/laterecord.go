package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// recordConfig is the configuration of the case, with the smaller model of the deployment.
const recordConfig = `{"version":7,
"routes":[{"name":"r-note","host":"ficu95.example","path_prefix":"/note/","kind":"streaming","timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"dil-modeli","max_attempts":2,"public":true,"resume_streams":true,"gap_aim_ms":200}],
"services":[{"name":"dil-modeli","health_path":"/health","max_connections":474,"engine":{"slots":26,"kv_capacity_tokens":1400000,"stride":5,
"models":[{"name":"m1","size":2,"share":1,"pace":0.6,"load_s":12.0,"warmup_s":1.1}],
"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,"keeps":1,"far_x":3.0,"form_ms":300.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// lateWrite is how much later the write without an answer is done: 1 to 6 s.
const lateWrite = 5500 * time.Millisecond

// playLateRecord has the store do one write of a runner late.
func playLateRecord(play *play) int {
	if _, err := play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: []byte(recordConfig)}}}); err != nil {
		return play.fail(err)
	}
	fleet := &fleet{record: play.record, data: play.data, models: map[string]model{"m1": {2, 12 * time.Second, 1100 * time.Millisecond}}}
	chosen := ""
	if play.trouble {
		// A write with which the second runner of the domain tells again that it waits as a spare, ready.
		told := false
		fleet.lost = func(runner *runner) (time.Duration, bool) {
			if chosen != "" || runner.id != "i-7f3a91c9" || runner.state != "ready" || !strings.Contains(runner.group, "/standby/") {
				return 0, false
			}
			if !told {
				told = true
				runner.nextBeat = time.Now().Add(200 * time.Millisecond)
				return 0, false
			}
			chosen = runner.id
			return lateWrite, true
		}
	}
	add := func(index int, staged string) error {
		domain := "d1"
		if index >= 8 {
			domain = "d2"
		}
		_, err := fleet.add(fmt.Sprintf("i-%08x", 0x7f3a91c0+index), "dil-modeli", fmt.Sprintf("%s%d", play.prefix, 100+index), domain, staged)
		return err
	}
	for index := range 10 { // a domain of eight, and two runners of another one, whose hosts keep the weights
		if err := add(index, "m1"); err != nil {
			return play.fail(err)
		}
	}
	if err := play.startNodes(3); err != nil {
		return play.fail(err)
	}
	for {
		fleet.mutex.Lock()
		orders := fleet.orders
		fleet.mutex.Unlock()
		if orders > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for index := range 2 {
		time.Sleep(650 * time.Millisecond)
		play.write("a runner is added to the domain d2")
		if err := add(10+index, "m1"); err != nil {
			return play.fail(err)
		}
	}
	time.Sleep(9 * time.Second)
	var calls sync.WaitGroup
	var mutex sync.Mutex
	served := 0
	for number := range 20 {
		calls.Go(func() {
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+number)
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			got := send(ctx, play.nodes[number%len(play.nodes)].callers, "POST", "/note/2f", map[string]string{"X-Shedkeel-Attempt-Id": id, "X-Shedkeel-Deadline-Ms": "6000", "X-Shedkeel-Model": "m1", "X-Shedkeel-Token-Usage": "700,100", "X-Shedkeel-Prompt-Prefix": "5c1e07a2:40,91bd3f06:660"}, []byte("a season rule"))
			play.write("client has of %s: status %d, %d bytes, whole %t, error %v", id, got.status, len(got.body), got.complete, got.err)
			mutex.Lock()
			defer mutex.Unlock()
			if got.status == 200 && got.complete {
				served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	calls.Wait()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	play.write("%d of 20 requests served; %d writes of runners to the store, %d of them without an answer", served, fleet.writes, fleet.lostWrites)
	switch {
	case len(fleet.broken) > 0:
		return broken
	case served == 0:
		play.write("nothing was served")
		return failed
	}
	return held
}
