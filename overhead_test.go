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

var overhead = flag.Bool("overhead", false, "measure what an entry adds to a direct call")

// constant answers an entry's polls like a keeper for which nothing changes.
type constant struct {
	records  []*wire.Record
	group    shedkeel.Group
	sequence uint64
}

func (constant *constant) Handle(context.Context, *wire.Call) *wire.Reply {
	constant.sequence++
	digest := &wire.Digest{Watcher: "w", Incarnation: "1", Sequence: constant.sequence, Verdicts: []*wire.GroupVerdict{{
		Group: string(constant.group.ID), Epoch: constant.group.Epoch, Verdict: uint32(shedkeel.VerdictWhole),
	}}}
	return &wire.Reply{Kind: &wire.Reply_Sync{Sync: &wire.SyncReply{Settled: true, Records: constant.records, Digests: []*wire.Digest{digest}}}}
}

// TestOverhead measures latency and processor time of calls through an entry
// against direct ones, in one run and one process.
func TestOverhead(t *testing.T) {
	if !*overhead {
		t.Skip("run with -overhead; it measures and asserts nothing")
	}
	direct, through := startOverhead(t)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "kind\tcallers\tdirect p50\tp99\tthrough p50\tp99\tadded p50\tp99\tCPU direct\tthrough")
	for _, stream := range []bool{false, true} {
		for _, callers := range []int{1, 64, 512} {
			_, _ = measureCalls(t, through, callers, stream, 500) // warm up
			base, baseCPU := measureCalls(t, direct, callers, stream, 20000)
			ours, oursCPU := measureCalls(t, through, callers, stream, 20000)
			micros := func(histogram *hdrhistogram.Histogram, part float64) time.Duration {
				return time.Duration(histogram.ValueAtQuantile(part)) * time.Microsecond
			}
			_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", map[bool]string{true: "stream", false: "whole"}[stream], callers,
				micros(base, 50), micros(base, 99), micros(ours, 50), micros(ours, 99),
				micros(ours, 50)-micros(base, 50), micros(ours, 99)-micros(base, 99), baseCPU, oursCPU)
		}
	}
	_ = table.Flush()
}

func startOverhead(t *testing.T) (direct, through string) {
	t.Helper()
	model := &standin.Engine{Slots: 4096, BootPrefix: "b"}
	model.Begin()
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	engineServer := &http.Server{Handler: model.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = engineServer.Serve(engineListener) }()
	t.Cleanup(func() { _ = engineServer.Close() })
	group := shedkeel.Group{ID: "g", Service: "model", Epoch: 1, Members: []shedkeel.Member{{Box: "b", Address: engineListener.Addr().String(), Boot: "b-1"}}}
	order, err := json.Marshal(shedkeel.Order{Kind: shedkeel.OrderLoad, Service: "model", Assignment: group.Assignment(), PlannerEpoch: 1})
	assert.NilError(t, err)
	response, err := http.Post("http://"+engineListener.Addr().String()+"/control/orders", "application/json", bytes.NewReader(order))
	assert.NilError(t, err)
	_ = response.Body.Close()

	wireListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &wire.Server{Key: "k", Handler: &constant{records: records(t, group), group: group}}
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
	settings.Entry.KeepFor = 1
	process := &entry.Entry{
		Settings: settings, Incarnation: "1", Backend: &engine.Transport{}, Timers: &timer.System{},
		Random: rand.NewPCG(1, 1), NewAttempt: shedkeel.NewNonce,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = process.Run(ctx, entry.Listeners{Callers: callers, Admin: admin}) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	through = "http://" + callers.Addr().String()
	for range 200 {
		if callModel(ctx, through, "warm", false) == http.StatusOK {
			return "http://" + engineListener.Addr().String(), through
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the entry does not serve")
	return "", ""
}

func records(t *testing.T, group shedkeel.Group) []*wire.Record {
	t.Helper()
	sum := sha256.Sum256([]byte(testerKey))
	inForce, err := json.Marshal(shedkeel.Config{
		Generation: 1, EntryBoxes: 1,
		Services: []shedkeel.Service{{ID: "model", Kind: shedkeel.KindModel, Capacity: 4096, Timeout: shedkeel.Duration(time.Minute)}},
		Accounts: []shedkeel.Account{{ID: "tester", KeyHash: hex.EncodeToString(sum[:])}},
	})
	assert.NilError(t, err)
	placement, err := json.Marshal(shedkeel.Placement{Generation: 1, Zone: "z", Groups: []shedkeel.Group{group}})
	assert.NilError(t, err)
	return []*wire.Record{{Key: member.KeyConfig, Version: 1, Value: inForce}, {Key: member.KeyPlacements + "z", Version: 1, Value: placement}}
}

// measureCalls makes so many calls and returns their latencies, to the first
// byte of the body for streams, and the processor time of the whole process
// for each call.
func measureCalls(t *testing.T, url string, callers int, stream bool, calls int) (*hdrhistogram.Histogram, time.Duration) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":"model","prompt":"p","stream":%t}`, stream)
	merged := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mutex sync.Mutex
	var running sync.WaitGroup
	before := processorTime()
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
				_, _ = reader.ReadByte()
				taken := time.Since(began)
				_, _ = io.Copy(io.Discard, reader)
				_ = response.Body.Close()
				assert.Check(t, response.StatusCode == http.StatusOK, "status %d", response.StatusCode)
				_ = histogram.RecordValue(taken.Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			merged.Merge(histogram)
		})
	}
	running.Wait()
	return merged, (processorTime() - before) / time.Duration(max(calls/callers, 1)*callers)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
