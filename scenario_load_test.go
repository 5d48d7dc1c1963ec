package shedkeel_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// load sends model calls, whole and streamed, through entry boxes until ended,
// and judges each answer.
type load struct {
	world   *world
	stop    chan struct{}
	running sync.WaitGroup
	number  atomic.Int64

	mutex    sync.Mutex
	answered int
	notRun   int
	unknown  int
	cut      int
	cuts     []string // the errors, or the last of what came
	foreign  []string
}

// cmdLoad begins a load: load CALLERS URL... Callers ask which entry boxes to
// use, beginning at the URLs, and keep the answer as long as they may.
func cmdLoad(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	callers, err := strconv.Atoi(args[0])
	script.Check(err)
	world.loads = &load{world: world, stop: make(chan struct{})}
	for caller := range callers {
		world.loads.running.Go(func() { world.loads.run(caller, args[1:]) })
	}
}

func (load *load) end() {
	select {
	case <-load.stop:
	default:
		close(load.stop)
	}
	load.running.Wait()
}

// run is one caller.
func (load *load) run(caller int, urls []string) {
	addresses := urls
	until := time.Time{}
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
	for try := caller; ; try++ {
		select {
		case <-load.stop:
			return
		default:
		}
		if asked := time.Now(); asked.After(until) {
			named, kept := askEntries(client, urls)
			if len(named) == 0 {
				time.Sleep(50 * time.Millisecond)
				continue // the addresses that it has may not be used any longer
			}
			addresses, until = named, asked.Add(kept)
		}
		load.one(client, addresses[try%len(addresses)], try%2 == 0)
	}
}

