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

var capacity = flag.Bool("capacity", false, "measure keeper processes in fleets of several sizes")

// keeperFleet is a fleet of keeper processes. The stand-ins of the engines, the key-value
// service and the box list run in the test process, so that the measured processes are
// keepers only. The last byte of an address is N for keeper N, 200 and more for the
// engines, 250 for the key-value service and 251 for the box list.
type keeperFleet struct {
	host    string // first three bytes of its loopback addresses
	store   *standin.Store
	keepers []*exec.Cmd // in the order of their numbers
	dir     string      // folder of the settings files
}

const (
	capacityMembers = 8                // boxes per group
	rackBoxes       = 36               // boxes per rack, which is a fabric domain
	spareBoxes      = 4                // boxes that the groups do not need
	capacityTime    = 15 * time.Second // duration of a measurement
	clockTicks      = 100              // ticks per second of the times in /proc/PID/stat
	pageSize        = 4096             // bytes per page of the sizes in /proc/PID/statm
)

// TestCapacity prints the CPU time, memory, and bytes sent and read of keepers, their calls
// to the key-value service, and the fraction of groups that are not whole, for several
// numbers of keepers and groups.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("run with -capacity; it measures and asserts nothing")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "keepers\tgroups\tCPU % of a core, mean\tworst\tmemory MB, worst\tsent KB/s, mean\tread KB/s\tstore reads/s\twrites/s\twatches\tnot whole")
	for index, size := range []struct{ keepers, groups int }{{3, 20}, {9, 20}, {9, 53}, {18, 53}, {30, 53}} {
		measureKeepers(t, table, index, size.keepers, size.groups)
	}
	_ = table.Flush()
}

// measureKeepers starts a fleet, waits until all groups are whole, and adds a line to the
// table: the mean and worst usage of its keepers, the calls of the fleet to the key-value
// service, and the result of notWholeFraction.
func measureKeepers(t *testing.T, table *tabwriter.Writer, index, keepers, groups int) {
	t.Helper()
	// The second byte of the addresses depends on the process and the third on the index, so
	// that each fleet has its own. The third byte is at least 200: the fleets of the scripts
	// (see fleetCount) use the numbers from 1 on.
	fleet := &keeperFleet{host: fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 200+index), store: standin.NewStore(), dir: t.TempDir()}
	defer fleet.stop()
	fleet.serve(t, fleet.host+".250:2379", (&platformstandin.Store{Data: fleet.store}).Handler())
	var boxes []shedkeel.Box
	for number := range groups*capacityMembers + spareBoxes {
		// One loopback address has the engines of 100 boxes, on the ports 9000 to 9099.
		address := fmt.Sprintf("%s.%d:%d", fleet.host, 200+number/100, 9000+number%100)
		fakeEngine := &standin.Engine{JoinTime: time.Millisecond, LoadTime: time.Millisecond, Slots: 4, BootPrefix: "b"}
		fakeEngine.Init()
		fleet.serve(t, address, fakeEngine.Handler())
		boxes = append(boxes, shedkeel.Box{ID: shedkeel.BoxID(fmt.Sprintf("box-%04d", number)), Address: address, Zone: "z1", Domain: shedkeel.DomainID(fmt.Sprintf("rack-%d", number/rackBoxes)), Accelerators: 1})
	}
	fleet.serve(t, fleet.host+".251:8500", (&standin.BoxList{Boxes: boxes}).Handler())
	for keeper := 1; keeper <= keepers; keeper++ {
		fleet.start(t, keeper, keepers)
	}
	client := &operator.Client{Address: fleet.host + ".1:7400", Key: "operator-key"}
	fleet.apply(t, client, groups)
	fleet.awaitWhole(t, client, groups)
	time.Sleep(3 * time.Second) // the measurement starts 3 s after all groups are whole
	usageBefore, countsBefore := fleet.usage(t), fleet.store.Counts()
	notWhole := fleet.notWholeFraction(t, client, groups)
	usageAfter, countsAfter := fleet.usage(t), fleet.store.Counts()
	var cpu, worstCPU, memory, sent, read float64
	for keeper := range usageBefore {
		keeperCPU := (usageAfter[keeper].cpu - usageBefore[keeper].cpu) / capacityTime.Seconds() * 100
		cpu += keeperCPU / float64(keepers)
		worstCPU = max(worstCPU, keeperCPU)
		memory = max(memory, usageAfter[keeper].memory)
		sent += (usageAfter[keeper].sent - usageBefore[keeper].sent) / capacityTime.Seconds() / float64(keepers)
		read += (usageAfter[keeper].read - usageBefore[keeper].read) / capacityTime.Seconds() / float64(keepers)
	}
	rate := func(later, before int) float64 { return float64(later-before) / capacityTime.Seconds() }
	_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.2f%%\n", keepers, groups, cpu, worstCPU, memory, sent/1000, read/1000,
		rate(countsAfter.Reads, countsBefore.Reads), rate(countsAfter.Writes, countsBefore.Writes), countsAfter.Watches, notWhole*100)
}

