package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// wholeConfig has one plain service, as ruhsat-api of the site ruhsat-kapi.
const wholeConfig = `{"version":1,"routes":[
{"name":"r-safe","host":"h.example","path_prefix":"/fee/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"max_attempts":2,"public":false,"service":"plain"},
{"name":"r-unsafe","host":"h.example","path_prefix":"/permit/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"max_attempts":1,"public":false,"service":"plain"}],
"services":[{"name":"plain","health_path":"/health","max_connections":110}],
"tenants":[{"name":"hule930","api_keys":["key-1"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	wholeRunners = 3
	wholeClients = 15
	wholeCrashes = 6
	downTime     = 4500 * time.Millisecond // a crashed runner is down for so long
	crashPause   = 1500 * time.Millisecond
)

// runWhole crashes one plain runner after the other while clients send requests.
func runWhole(site *site, trouble bool) error {
	if err := site.startStore(wholeConfig); err != nil {
		return err
	}
	runners := make([]*runner, wholeRunners)
	for index := range runners {
		runners[index] = &runner{name: fmt.Sprintf("runner-%d", index), address: fmt.Sprintf("%s%d:8080", site.host, 100+index)}
		if err := site.startRunner(runners[index]); err != nil {
			return err
		}
	}
	if err := site.startNodes(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var answers answers
	for index := range wholeClients {
		clients.Go(func() { site.runPlainClient(index, stop, &answers) })
	}
	for crash := range wholeCrashes {
		time.Sleep(crashPause)
		if !trouble {
			time.Sleep(downTime)
			continue
		}
		if err := site.crash(runners[crash%wholeRunners]); err != nil {
			return err
		}
	}
	time.Sleep(crashPause)
	close(stop)
	clients.Wait()
	for _, runner := range runners {
		site.recordLog(runner.name, "request")
	}
	return site.judgeWhole(answers.all)
}

// runner is a plain runner with its process.
type runner struct {
	name    string
	address string
	starts  int
	id      string // of this start
	command *exec.Cmd
}

// startRunner starts the process of a runner, which is a new incarnation.
func (site *site) startRunner(runner *runner) (err error) {
	runner.starts++
	runner.id = fmt.Sprintf("i-%s-%d", runner.name, runner.starts)
	runner.command, err = site.start(runner.name, os.Args[0], "runner", runner.id, runner.address, site.store)
	return err
}

// crash kills the process of a runner and starts it again after downTime. Its record goes after three
// heartbeats of silence.
func (site *site) crash(runner *runner) error {
	site.record.add("runner: %s crashes (its process is killed)", runner.id)
	_ = runner.command.Process.Kill() // fails only if it has ended
	_ = runner.command.Wait()
	time.Sleep(3 * heartbeat)
	if _, err := site.data.Commit(shedkeel.Transaction{Remove: []string{"servers/" + runner.id}}); err != nil {
		return err
	}
	site.record.add("platform: the record of %s has lapsed", runner.id)
	time.Sleep(downTime - 3*heartbeat)
	return site.startRunner(runner)
}

// answers collects the answers of all clients.
type answers struct {
	mutex sync.Mutex
	all   []answer
}

func (answers *answers) add(answer answer) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	answers.all = append(answers.all, answer)
}

// runPlainClient sends safe and unsafe requests by turns over kept connections.
func (site *site) runPlainClient(index int, stop chan struct{}, answers *answers) {
	client := &http.Client{Transport: &http.Transport{}}
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
		}
		request := call{attempt: fmt.Sprintf("%02x%06x", index, count), method: http.MethodGet, path: "/fee/17", deadline: 4 * time.Second}
		if count%2 == 1 {
			request.method, request.path, request.body = http.MethodPost, "/permit/17", "permit 17"
		}
		result := request.send(client, site.nodes[index%len(site.nodes)], readBody)
		site.record.add("client: request %s (%s %s) got status %d, seal %q, %d of %d bytes, ended regularly: %v %s",
			request.attempt, request.method, request.path, result.status, result.seal, len(result.body), len(wholeAnswer(request.attempt)), result.whole, result.reason)
		answers.add(result)
	}
}

// judgeWhole checks MIXED: a success has the runner's seal and its whole body.
func (site *site) judgeWhole(all []answer) error {
	served, other, broken := 0, 0, 0
	for _, result := range all {
		switch {
		case !result.whole || result.status < 200 || result.status > 299:
			other++
		case result.seal != "" && result.body == wholeAnswer(result.call.attempt):
			served++
		default:
			broken++
			site.record.say("MIXED: request %s (%s %s) got %d with seal %q and %d of the %d bytes of the runner's body, as a whole answer",
				result.call.attempt, result.call.method, result.call.path, result.status, result.seal, len(result.body), len(wholeAnswer(result.call.attempt)))
		}
	}
	site.record.say("%d requests: %d served, %d refused or failed, %d got a part of a body as a success", len(all), served, other, broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