func askEntries(client *http.Client, urls []string) ([]string, time.Duration) {
	for _, url := range urls {
		response, err := client.Get(url + "/v1/entries")
		if err != nil {
			continue
		}
		var answer struct {
			Entries []struct {
				Address string `json:"address"`
			} `json:"entries"`
			KeepSeconds float64 `json:"keep_seconds"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		var named []string
		for _, entry := range answer.Entries {
			named = append(named, "http://"+entry.Address)
		}
		return named, time.Duration(answer.KeepSeconds * float64(time.Second))
	}
	return nil, 0
}

// one makes one call, and judges its answer.
func (load *load) one(client *http.Client, url string, stream bool) {
	prompt := fmt.Sprintf("load-%d", load.number.Add(1))
	body := fmt.Sprintf(`{"model":"model","prompt":%q,"stream":%t,"max_tokens":20}`, prompt, stream)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+testerKey)
	response, err := client.Do(request)
	if err != nil {
		load.judge("cut", prompt, err.Error())
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	outcome := response.Header.Get("Shedkeel-Outcome")
	if err != nil {
		outcome = "cut"
	}
	load.judge(outcome, prompt, string(text))
	if outcome == "not-run" {
		time.Sleep(50 * time.Millisecond)
	}
}

func (load *load) judge(outcome, prompt, text string) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	switch outcome {
	case "answered":
		load.answered++
		whole := strings.Contains(text, prompt+" ") && strings.Contains(text, "word19") && strings.Count(text, "load-") <= 2
		if strings.Contains(text, "data:") {
			whole = whole && strings.HasSuffix(text, "data: [DONE]\n\n") && strings.Count(text, "data: ") == 21
		}
		if !whole {
			load.foreign = append(load.foreign, prompt+": "+text)
		}
	case "not-run":
		load.notRun++
	case "unknown":
		load.unknown++
	default:
		load.cut++
		load.cuts = append(load.cuts, text[max(0, len(text)-200):])
	}
}

// cmdLoaded ends the load and checks it: loaded MIN-ANSWERED MAX-CUT
// MAX-UNKNOWN. No answer may be another's or a part, and no call that was said
// not to have run may have run.
func cmdLoaded(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	world.loads.end()
	load := world.loads
	script.Logf("answered %d, not run %d, unknown %d, cut %d, foreign %d", load.answered, load.notRun, load.unknown, load.cut, len(load.foreign))
	for _, text := range load.cuts {
		script.Logf("cut: %s", text)
	}
	limits := make([]int, len(args))
	for index, arg := range args {
		limit, err := strconv.Atoi(arg)
		script.Check(err)
		limits[index] = limit
	}
	if len(load.foreign) > 0 {
		script.Fatalf("wrong or partial answers: %s", load.foreign[0])
	}
	if load.answered < limits[0] || load.cut > limits[1] || load.unknown > limits[2] {
		script.Fatalf("answered %d (at least %d), cut %d (at most %d), unknown %d (at most %d)", load.answered, limits[0], load.cut, limits[1], load.unknown, limits[2])
	}
}

// cmdCharges sends charges, each under a key of its own, at once through all
// the entry boxes given: charges COUNT PREFIX URL... Then it checks with the
// plain services' counts that none ran twice, that none ran of which all
// callers were told "not run", and that each that was answered ran.
func cmdCharges(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	count, err := strconv.Atoi(args[0])
	script.Check(err)
	var mutex sync.Mutex
	outcomes := map[string][]string{}
	var sending sync.WaitGroup
	for number := range count {
		name := fmt.Sprintf("%s-%d", args[1], number)
		for _, url := range args[2:] {
			sending.Go(func() {
				outcome := charge(url, name)
				mutex.Lock()
				defer mutex.Unlock()
				outcomes[name] = append(outcomes[name], outcome)
			})
		}
	}
	sending.Wait()
	tally := map[string]int{}
	first, second := world.runs(script, "plain-1"), world.runs(script, "plain-2")
	for name, told := range outcomes {
		ran := first[name] + second[name]
		notRun := 0
		for _, outcome := range told {
			tally[outcome]++
			if outcome == "not-run" {
				notRun++
			}
			if outcome == "answered" && ran != 1 {
				script.Fatalf("%s was answered and ran %d times", name, ran)
			}
		}
		if ran > 1 || ran == 1 && notRun == len(told) {
			script.Fatalf("%s ran %d times, callers were told %v", name, ran, told)
		}
	}
	script.Logf("%d charges over %d entry boxes: %v", count, len(args)-2, tally)
}

// cmdCharging sends charges like cmdCharges, but does not wait for them.
func cmdCharging(script *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	script.Check(err)
	world := worldOf(script)
	for number := range count {
		for _, url := range args[2:] {
			world.charging.Go(func() { charge(url, fmt.Sprintf("%s-%d", args[1], number)) })
		}
	}
}

// cmdLongCall begins a streamed call of so many tokens: longcall URL TOKENS.
func cmdLongCall(script *testscript.TestScript, _ bool, args []string) {
	world := worldOf(script)
	world.long = make(chan string, 1)
	go world.runLong(args[0], args[1])
}

func (world *world) runLong(url, tokens string) {
	body := fmt.Sprintf(`{"model":"model","prompt":"long","stream":true,"max_tokens":%s}`, tokens)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		world.long <- err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+testerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		world.long <- err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	world.long <- fmt.Sprintf("%d %v %t", response.StatusCode, err, strings.HasSuffix(string(text), "data: [DONE]\n\n"))
}

// cmdLongCalled checks that the call of cmdLongCall ended whole.
func cmdLongCalled(script *testscript.TestScript, _ bool, _ []string) {
	select {
	case ended := <-worldOf(script).long:
		if ended != "200 <nil> true" {
			script.Fatalf("the long call ended with %s", ended)
		}
	case <-time.After(20 * time.Second):
		script.Fatalf("the long call does not end")
	}
}

// cmdCharged waits for the charges of cmdCharging.
func cmdCharged(script *testscript.TestScript, _ bool, _ []string) { worldOf(script).charging.Wait() }

func charge(url, name string) string {
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, url+"/services/permits/fees", strings.NewReader(name))
	if err != nil {
		return "bad"
	}
	request.Header.Set("Authorization", "Bearer "+testerKey)
	request.Header.Set("Idempotency-Key", name)
	response, err := client.Do(request)
	if err != nil {
		return "cut"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.Header.Get("Shedkeel-Outcome")
}