// notWholeFraction queries the status of one keeper every 0.5 s for capacityTime. It
// returns the fraction of groups that were not whole, over all queries. A group that the keeper does
// not report counts as not whole.
func (fleet *keeperFleet) notWholeFraction(t *testing.T, client *operator.Client, groups int) float64 {
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

// serve serves the handler at the address until the test ends.
func (fleet *keeperFleet) serve(t *testing.T, address string, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// start starts the keeper with the number, of the given number of keepers. The settings of
// every keeper list the first nine keepers, or all if there are fewer, as peers.
func (fleet *keeperFleet) start(t *testing.T, number, keepers int) {
	t.Helper()
	var peers []string
	for peer := 1; peer <= min(keepers, 9); peer++ {
		peers = append(peers, strconv.Quote(fmt.Sprintf("%s.%d:7401", fleet.host, peer)))
	}
	own := fmt.Sprintf("%s.%d", fleet.host, number)
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
`, number, own, own, own, strings.Join(peers, ", "), own, fleet.host, fleet.host)
	path := filepath.Join(fleet.dir, fmt.Sprintf("%d.toml", number))
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	program, err := exec.LookPath("shedkeel-keeper")
	assert.NilError(t, err, "run this test with make capacity, which builds the programs")
	command := exec.Command(program, "--settings", path)
	command.Stderr = os.Stderr
	assert.NilError(t, command.Start())
	fleet.keepers = append(fleet.keepers, command)
}

// stop kills the keepers and waits for them to exit.
func (fleet *keeperFleet) stop() {
	for _, command := range fleet.keepers {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// apply applies a configuration with the given number of groups. It retries for about
// 20 s, since the keepers may still be starting.
func (fleet *keeperFleet) apply(t *testing.T, client *operator.Client, groups int) {
	t.Helper()
	// EntryBoxes must be positive. It has no effect here: only rates of accounts are divided
	// by it, and the configuration has no accounts.
	wanted := shedkeel.Config{EntryBoxes: 9, Services: []shedkeel.Service{{
		ID: "model", Kind: shedkeel.KindModel, Groups: groups, Members: capacityMembers, Zones: []shedkeel.ZoneID{"z1"}, Capacity: 4, Timeout: shedkeel.Duration(time.Minute),
	}}}
	// A full rack has the boxes for four groups and 4 more. The fleet has only spareBoxes more
	// boxes than its groups need, so some groups must have boxes of several racks.
	wanted.Policy = shedkeel.Policy{Name: "p", Program: "def plan(facts):\n    return table(cross_domain = True)\n"}
	var err error
	for range 100 { // 100 tries, 200 ms apart
		if _, err = client.Apply(t.Context(), wanted); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	assert.NilError(t, err)
}

// awaitWhole waits up to about 60 s until all groups are whole.
func (fleet *keeperFleet) awaitWhole(t *testing.T, client *operator.Client, groups int) {
	t.Helper()
	whole := 0
	for range 300 { // 300 tries, 200 ms apart
		if status, err := client.Status(t.Context()); err == nil {
			whole = countWhole(*status.Keeper)
		}
		if whole == groups {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("%d of %d groups are whole after about 60 s", whole, groups)
}

// usage is the CPU time that a process has used and the bytes that it has sent and read
// since its start, and its current resident memory. The bytes are those of all its write
// and read calls, not only those on the network.
type usage struct {
	cpu, memory, sent, read float64 // in seconds, megabytes, bytes and bytes
}

// usage returns the usage of each keeper.
func (fleet *keeperFleet) usage(t *testing.T) []usage {
	t.Helper()
	var usages []usage
	for _, command := range fleet.keepers {
		dir := fmt.Sprintf("/proc/%d/", command.Process.Pid)
		stat := strings.Fields(readFile(t, dir+"stat"))
		io := map[string]float64{}
		for line := range strings.Lines(readFile(t, dir+"io")) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			io[name], _ = strconv.ParseFloat(value, 64)
		}
		statm := strings.Fields(readFile(t, dir+"statm"))
		user, _ := strconv.ParseFloat(stat[13], 64)   // utime
		system, _ := strconv.ParseFloat(stat[14], 64) // stime
		pages, _ := strconv.ParseFloat(statm[1], 64)  // resident
		usages = append(usages, usage{cpu: (user + system) / clockTicks, memory: pages * pageSize / 1e6, sent: io["wchar"], read: io["rchar"]})
	}
	return usages
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

// maxValueBytes is the limit of TestStateSizes for one value of the key-value service.
// Package keeper limits another record, the configuration, to the same size
// (maxConfigBytes).
const maxValueBytes = 1 << 20

// TestStateSizes prints the size of the placement of a zone with 86 groups of 8 boxes, and
// checks that the placement is smaller than maxValueBytes. Its generation, epochs, names and
// addresses have many digits (1 << 20, 10000 and more), which makes the placement larger.
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
	assert.Assert(t, len(text) < maxValueBytes, "the placement of a zone has %d bytes and does not fit into one value of the key-value service", len(text))
}
