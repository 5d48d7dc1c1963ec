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

// load sends model calls, alternately streamed and not, through entry boxes until
// stopCallers is called. It counts the outcomes, and checks each answer with the outcome
// answered.
type load struct {
	fleet   *fleet
	stop    chan struct{}  // closed to end the load
	running sync.WaitGroup // the callers
	calls   atomic.Int64   // calls so far

	mutex    sync.Mutex
	answered int
	notRun   int
	unknown  int
	cut      int      // calls whose connection failed or broke, or whose outcome is neither answered, not-run nor unknown
	cutTexts []string // for each cut call, the last 200 bytes of the error or of the answer
	wrong    []string // prompts and answers of calls with the outcome answered whose answer is incomplete or has the prompt of another request
}

// cmdLoad starts a load and does not wait for its end: load CALLERS URL... The callers get
// the list of entry boxes from the first URL that answers, and get a new list when the
// list has expired.
func cmdLoad(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	callers, err := strconv.Atoi(args[0])
	script.Check(err)
	fleet.load = &load{fleet: fleet, stop: make(chan struct{})}
	for caller := range callers {
		fleet.load.running.Go(func() { fleet.load.run(caller, args[1:]) })
	}
}

// stopCallers stops the callers and waits for their calls to end.
func (load *load) stopCallers() {
	select {
	case <-load.stop:
	default:
		close(load.stop)
	}
	load.running.Wait()
}

// run makes the calls of one caller until the load ends.
func (load *load) run(caller int, urls []string) {
	addresses := urls
	validUntil := time.Time{}
	// The timeout is longer than the default timeout of requests, 15 s (see parseFleetOptions).
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
	// Tries take the boxes of the list in turn, and streamed and other calls alternate. The
	// first try has the caller's number, so that callers start at different boxes.
	for try := caller; ; try++ {
		select {
		case <-load.stop:
			return
		default:
		}
		if asked := time.Now(); asked.After(validUntil) {
			entries, validFor := fetchEntries(client, urls)
			if len(entries) == 0 {
				time.Sleep(50 * time.Millisecond)
				continue // the list of entry boxes has expired, and no box answers with a new one
			}
			addresses, validUntil = entries, asked.Add(validFor)
		}
		load.callOnce(client, addresses[try%len(addresses)], try%2 == 0)
	}
}

// fetchEntries returns the URLs of the entry boxes and how long the caller may use them.
// It asks the given URLs in turn until one answers with a list that is not empty, and
// returns no URLs if none does.
func fetchEntries(client *http.Client, urls []string) ([]string, time.Duration) {
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
		var entryURLs []string
		for _, entry := range answer.Entries {
			entryURLs = append(entryURLs, "http://"+entry.Address)
		}
		return entryURLs, time.Duration(answer.KeepSeconds * float64(time.Second))
	}
	return nil, 0
}

// callOnce makes one call for 20 tokens and records its outcome. If the outcome is not-run,
// callOnce then waits 50 ms.
func (load *load) callOnce(client *http.Client, url string, stream bool) {
	prompt := fmt.Sprintf("load-%d", load.calls.Add(1))
	body := fmt.Sprintf(`{"model":"model","prompt":%q,"stream":%t,"max_tokens":20}`, prompt, stream)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+testerKey)
	response, err := client.Do(request)
	if err != nil {
		load.record("cut", prompt, err.Error())
		return
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	outcome := response.Header.Get("Shedkeel-Outcome")
	if err != nil {
		outcome = "cut"
	}
	load.record(outcome, prompt, string(text))
	if outcome == "not-run" {
		time.Sleep(50 * time.Millisecond)
	}
}

// record counts an outcome, and checks an answer with the outcome answered. text is the
// answer, or the error if the call failed.
func (load *load) record(outcome, prompt, text string) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	switch outcome {
	case "answered":
		load.answered++
		// A complete answer contains the prompt and word19, the last of its 20 words. It contains
		// its prompt twice, as text and as message or delta content, so a third prompt in it belongs
		// to another request.
		complete := strings.Contains(text, prompt+" ") && strings.Contains(text, "word19") && strings.Count(text, "load-") <= 2
		// A stream has 21 events: one for each word, and the end marker.
		if strings.Contains(text, "data:") {
			complete = complete && strings.HasSuffix(text, "data: [DONE]\n\n") && strings.Count(text, "data: ") == 21
		}
		if !complete {
			load.wrong = append(load.wrong, prompt+": "+text)
		}
	case "not-run":
		load.notRun++
	case "unknown":
		load.unknown++
	default:
		load.cut++
		load.cutTexts = append(load.cutTexts, text[max(0, len(text)-200):])
	}
}

