package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// manyRoutes makes a configuration of some 0.5 MB; the store takes values of 1,048,576 bytes.
	manyRoutes = 1950
	// outage is for how long the store is silent.
	outage = 7 * time.Second
	// revokeTime is revoke_ms.
	revokeTime = 5 * time.Second
)

// removedKeys are taken away, one from each of three large tenants.
var removedKeys = [3]string{"anfqasnmgkcuyj8pjbv0", "anfqasnmgkcuyj8pjbv1", "anfqasnmgkcuyj8pjbv2"}

// manyRoutesConfig returns a configuration, with the keys that are taken away or without.
func manyRoutesConfig(version int, withRemoved bool) []byte {
	var keys [3]string
	if withRemoved {
		for index, key := range removedKeys {
			keys[index] = fmt.Sprintf(",%q", key)
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[{"name":"r-status","host":"ficu95.example","path_prefix":"/status/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"ruhsat-api","max_attempts":1}`, version)
	for index := range manyRoutes {
		fmt.Fprintf(&text, `,{"name":"r-%07d","host":"ficu95.example","path_prefix":"/lohu930/x%d/","kind":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"ruhsat-api","max_attempts":2,"public":false,"sticky":true,"resume_streams":true,"gap_aim_ms":300}`, index, index)
	}
	fmt.Fprintf(&text, `],"services":[{"name":"ruhsat-api","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"large-0","api_keys":["stays0zs989anu6wsjnb"%s]},{"name":"large-1","api_keys":["stays1zs989anu6wsjnb"%s]},{"name":"large-2","api_keys":["stays2zs989anu6wsjnb"%s]},{"name":"small","api_keys":["n2ctnfzs989anu6wsjnb"]}]}`, keys[0], keys[1], keys[2])
	return []byte(text.String())
}

// caller is the population of clients. It keeps connections, asks a node that serves the directory each
// second where to go, and keeps the old answer while no new one can be had.
type caller struct {
	play    *play
	client  *http.Client
	mutex   sync.Mutex
	targets []string
	sent    map[string]time.Time // when a request with one of the three keys was sent, by id
	status  map[int]int
}

func (caller *caller) look() {
	for _, index := range rand.Perm(len(caller.play.nodes))[:3] {
		if found := resolve(caller.play.nodes[index].directory); len(found) > 0 {
			caller.mutex.Lock()
			caller.targets = found
			caller.mutex.Unlock()
			return
		}
	}
}

// call sends one request, and once more after a refusal, when the node says so.
func (caller *caller) call(number int, key string, isRemoved bool) {
	deadline := time.Now().Add(4 * time.Second)
	for try := range 2 {
		id := fmt.Sprintf("%015x%d", 0x9c41d07be2a0000+number, try)
		caller.mutex.Lock()
		if len(caller.targets) == 0 {
			caller.mutex.Unlock()
			return
		}
		target := caller.targets[rand.IntN(len(caller.targets))]
		if isRemoved {
			caller.sent[id] = time.Now()
		}
		caller.mutex.Unlock()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+target+"/status/2f", strings.NewReader("status of licence 12"))
		if err != nil {
			cancel()
			return
		}
		request.Host = "ficu95.example"
		request.Header.Set("X-Shedkeel-Attempt-Id", id)
		request.Header.Set("X-Shedkeel-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
		request.Header.Set("X-Shedkeel-Key", key)
		caller.play.write("client sends %s to %s, one of the three keys: %t", id, target, isRemoved)
		response, err := caller.client.Do(request)
		if err != nil {
			cancel()
			caller.play.write("client has of %s: %v", id, err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		cancel()
		caller.play.write("client has of %s: status %d", id, response.StatusCode)
		caller.mutex.Lock()
		caller.status[response.StatusCode]++
		caller.mutex.Unlock()
		if response.StatusCode != http.StatusServiceUnavailable {
			return
		}
		wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
		if err != nil || wait > time.Until(deadline)/3 {
			return
		}
		time.Sleep(wait)
	}
}

// playRevokedKey takes a key away, right before the store is silent for some seconds.
func playRevokedKey(play *play) int {
	commit := func(value []byte) {
		play.write("the operator writes a configuration of %d bytes", len(value))
		_, _ = play.data.Commit(shedkeel.Transaction{Put: []shedkeel.Put{{Key: "op/config", Value: value}}})
	}
	commit(manyRoutesConfig(7, true))
	fleet := &fleet{record: play.record, data: play.data}
	for index := range 3 {
		if _, err := fleet.add(fmt.Sprintf("i-%08x", 0x7f3a91c0+index), "ruhsat-api", fmt.Sprintf("%s%d", play.prefix, 100+index), "", ""); err != nil {
			return play.fail(err)
		}
	}
	if err := play.startNodes(6); err != nil {
		return play.fail(err)
	}
	caller := &caller{play: play, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}, sent: map[string]time.Time{}, status: map[int]int{}}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	done := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() {
		for {
			caller.look()
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	})
	time.Sleep(500 * time.Millisecond)
	calls.Go(func() {
		tick := time.NewTicker(time.Second / 150) // the deployment's requests a second
		defer tick.Stop()
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			isRemoved, key := number%5 != 0, "n2ctnfzs989anu6wsjnb"
			if isRemoved {
				key = removedKeys[number%3]
			}
			calls.Go(func() { caller.call(number, key, isRemoved) })
		}
	})
	time.Sleep(4 * time.Second)
	play.silent.Store(play.trouble)
	commit(manyRoutesConfig(9, false))
	acknowledged := time.Now()
	play.write("the configuration without the three keys is acknowledged; the store is silent from now on: %t", play.trouble)
	time.Sleep(outage)
	play.silent.Store(false)
	play.write("the store answers again")
	time.Sleep(5 * time.Second)
	close(done)
	calls.Wait()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	before := 0
	for id, sent := range caller.sent {
		after := sent.Sub(acknowledged)
		if len(fleet.ran[id]) > 0 && after < 0 {
			before++
		}
		if len(fleet.ran[id]) > 0 && after > revokeTime {
			fleet.breakRule("CONFIG: request %s, sent %.3f s after the acknowledgement of the configuration that removed its key, has run", id, after.Seconds())
		}
	}
	play.write("statuses: %v; %d requests ran with the key before it was removed; %d ran that were sent over %s after", caller.status, before, len(fleet.broken), revokeTime)
	switch {
	case len(fleet.broken) > 0:
		return broken
	case before == 0:
		play.write("nothing ran")
		return failed
	}
	return held
}
