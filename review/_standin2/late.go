package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// lateConfig is the configuration of the case: the services, models and times of a small deployment.
const lateConfig = `{"version":7,
"routes":[{"name":"r-note","host":"ficu95.example","path_prefix":"/note/","kind":"streaming","timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"dil-modeli","max_attempts":2,"public":true,"resume_streams":true,"gap_aim_ms":200}],
"services":[{"name":"dil-modeli","health_path":"/health","max_connections":474,"engine":{"slots":26,"kv_capacity_tokens":1400000,"stride":5,
"models":[{"name":"m0","size":4,"share":0.67,"pace":1.0,"load_s":16.0,"warmup_s":1.6},{"name":"m1","size":2,"share":0.33,"pace":0.6,"load_s":12.0,"warmup_s":1.1}],
"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,"keeps":1,"far_x":3.0,"form_ms":300.0}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// lateness chooses the orders that are left unanswered: of the first formation of the domain of two
// runners, the first join of the head and the joins of the other member, and then the head's order to wait
// as a spare. Each is carried out 2 to 12 s after it came, as the pages say, the last one after the
// newer ones have made the group serve.
type lateness struct {
	play      *play
	fleet     *fleet
	head      *runner
	group     string
	epoch     uint64
	headJoin  *lateOrder // the head's first join
	peerJoins []*lateOrder
	spareJoin *lateOrder
}

// lateOrder is an order that was left unanswered.
type lateOrder struct {
	runner   *runner
	received order
	taken    time.Time
	once     sync.Once
}

// in carries the order out once it is so old. Only the first call counts.
func (late *lateOrder) in(age time.Duration) {
	late.once.Do(func() {
		time.AfterFunc(max(time.Until(late.taken.Add(age)), 0), func() { late.runner.carryOutLate(late.received, late.taken) })
	})
}

// choose is fleet.late.
func (lateness *lateness) choose(runner *runner, received order) bool {
	if runner.domain != "d2" || received.Op != "join" {
		return false
	}
	late := &lateOrder{runner: runner, received: received, taken: time.Now()}
	standby := strings.Contains(received.Group, "/standby/")
	switch {
	case standby && lateness.head == runner && lateness.spareJoin == nil:
		lateness.spareJoin = late
		late.in(10500 * time.Millisecond)
		// The joins of the first formation come now, after this newer order was given.
		age := max(2100*time.Millisecond, time.Since(lateness.headJoin.taken)+50*time.Millisecond)
		for _, join := range lateness.peerJoins {
			if join == lateness.peerJoins[0] {
				at := max(time.Until(join.taken.Add(2100*time.Millisecond)), 0)
				join.in(time.Since(join.taken) + at)
				age = max(age, time.Since(lateness.headJoin.taken)+at+20*time.Millisecond)
			}
		}
		lateness.headJoin.in(age)
		return true
	case standby:
		return false
	case lateness.head == nil:
		lateness.head, lateness.group, lateness.epoch, lateness.headJoin = runner, received.Group, received.Epoch, late
		time.AfterFunc(11*time.Second, func() { late.in(11 * time.Second) })
		return true
	case received.Epoch == lateness.epoch && runner != lateness.head && len(lateness.peerJoins) < 2:
		lateness.peerJoins = append(lateness.peerJoins, late)
		time.AfterFunc(11*time.Second, func() { late.in(11 * time.Second) })
		return true
	}
	return false
}

// playLateOrders starts the system while some orders to runners are left unanswered and carried out late.
func playLateOrders(play *play) int {
	if _, err := play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: []byte(lateConfig)}}}); err != nil {
		return play.fail(err)
	}
	fleet := &fleet{record: play.record, data: play.data, models: map[string]model{"m0": {4, 16 * time.Second, 1600 * time.Millisecond}, "m1": {2, 12 * time.Second, 1100 * time.Millisecond}}}
	lateness := &lateness{play: play, fleet: fleet}
	if play.trouble {
		fleet.late = lateness.choose
	}
	// A domain of eight, and one of two, whose hosts keep the weights of the smaller model.
	for index := range 10 {
		domain, staged := "d1", ""
		if index >= 8 {
			domain, staged = "d2", "m1"
		}
		if _, err := fleet.add(fmt.Sprintf("i-%08x", 0x7f3a91c0+index), "dil-modeli", fmt.Sprintf("%s%d", play.prefix, 100+index), domain, staged); err != nil {
			return play.fail(err)
		}
	}
	if err := play.startNodes(3); err != nil {
		return play.fail(err)
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	var calls sync.WaitGroup
	served := 0
	var mutex sync.Mutex
	for number := range 60 {
		calls.Go(func() {
			address := play.nodes[number%len(play.nodes)].callers
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+number)
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			play.write("client sends %s to %s", id, address)
			got := send(ctx, address, "POST", "/note/2f", map[string]string{"X-Shedkeel-Attempt-Id": id, "X-Shedkeel-Deadline-Ms": "6000", "X-Shedkeel-Model": "m1", "X-Shedkeel-Token-Usage": "700,200", "X-Shedkeel-Prompt-Prefix": "5c1e07a2:40,91bd3f06:660"}, []byte("a season rule"))
			play.write("client has of %s: status %d, %d bytes, whole %t, error %v", id, got.status, len(got.body), got.complete, got.err)
			mutex.Lock()
			defer mutex.Unlock()
			if got.status == 200 && got.complete {
				served++
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	calls.Wait()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	play.write("%d of 60 requests served; %d orders, %d of them left unanswered (%.2f)", served, fleet.orders, fleet.unheard, float64(fleet.unheard)/float64(max(fleet.orders, 1)))
	switch {
	case len(fleet.broken) > 0:
		return broken
	case served == 0:
		play.write("nothing was served")
		return failed
	}
	return held
}
