package shedkeel_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/operator"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

var capacity = flag.Bool("capacity", false, "measure real keepers at several sizes")

// yard is a fleet of real keepers; the stand-ins run in the test's process, so
// that only keepers are measured.
type yard struct {
	host  string
	store *standin.Store
	procs []*exec.Cmd
	dir   string
}

const (
	capacityMembers = 8
	capacityTime    = 15 * time.Second
	clockTicks      = 100 // a second, in /proc/PID/stat
)

// TestCapacity measures the processor time, memory and bytes of keepers.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("run with -capacity; it measures and asserts nothing")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "keepers\tgroups\tCPU % of a core, mean\tworst\tmemory MB, worst\tsent KB/s, mean\tread KB/s\tstore reads/s\twrites/s\twatches\tnot whole")
	for index, point := range []struct{ keepers, groups int }{{3, 20}, {9, 20}, {9, 53}, {18, 53}, {30, 53}} {
		measureKeepers(t, table, index, point.keepers, point.groups)
	}
	_ = table.Flush()
}

func measureKeepers(t *testing.T, table *tabwriter.Writer, index, keepers, groups int) {
	t.Helper()
	yard := &yard{host: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 200+index), store: standin.NewStore(), dir: t.TempDir()}
	defer yard.end()
	yard.serve(t, yard.host+".250:2379", (&platformstandin.Store{Data: yard.store}).Handler())
	var boxes []shedkeel.Box
	for number := range groups*capacityMembers + 4 {
		address := fmt.Sprintf("%s.%d:%d", yard.host, 200+number/100, 9000+number%100)
		model := &standin.Engine{JoinTime: time.Millisecond, LoadTime: time.Millisecond, Slots: 4, BootPrefix: "b"}
		model.Begin()
		yard.serve(t, address, model.Handler())
		boxes = append(boxes, shedkeel.Box{ID: shedkeel.BoxID(fmt.Sprintf("box-%04d", number)), Address: address, Zone: "z1", Domain: shedkeel.DomainID(fmt.Sprintf("rack-%d", number/36)), Accelerators: 1})
	}
	yard.serve(t, yard.host+".251:8500", (&standin.BoxList{Boxes: boxes}).Handler())
	for keeper := 1; keeper <= keepers; keeper++ {
		yard.start(t, keeper, keepers)
	}
	client := &operator.Client{Keeper: yard.host + ".1:7400", Key: "operator-key"}
	yard.apply(t, client, groups)
	yard.awaitWhole(t, client, groups)
	time.Sleep(3 * time.Second)
	before, counts := yard.usage(t), yard.store.Counts()
	missing := yard.watch(t, client, groups)
	after, later := yard.usage(t), yard.store.Counts()
	var cpu, worst, memory, sent, read float64
	for place := range before {
		own := (after[place].cpu - before[place].cpu) / capacityTime.Seconds() * 100
		cpu += own / float64(keepers)
		worst = max(worst, own)
		memory = max(memory, after[place].memory)
		sent += (after[place].sent - before[place].sent) / capacityTime.Seconds() / float64(keepers)
		read += (after[place].read - before[place].read) / capacityTime.Seconds() / float64(keepers)
	}
	rate := func(later, before int) float64 { return float64(later-before) / capacityTime.Seconds() }
	_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.2f%%\n", keepers, groups, cpu, worst, memory, sent/1000, read/1000,
		rate(later.Reads, counts.Reads), rate(later.Writes, counts.Writes), later.Watches, missing*100)
}

// watch looks twice a second whether all groups are whole in one keeper's eyes,
// and returns the part of what it saw that was not.
func (yard *yard) watch(t *testing.T, client *operator.Client, groups int) float64 {
	t.Helper()
	seen, whole := 0, 0
	for began := time.Now(); time.Since(began) < capacityTime; time.Sleep(500 * time.Millisecond) {
		status, err := client.Status(t.Context())
		assert.NilError(t, err)
		seen += groups
		whole += countWhole(*status.Keeper)
	}
	return float64(seen-whole) / float64(seen)
}

