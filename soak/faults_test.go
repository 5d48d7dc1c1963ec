package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// runFaults breaks things one after another for a while, and mends each.
func (world *world) runFaults(random *rand.Rand, length time.Duration) {
	kinds := []func(*rand.Rand) string{
		world.killNode, world.stopNode, world.freezeNode, world.cutStore, world.loseServer, world.spoilServer,
		world.drainServer, world.storeFault, world.removeKey, world.hangUp, world.sendDeadly, world.limitServer,
		world.backOffServer, world.drainByAnswers, world.restoreStore,
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		what := kinds[random.IntN(len(kinds))](random)
		world.mutex.Lock()
		world.faults = append(world.faults, time.Now().Format("05.000 ")+what)
		world.mutex.Unlock()
		time.Sleep(between(random, 50, 600))
	}
}

func between(random *rand.Rand, least, most int64) time.Duration {
	return time.Duration(least+random.Int64N(most-least)) * time.Millisecond
}

func (world *world) node(random *rand.Rand) *process {
	return world.nodes[random.IntN(len(world.nodes))]
}

func (world *world) killNode(random *rand.Rand) string {
	node := world.node(random)
	node.end(syscall.SIGKILL)
	time.Sleep(between(random, 100, 1200))
	world.startNode(node)
	return "killed and restarted " + node.name
}

func (world *world) stopNode(random *rand.Rand) string {
	node := world.node(random)
	node.end(syscall.SIGTERM)
	world.startNode(node)
	return "stopped and restarted " + node.name
}

func (world *world) freezeNode(random *rand.Rand) string {
	node := world.node(random)
	length := between(random, 200, 2500)
	node.signal(syscall.SIGSTOP)
	time.Sleep(length)
	node.signal(syscall.SIGCONT)
	world.wakes(node)
	return fmt.Sprintf("froze %s for %s", node.name, length)
}

func (world *world) hangUp(random *rand.Rand) string {
	node := world.node(random)
	node.signal(syscall.SIGHUP)
	return "SIGHUP to " + node.name
}

func (world *world) cutStore(random *rand.Rand) string {
	node := world.node(random)
	manner := []manner{delayed, silent, deaf, refusing}[random.IntN(4)]
	node.store.set(manner)
	length := between(random, 300, 3000)
	time.Sleep(length)
	node.store.set(passing)
	return fmt.Sprintf("store of %s in manner %d for %s", node.name, manner, length)
}

// loseServer kills a server of a group or a plain one. Its record goes as after
// three heartbeats; another server comes.
func (world *world) loseServer(random *rand.Rand) string {
	service, id := world.victim(random)
	if id == "" {
		return "no server to lose"
	}
	world.fleet.Kill(id)
	time.AfterFunc(1500*time.Millisecond, func() {
		_ = world.fleet.RemoveRecord(id) // the stand-in's store takes it always
	})
	world.replaceServer(random, service)
	return "lost " + id
}

func (world *world) replaceServer(random *rand.Rand, service string) {
	domain := ""
	if service == "llm" {
		domain = fmt.Sprint("rack-", random.IntN(2))
	}
	world.addServer(service, domain)
}

// victim returns a server that still lives, one of three of the plain ones.
func (world *world) victim(random *rand.Rand) (service, id string) {
	living := world.fleet.LiveServers()
	slices.Sort(living)
	if len(living) < 8 {
		return "", ""
	}
	id = living[random.IntN(len(living))]
	service = "llm"
	if id[:5] == "plain" {
		service = "plain"
	}
	return service, id
}

func (world *world) spoilServer(random *rand.Rand) string {
	_, id := world.victim(random)
	world.mutex.Lock()
	way := world.servers[id]
	world.mutex.Unlock()
	if way == nil {
		return "no server to spoil"
	}
	manner := []manner{delayed, silent, refusing}[random.IntN(3)]
	way.set(manner)
	length := between(random, 200, 2000)
	time.Sleep(length)
	way.set(passing)
	world.fleet.ForgetServer(id)
	return fmt.Sprintf("way to %s in manner %d for %s", id, manner, length)
}

func (world *world) drainServer(random *rand.Rand) string {
	service, id := world.victim(random)
	if id == "" {
		return "no server to drain"
	}
	world.fleet.Drain(id)
	world.endServer(id, 3*time.Second)
	world.replaceServer(random, service)
	return "drained " + id
}

func (world *world) storeFault(random *rand.Rand) string {
	faults := []standin.Faults{{Outage: true}, {DelayMS: 200}, {LoseReplies: 3}}[random.IntN(3)]
	world.data.SetFaults(faults)
	length := between(random, 200, 2500)
	time.Sleep(length)
	world.data.SetFaults(standin.Faults{})
	if random.IntN(2) == 0 {
		world.data.Forget()
	}
	return fmt.Sprintf("store %+v for %s", faults, length)
}

func (world *world) removeKey(*rand.Rand) string {
	world.configure()
	return "a key removed, another added"
}

