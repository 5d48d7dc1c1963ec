package shedkeel_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/config"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/entry"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/member"
	"shedkeel.org/shedkeel/timer"
	"shedkeel.org/shedkeel/wire"
)

var overhead = flag.Bool("overhead", false, "measure the overhead of an entry over direct calls")

// overheadCalls is the number of calls of one measurement of TestOverhead.
const overheadCalls = 20000

// staticKeeper answers an entry's polls like a keeper whose records never change and that
// always finds the group whole.
type staticKeeper struct {
	records  []*wire.Record
	group    shedkeel.Group
	sequence uint64 // of the last digest
}

// Handle returns the records and a new digest in which the group is whole.
func (keeper *staticKeeper) Handle(context.Context, *wire.Call) *wire.Reply {
	keeper.sequence++
	digest := &wire.Digest{Watcher: "w", Incarnation: "1", Sequence: keeper.sequence, Verdicts: []*wire.GroupVerdict{{
		Group: string(keeper.group.ID), Epoch: keeper.group.Epoch, Verdict: uint32(shedkeel.VerdictWhole),
	}}}
	return &wire.Reply{Kind: &wire.Reply_Sync{Sync: &wire.SyncReply{Settled: true, Records: keeper.records, Digests: []*wire.Digest{digest}}}}
}

// TestOverhead prints the latency and CPU time of calls through an entry and of
// direct calls to the engine, and the difference of the latencies. The engine, the entry
// and the callers run in the process of the test.
func TestOverhead(t *testing.T) {
	if !*overhead {
		t.Skip("run with -overhead; it measures and asserts nothing")
	}
	direct, through := startEngineAndEntry(t)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "kind\tcallers\tdirect p50\tp99\tthrough p50\tp99\tadded p50\tp99\tCPU direct\tthrough")
	for _, stream := range []bool{false, true} {
		for _, callers := range []int{1, 64, 512} {
			_, _ = measureCalls(t, through, callers, stream, 500) // about 500 calls to warm up; the result is discarded
			directLatency, directCPU := measureCalls(t, direct, callers, stream, overheadCalls)
			throughLatency, throughCPU := measureCalls(t, through, callers, stream, overheadCalls)
			quantile := func(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
				return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
			}
			_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", map[bool]string{true: "stream", false: "whole"}[stream], callers,
				quantile(directLatency, 50), quantile(directLatency, 99), quantile(throughLatency, 50), quantile(throughLatency, 99),
				quantile(throughLatency, 50)-quantile(directLatency, 50), quantile(throughLatency, 99)-quantile(directLatency, 99), directCPU, throughCPU)
		}
	}
	_ = table.Flush()
}

// startEngineAndEntry starts an engine, a static keeper and an entry. It returns the
// URLs for direct calls to the engine and for calls through the entry, once the entry
// serves.
func startEngineAndEntry(t *testing.T) (direct, through string) {
	t.Helper()
	// More slots than callers of TestOverhead, so that no request waits for a slot. The
	// Capacity in staticRecords is the same.
	fakeEngine := &standin.Engine{Slots: 4096, BootPrefix: "b"}
	fakeEngine.Init()
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	engineServer := &http.Server{Handler: fakeEngine.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = engineServer.Serve(engineListener) }()
	t.Cleanup(func() { _ = engineServer.Close() })
	// The engine reports the boot b-1: BootPrefix and the number of its starts.
	group := shedkeel.Group{ID: "g", Service: "model", Epoch: 1, Members: []shedkeel.Member{{Box: "b", Address: engineListener.Addr().String(), Boot: "b-1"}}}
	order, err := json.Marshal(shedkeel.Order{Kind: shedkeel.OrderLoad, Service: "model", Assignment: group.Assignment(), PlannerEpoch: 1})
	assert.NilError(t, err)
	response, err := http.Post("http://"+engineListener.Addr().String()+"/control/orders", "application/json", bytes.NewReader(order))
	assert.NilError(t, err)
	_ = response.Body.Close()

	wireListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &wire.Server{Key: "k", Handler: &staticKeeper{records: staticRecords(t, group), group: group}}
	go func() { _ = server.Run(wireListener) }()
	t.Cleanup(func() { _ = wireListener.Close() })
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings := config.DefaultSettings()
	settings.Node = "n"
	settings.Wire.Listen = wireListener.Addr().String()
	settings.Wire.Key = "k"
	settings.Entry.DirectoryTTL = 1 // in nanoseconds: a stop does not wait until cached addresses have expired
	measuredEntry := &entry.Entry{
		Settings: settings, Incarnation: "1", Backend: &engine.Transport{}, Timers: &timer.System{},
		Random: rand.NewPCG(1, 1), NewAttemptID: shedkeel.NewNonce,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = measuredEntry.Run(ctx, entry.Listeners{Callers: callers, Admin: admin}) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	through = "http://" + callers.Addr().String()
	for range 200 { // 200 tries, 50 ms apart
		if callModel(ctx, through, "warm", false) == http.StatusOK { // not streamed
			return "http://" + engineListener.Addr().String(), through
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the entry does not answer calls with 200 within about 10 s")
	return "", ""
}

// staticRecords returns a configuration with the account of testerKey and the service
// model, and a placement with the group.
func staticRecords(t *testing.T, group shedkeel.Group) []*wire.Record {
	t.Helper()
	sum := sha256.Sum256([]byte(testerKey))
	configuration, err := json.Marshal(shedkeel.Config{
		Generation: 1, EntryBoxes: 1,
		Services: []shedkeel.Service{{ID: "model", Kind: shedkeel.KindModel, Capacity: 4096, Timeout: shedkeel.Duration(time.Minute)}},
		Accounts: []shedkeel.Account{{ID: "tester", KeyHash: hex.EncodeToString(sum[:])}},
	})
	assert.NilError(t, err)
	placement, err := json.Marshal(shedkeel.Placement{Generation: 1, Zone: "z", Groups: []shedkeel.Group{group}})
	assert.NilError(t, err)
	return []*wire.Record{{Key: member.KeyConfig, Version: 1, Value: configuration}, {Key: member.KeyPlacements + "z", Version: 1, Value: placement}}
}

// measureCalls makes about the given number of calls: each concurrent caller makes an
// equal number, rounded down, and at least one. It returns the latencies to the first byte
// of the body, in microseconds, and the CPU time of the whole process per call.
func measureCalls(t *testing.T, url string, callers int, stream bool, calls int) (*hdrhistogram.Histogram, time.Duration) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":"model","prompt":"p","stream":%t}`, stream)
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) // 1 µs to 1 min, with 3 significant digits
	var mutex sync.Mutex
	var running sync.WaitGroup
	before := cpuTime()
	for range callers {
		running.Go(func() {
			histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for range max(calls/callers, 1) {
				began := time.Now()
				request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
				assert.Check(t, err)
				request.Header.Set("Authorization", "Bearer "+testerKey)
				response, err := client.Do(request)
				if !assert.Check(t, err) {
					return
				}
				reader := bufio.NewReader(response.Body)
				_, _ = reader.ReadByte() // blocks until the first byte of the body arrives
				latency := time.Since(began)
				_, _ = io.Copy(io.Discard, reader)
				_ = response.Body.Close()
				assert.Check(t, response.StatusCode == http.StatusOK, "status %d", response.StatusCode)
				_ = histogram.RecordValue(latency.Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			latencies.Merge(histogram)
		})
	}
	running.Wait()
	return latencies, (cpuTime() - before) / time.Duration(max(calls/callers, 1)*callers)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