// cmdLoaded ends the load and checks the counts of its outcomes: loaded MIN-ANSWERED
// MAX-CUT MAX-UNKNOWN. The number of calls that did not run is not limited. No call with the
// outcome answered may have an answer that is incomplete or contains the prompt of another
// request (see record).
func cmdLoaded(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	fleet.load.stopCallers()
	load := fleet.load
	script.Logf("answered %d, not run %d, unknown %d, cut %d, wrong %d", load.answered, load.notRun, load.unknown, load.cut, len(load.wrong))
	for _, text := range load.cutTexts {
		script.Logf("cut: %s", text)
	}
	limits := make([]int, len(args))
	for index, arg := range args {
		limit, err := strconv.Atoi(arg)
		script.Check(err)
		limits[index] = limit
	}
	if len(load.wrong) > 0 {
		script.Fatalf("wrong or incomplete answers, the first: %s", load.wrong[0])
	}
	if load.answered < limits[0] || load.cut > limits[1] || load.unknown > limits[2] {
		script.Fatalf("answered %d (at least %d), cut %d (at most %d), unknown %d (at most %d)", load.answered, limits[0], load.cut, limits[1], load.unknown, limits[2])
	}
}

// cmdCharges sends charges, which are calls that must run at most once (see charge): charges
// COUNT PREFIX URL... Each charge goes through all entry boxes at once under one idempotency
// key. No charge may run twice; one must not run if all its outcomes are not-run, and must
// run once if one of them is answered. PREFIX and a number name a charge.
func cmdCharges(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
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
	runsOn1, runsOn2 := fleet.runs(script, "plain-1"), fleet.runs(script, "plain-2")
	for name, results := range outcomes {
		ran := runsOn1[name] + runsOn2[name]
		notRun := 0
		for _, outcome := range results {
			tally[outcome]++
			if outcome == "not-run" {
				notRun++
			}
			if outcome == "answered" && ran != 1 {
				script.Fatalf("charge %s has the outcome answered and ran %d times", name, ran)
			}
		}
		if ran > 1 || ran == 1 && notRun == len(results) {
			script.Fatalf("charge %s ran %d times, the outcomes are %v", name, ran, results)
		}
	}
	script.Logf("%d charges over %d entry boxes: %v", count, len(args)-2, tally)
}

// cmdCharging starts to send charges like cmdCharges, and does not wait for them:
// charging COUNT PREFIX URL... It does not check their outcomes.
func cmdCharging(script *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	script.Check(err)
	fleet := fleetOf(script)
	for number := range count {
		for _, url := range args[2:] {
			fleet.charging.Go(func() { charge(url, fmt.Sprintf("%s-%d", args[1], number)) })
		}
	}
}

// cmdLongCall starts a streamed call for a number of tokens, and does not wait for it:
// longcall URL TOKENS. cmdLongCalled checks its result.
func cmdLongCall(script *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(script)
	fleet.longCall = make(chan string, 1) // buffered, so that runLongCall ends without a receiver
	go fleet.runLongCall(args[0], args[1])
}

// runLongCall makes the call of cmdLongCall. It sends the result to fleet.longCall: the
// status, the error of reading the answer and whether the stream ended with its end marker,
// or only the error if no response arrived.
func (fleet *fleet) runLongCall(url, tokens string) {
	body := fmt.Sprintf(`{"model":"model","prompt":"long","stream":true,"max_tokens":%s}`, tokens)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		fleet.longCall <- err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+testerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fleet.longCall <- err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	fleet.longCall <- fmt.Sprintf("%d %v %t", response.StatusCode, err, strings.HasSuffix(string(text), "data: [DONE]\n\n"))
}

// cmdLongCalled waits up to 20 s for the call of cmdLongCall and checks that its answer
// was complete.
func cmdLongCalled(script *testscript.TestScript, _ bool, _ []string) {
	select {
	case result := <-fleetOf(script).longCall:
		// Status 200, no read error, and the stream has its end marker.
		if result != "200 <nil> true" {
			script.Fatalf("the long call ended with %s", result)
		}
	case <-time.After(20 * time.Second):
		script.Fatalf("the long call has not ended within 20 s")
	}
}

// cmdCharged waits until the charges of cmdCharging have ended.
func cmdCharged(script *testscript.TestScript, _ bool, _ []string) { fleetOf(script).charging.Wait() }

// charge sends a charge: a call of the plain service at /fees, which is one of its once paths,
// with name as the body and the idempotency key. It returns the outcome that the answer
// states, cut if no response arrived, or bad if the request cannot be created.
func charge(url, name string) string {
	// The timeout is longer than that of requests to the plain service, 5 s (see document).
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
