package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// orderConfig has one service of model runners, with the figures of the site ruhsat-kapi.
const orderConfig = `{"version":1,"routes":[
{"name":"r-copy","host":"h.example","path_prefix":"/copy/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"gap_aim_ms":300,"priority":1,"max_attempts":2,"public":false,"sticky":true,"resume_streams":true,"service":"llm"}],
"services":[{"name":"llm","health_path":"/health","max_connections":474,"engine":{"slots":26,"stride":5,"chunk":2048,"step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,
"models":[{"name":"m0","size":2,"share":1,"pace":1.0,"load_s":12.0,"warmup_s":1.1}],"loads_per_s":4.0,"loads_at_once":6,"form_ms":300}}],
"tenants":[{"name":"hule930","api_keys":["key-1"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	orderEngines = 16
	orderGroups  = 6 // the planner keeps spares
	orderClients = 120
	orderNodes   = 9
	orderEvents  = 27
	orderRounds  = 25
	slowEngines  = 2 // 0.16 of 16
	slowPace     = 5
	slowTime     = 2600 * time.Millisecond
	freezeTime   = 400 * time.Millisecond
	movedStreams = 4 // a node freezes once so many of its streams have begun at a second runner
)

// runOrder has groups turn slow, and a node freeze meanwhile and wake again.
func runOrder(site *site, trouble bool) error {
	if err := site.startEngines(); err != nil {
		return err
	}
	if err := site.startNodes(orderNodes); err != nil {
		return err
	}
	if err := waitUntil(20*time.Second, "too few groups are open", func() bool { return len(site.fleet.OpenHeads()["m0"]) >= orderGroups }); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var answers answers
	nodes := make([]int, orderClients) // clients pick an address by chance
	for index := range nodes {
		nodes[index] = rand.IntN(orderNodes)
		clients.Go(func() { site.runStreamClient(index, site.nodes[nodes[index]], stop, &answers) })
	}
	time.Sleep(3 * time.Second)
	for range orderRounds {
		began := time.Now()
		if trouble {
			site.slowGroups()
			site.freezeMover(nodes)
		}
		time.Sleep(slowTime - time.Since(began))
		for _, engine := range site.engines {
			engine.setPace(1)
		}
		time.Sleep(800 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	return site.judgeOrder(answers.all)
}

// startEngines starts the store and the model runners.
func (site *site) startEngines() error {
	if err := site.startStore(orderConfig); err != nil {
		return err
	}
	site.fleet = &platformstandin.Fleet{Data: site.data, Models: map[string]platformstandin.Timing{
		// Before the first request loads take a tenth of the time.
		"m0": {Size: 2, Load: 1200 * time.Millisecond, Warmup: 1100 * time.Millisecond, Rejoin: 200 * time.Millisecond},
	}}
	for index := range orderEngines {
		added := &engine{Server: &platformstandin.Server{ID: fmt.Sprintf("i-%02d", index), Service: "llm", Zone: "ic-a", Domain: fmt.Sprintf("d%d", index/8)}, site: site, pace: 1}
		address, err := serve(fmt.Sprintf("%s%d:0", site.host, 100+index), added)
		if err != nil {
			return err
		}
		added.Address = address
		site.engines[added.ID] = added
		site.fleet.Add(added.Server)
	}
	go func() {
		for range time.Tick(heartbeat) {
			site.fleet.RewriteRecords()
		}
	}()
	return nil
}

// slowGroups makes a member of some open groups slow. A group runs at the pace of its slowest member.
func (site *site) slowGroups() {
	heads := site.fleet.OpenHeads()["m0"]
	for _, head := range heads[:min(len(heads), slowEngines)] {
		members := head.Members()
		if len(members) == 0 {
			continue
		}
		slow := members[len(members)-1]
		site.engines[slow].setPace(slowPace)
		site.record.add("runner: %s turns slow (x %d); it is a member of the group that %s heads", slow, slowPace, head.ID)
	}
}

// freezeMover freezes a node that has begun several streams at a second runner beside a slow one, and
// wakes it.
func (site *site) freezeMover(nodes []int) {
	before := site.record.movedByNode(nodes)
	chosen := -1
	_ = waitUntil(2*time.Second, "", func() bool {
		for index, count := range site.record.movedByNode(nodes) {
			if count-before[index] >= movedStreams {
				chosen = index
			}
		}
		return chosen >= 0
	})
	if chosen < 0 {
		site.record.add("no node has moved streams; none freezes")
		return
	}
	site.signal(site.nodes[chosen], syscall.SIGSTOP)
	time.Sleep(freezeTime)
	site.signal(site.nodes[chosen], syscall.SIGCONT)
}

// movedByNode returns how many runs went on after an event, by the node that the client uses.
func (record *record) movedByNode(nodes []int) []int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	counts := make([]int, orderNodes)
	for client, node := range nodes {
		counts[node] += record.moved[fmt.Sprintf("%02x", client)]
	}
	return counts
}

// runStreamClient sends one stream after the other over a kept connection.
func (site *site) runStreamClient(index int, node *node, stop chan struct{}, answers *answers) {
	client := &http.Client{Transport: &http.Transport{}}
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(150)) * time.Millisecond):
		}
		attempt, prompt := fmt.Sprintf("%02x%06x", index, count), 500+rand.IntN(1900)
		request := call{attempt: attempt, method: http.MethodPost, path: "/copy/x", body: "prompt of " + attempt, deadline: 8 * time.Second, header: map[string]string{
			"X-Shedkeel-Model": "m0", "X-Shedkeel-Token-Usage": fmt.Sprintf("%d,%d", prompt, orderEvents*eventTokens),
			"X-Shedkeel-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%s:%d", attempt, prompt-40),
		}}
		result := request.send(client, node, readEvents)
		site.record.add("client: request %s at %s got status %d, %d pieces of %d, ended regularly: %v %s", attempt, node.name, result.status, len(result.pieces), orderEvents, result.whole, result.reason)
		answers.add(result)
	}
}

// judgeOrder checks ORDER: no piece is missing or comes twice, pieces of two runs are not joined unless
// the later run went on at the event before, and no stream ends as complete before its last piece.
func (site *site) judgeOrder(all []answer) error {
	served, other, broken := 0, 0, 0
	for _, result := range all {
		fault := site.record.orderFault(result)
		switch {
		case fault != "":
			broken++
			site.record.say("ORDER: request %s: %s; the client got %v; ended regularly: %v %s", result.call.attempt, fault, result.pieces, result.whole, result.reason)
		case result.whole && result.status == http.StatusOK:
			served++
		default:
			other++
		}
	}
	site.record.say("%d streams: %d served, %d refused, cut or given up, %d with pieces of two runs joined, missing or twice", len(all), served, other, broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// orderFault returns how an answer breaks ORDER, or "".
func (record *record) orderFault(result answer) string {
	if result.status != http.StatusOK {
		return ""
	}
	before := piece{}
	for _, piece := range result.pieces {
		if piece.number != before.number+1 {
			return fmt.Sprintf("piece %d comes after piece %d", piece.number, before.number)
		}
		after, known := record.begunAfter(result.call.attempt, piece.run)
		if piece.run != before.run && (!known || after != before.number) {
			return fmt.Sprintf("piece %d of run %s, which began after piece %d, is joined to piece %d of run %s", piece.number, piece.run, after, before.number, before.run)
		}
		before = piece
	}
	if result.whole && before.number != orderEvents {
		return fmt.Sprintf("it ended as complete after piece %d", before.number)
	}
	return ""
}