// deadlyPrefix is what the bodies of requests begin with that end servers.
const deadlyPrefix = "deadly"

// sendDeadly has one and the same request that ends servers come for a while, at
// nodes at random, beside the other faults.
func (world *world) sendDeadly(random *rand.Rand) string {
	world.mutex.Lock()
	world.deadly++
	body := fmt.Sprint(deadlyPrefix, "-", world.deadly)
	world.mutex.Unlock()
	pause := between(random, 40, 500)
	sendings := random.IntN(40)
	go world.runDeadly(body, pause, sendings, random.Uint64())
	return fmt.Sprintf("%s comes %d times, each %s", body, sendings, pause)
}

func (world *world) runDeadly(body string, pause time.Duration, sendings int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	caller := &caller{judge: &world.judge, random: random, client: &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range sendings {
		node := world.node(random)
		go caller.post(node.callers, "/copy/deadly", shedkeel.NewNonce(), "stays", body)
		select {
		case <-world.over:
			return
		case <-time.After(pause):
		}
	}
}

const (
	// limitWindow is the time in which the requests to a limited server are counted,
	// and limitBurst how many more than one and a half times its limit it may get.
	limitWindow = 4 * time.Second
	limitBurst  = 5
	// limitContact is within which all nodes are to know of a limit.
	limitContact = 3 * time.Second
	// unawareSends is how many requests a node that has just started or woken may send
	// to a server before it knows of its limit.
	unawareSends = 4
)

// limitServer has a server state a limit for a while, beside the other faults.
func (world *world) limitServer(random *rand.Rand) string {
	_, id := world.victim(random)
	if id == "" {
		return "no server to limit"
	}
	limit := float64(random.IntN(8)) / 2
	length := limitContact + between(random, 1000, 5000)
	world.fleet.SetLimit(id, fmt.Sprint(limit))
	go world.runLimited(id, limit, length)
	return fmt.Sprintf("%s states a limit of %v for %s", id, limit, length)
}

// runLimited checks what a server gets while it states a limit.
func (world *world) runLimited(id string, limit float64, length time.Duration) {
	stated := time.Now()
	select {
	case <-world.over:
		return
	case <-time.After(length):
	}
	arrivals := world.fleet.Arrivals(id)
	world.fleet.SetLimit(id, "")
	known := slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Sub(stated) < limitContact })
	allowed := int(1.5*limit*limitWindow.Seconds()) + limitBurst + unawareSends*world.wokenSince(stated)
	if most := platformstandin.MaxArrivals(known, limitWindow); most > allowed {
		world.judge.breaks("server %s that states a limit of %v got %d requests in %s, allowed %d", id, limit, most, limitWindow, allowed)
	}
}

// backOffServer has a server turn requests away and ask for a backoff for a while.
func (world *world) backOffServer(random *rand.Rand) string {
	_, id := world.victim(random)
	if id == "" {
		return "no server to back off"
	}
	length, lasts := between(random, 600, 3000), between(random, 500, 5000)
	world.fleet.SetBackoff(id, length)
	time.AfterFunc(lasts, func() { world.fleet.SetBackoff(id, 0) })
	return fmt.Sprintf("%s asks for backoffs of %s for %s", id, length, lasts)
}

// endServer ends a server after a while, and its record with it.
func (world *world) endServer(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		world.fleet.Kill(id)
		_ = world.fleet.RemoveRecord(id) // the stand-in's store takes it always
	})
}

// drainByAnswers has a server drain that says so in its answers alone.
func (world *world) drainByAnswers(random *rand.Rand) string {
	service, id := world.victim(random)
	if id == "" {
		return "no server to drain"
	}
	world.fleet.AnnounceDraining(id)
	world.endServer(id, 3500*time.Millisecond)
	world.replaceServer(random, service)
	return "drained by its answers " + id
}

// restoreStore has the store lose what was written in a while, come back, and be
// written again by the operator and the servers.
func (world *world) restoreStore(random *rand.Rand) string {
	world.restoring.Lock()
	defer world.restoring.Unlock()
	world.data.Snapshot()
	lost, away, again := between(random, 300, 3000), between(random, 200, 1500), between(random, 0, 1500)
	time.Sleep(lost)
	world.data.SetFaults(standin.Faults{Outage: true})
	time.Sleep(away)
	world.data.Restore()
	world.data.SetFaults(standin.Faults{})
	time.Sleep(again)
	world.writeAgain()
	return fmt.Sprintf("store came back from a copy of %s before, after %s, written again after %s", lost, away, again)
}

// wakes notes that a node starts, or stood still until now.
func (world *world) wakes(process *process) {
	world.fleet.ForgetNode(slices.Index(world.nodes, process))
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.woken = append(world.woken, time.Now())
}

// wokenSince returns how often nodes have started or woken since then.
func (world *world) wokenSince(then time.Time) int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	count := 0
	for _, at := range world.woken {
		if at.After(then) {
			count++
		}
	}
	return count
}