func (yard *yard) serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (yard *yard) start(t *testing.T, number, keepers int) {
	t.Helper()
	var peers []string
	for peer := 1; peer <= min(keepers, 9); peer++ {
		peers = append(peers, strconv.Quote(fmt.Sprintf("%s.%d:7401", yard.host, peer)))
	}
	own := fmt.Sprintf("%s.%d", yard.host, number)
	settings := fmt.Sprintf(`node = "node-%03d"
zone = "z1"
[entry]
listen = "%s:8080"
admin = "%s:8081"
[keeper]
operator = "%s:7400"
operator_key = "operator-key"
peers = [%s]
[wire]
listen = "%s:7401"
key = "wire-key"
[platform]
store = "%s.250:2379"
box_list = "%s.251:8500"
[log]
level = "error"
`, number, own, own, own, strings.Join(peers, ", "), own, yard.host, yard.host)
	path := filepath.Join(yard.dir, fmt.Sprintf("%d.toml", number))
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	program, err := exec.LookPath("shedkeel-keeper")
	assert.NilError(t, err, "run it by make capacity, which builds the programs")
	command := exec.Command(program, "--settings", path)
	command.Stderr = os.Stderr
	assert.NilError(t, command.Start())
	yard.procs = append(yard.procs, command)
}

func (yard *yard) end() {
	for _, command := range yard.procs {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

func (yard *yard) apply(t *testing.T, client *operator.Client, groups int) {
	t.Helper()
	wanted := shedkeel.Config{EntryBoxes: 9, Services: []shedkeel.Service{{
		ID: "model", Kind: shedkeel.KindModel, Groups: groups, Members: capacityMembers, Zones: []shedkeel.ZoneID{"z1"}, Capacity: 4, Timeout: shedkeel.Duration(time.Minute),
	}}}
	wanted.Policy = shedkeel.Policy{Name: "p", Program: "def plan(facts):\n    return table(cross_domain = True)\n"}
	var err error
	for range 100 {
		if _, err = client.Apply(t.Context(), wanted); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	assert.NilError(t, err)
}

func (yard *yard) awaitWhole(t *testing.T, client *operator.Client, groups int) {
	t.Helper()
	whole := 0
	for range 300 {
		if status, err := client.Status(t.Context()); err == nil {
			whole = countWhole(*status.Keeper)
		}
		if whole == groups {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("%d of %d groups are whole", whole, groups)
}

// usage is what a process has used since it began.
type usage struct {
	cpu, memory, sent, read float64 // seconds, megabytes, bytes, bytes
}

func (yard *yard) usage(t *testing.T) []usage {
	t.Helper()
	var all []usage
	for _, command := range yard.procs {
		dir := fmt.Sprintf("/proc/%d/", command.Process.Pid)
		stat := strings.Fields(readFile(t, dir+"stat"))
		io := map[string]float64{}
		for line := range strings.Lines(readFile(t, dir+"io")) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			io[name], _ = strconv.ParseFloat(value, 64)
		}
		statm := strings.Fields(readFile(t, dir+"statm"))
		user, _ := strconv.ParseFloat(stat[13], 64)
		system, _ := strconv.ParseFloat(stat[14], 64)
		pages, _ := strconv.ParseFloat(statm[1], 64)
		all = append(all, usage{cpu: (user + system) / clockTicks, memory: pages * 4096 / 1e6, sent: io["wchar"], read: io["rchar"]})
	}
	return all
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

// TestStateSizes prints how large the agreed records are at the letter's size.
func TestStateSizes(t *testing.T) {
	placement := shedkeel.Placement{Generation: 1 << 20, Zone: "zone-1", Nonce: "0123456789abcdef"}
	for group := range 86 {
		formed := shedkeel.Group{ID: shedkeel.GroupID(fmt.Sprintf("zone-1-%d", 10000+group)), Service: "model", Domain: "rack-17", Epoch: 10000}
		for member := range capacityMembers {
			formed.Members = append(formed.Members, shedkeel.Member{Box: shedkeel.BoxID(fmt.Sprintf("box-%05d", group*8+member)), Address: "10.100.100.100:9000", Boot: "0123456789abcdef"})
		}
		placement.Groups = append(placement.Groups, formed)
	}
	text, err := json.Marshal(placement)
	assert.NilError(t, err)
	t.Logf("placement of 86 groups of 8: %d bytes", len(text))
	assert.Assert(t, len(text) < 1<<20, "a zone's placement must fit one value of the service")
}
