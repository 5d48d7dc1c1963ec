package formation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// testEngine has a model of four boxes and one of two, like the users' sites.
func testEngine() *shedkeel.Engine {
	return &shedkeel.Engine{
		Slots: 26, LoadsPerSecond: 4, LoadsAtOnce: 6, ReadPerSecond: 46_000, StepEach: 241 * time.Microsecond,
		Models: []shedkeel.Model{
			{ID: "large", Size: 4, Share: 0.67, Load: 16 * time.Second, Warmup: 1600 * time.Millisecond},
			{ID: "small", Size: 2, Share: 0.33, Load: 12 * time.Second, Warmup: 1100 * time.Millisecond},
		},
	}
}

// fakeServer is a backend server that follows the rules of engines.
type fakeServer struct {
	shedkeel.Instance
	seen    uint64 // highest epoch
	last    shedkeel.ModelID
	readyAt time.Duration
	loadsTo shedkeel.ModelID
	loadAt  time.Duration
	cold    bool          // the join under way loads from the weight store, which leaves the model on the host
	diedAt  time.Duration // 0: lives
	stalled time.Duration // as a head: a member is missing since
	mute    time.Duration // until then the planner can't reach it, though it serves
	list    []shedkeel.InstanceID
	readied map[shedkeel.Assignment]bool // the formations in which it has been ready
	cutAt   time.Duration                // since then it is cut off from the planner and the list, though it serves
	cutTill time.Duration
	again   bool // its server has started again since; diedAt is set too
}

// cutOff reports whether the planner can't reach the server.
func (server *fakeServer) cutOff(now time.Duration) bool { return now < server.cutTill }

// unlisted reports whether a server that was cut off is not listed: its entry
// goes after three heartbeats and is back some time after the cut.
func (server *fakeServer) unlisted(now time.Duration) bool {
	const gone, back = 3600 * time.Millisecond, 1400 * time.Millisecond
	return server.cutTill-server.cutAt > gone && now > server.cutAt+gone && now < server.cutTill+back
}

// fakeFleet plays engines in virtual time and notes broken rules.
type fakeFleet struct {
	engine  *shedkeel.Engine
	random  *rand.Rand
	now     time.Duration
	servers map[shedkeel.InstanceID]*fakeServer
	late    []lateOrder
	loses   float64 // part of orders whose answer is lost
	broken  []string
	named   int
	terms   uint64 // planners that followed the first one
	demand  map[shedkeel.ModelID]shedkeel.ModelDemand
	orders  map[shedkeel.GroupOrderKind]int // given
	lag     int                             // how many steps late the list is
	past    [][]shedkeel.Instance
}

type lateOrder struct {
	order shedkeel.GroupOrder
	at    time.Duration
}

func newFakeFleet(seed uint64, domains, boxes int) *fakeFleet {
	fleet := &fakeFleet{engine: testEngine(), random: rand.New(rand.NewPCG(seed, 7)), servers: map[shedkeel.InstanceID]*fakeServer{}, orders: map[shedkeel.GroupOrderKind]int{}}
	for domain := range domains {
		for range boxes {
			fleet.add(shedkeel.DomainID(fmt.Sprintf("d%d", domain)))
		}
	}
	return fleet
}

func (fleet *fakeFleet) add(domain shedkeel.DomainID) {
	fleet.named++
	id := shedkeel.InstanceID(fmt.Sprintf("s%03d", fleet.named))
	server := &fakeServer{Instance: shedkeel.Instance{ID: id, Service: "svc", Address: string(id), Domain: domain}, readied: map[shedkeel.Assignment]bool{}}
	fleet.servers[id] = server
}

// restart has a server start again under its name. It knows nothing of before;
// what is on its host stays.
func (fleet *fakeFleet) restart(id shedkeel.InstanceID) {
	former := fleet.servers[id]
	former.diedAt, former.again, former.Member = fleet.now, true, nil
	next := &fakeServer{Instance: shedkeel.Instance{
		ID: shedkeel.NewInstanceID(id.Server(), id.Born()+1), Service: former.Service, Address: former.Address, Domain: former.Domain, Staged: former.Staged,
	}, readied: map[shedkeel.Assignment]bool{}}
	fleet.servers[next.ID] = next
}

// reached returns the start of a server that an order to it reaches: engines
// know themselves by the server's name alone.
func (fleet *fakeFleet) reached(id shedkeel.InstanceID) *fakeServer {
	server := fleet.servers[id]
	for server.again {
		server = fleet.servers[shedkeel.NewInstanceID(id.Server(), server.ID.Born()+1)]
	}
	return server
}

// wasReady reports whether any start of a server was ready in the formation.
func (fleet *fakeFleet) wasReady(id shedkeel.InstanceID, in shedkeel.Assignment) bool {
	for _, server := range fleet.servers {
		if server.ID.Server() == id.Server() && server.readied[in] {
			return true
		}
	}
	return false
}

// instances returns the list of servers as a planner sees it, late.
func (fleet *fakeFleet) instances() []shedkeel.Instance {
	fleet.past = append(fleet.past, fleet.listed())
	return fleet.past[max(len(fleet.past)-1-fleet.lag, 0)]
}

// listed returns the list of servers as the platform's store has it: dead ones
// stay for three heartbeats.
func (fleet *fakeFleet) listed() []shedkeel.Instance {
	var listed []shedkeel.Instance
	for _, server := range fleet.servers {
		if server.again || server.diedAt != 0 && fleet.now-server.diedAt > 3600*time.Millisecond || server.unlisted(fleet.now) {
			continue
		}
		instance := server.Instance
		if server.Member != nil {
			member := *server.Member
			instance.Member = &member
		}
		listed = append(listed, instance)
	}
	slices.SortFunc(listed, func(a, b shedkeel.Instance) int { return cmpStrings(string(a.ID), string(b.ID)) })
	return listed
}

func cmpStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// dead returns what probes have found half a second after a death.
func (fleet *fakeFleet) dead() map[shedkeel.InstanceID]bool {
	found := map[shedkeel.InstanceID]bool{}
	for id, server := range fleet.servers {
		if server.diedAt != 0 && fleet.now-server.diedAt > 500*time.Millisecond || fleet.now < server.mute || server.cutOff(fleet.now) {
			found[id] = true
		}
	}
	return found
}

// head returns the living head of a membership.
func (fleet *fakeFleet) head(member *shedkeel.Membership) *fakeServer {
	for _, server := range fleet.servers {
		if server.Member != nil && server.Member.Group == member.Group && server.Member.Epoch == member.Epoch && server.Member.Rank == 0 {
			return server
		}
	}
	return nil
}

// carryOut has a server follow an order. It returns false if it refuses.
func (fleet *fakeFleet) carryOut(order shedkeel.GroupOrder) bool {
	server := fleet.reached(order.To)
	matches := server.Member != nil && server.Member.Group == order.Group && server.Member.Epoch == order.Epoch
	switch order.Kind {
	case shedkeel.OrderJoin:
		return fleet.join(server, order)
	case shedkeel.OrderOpen:
		if !matches || server.Member.Rank != 0 || server.Member.State != shedkeel.MemberReady {
			return matches && server.Member.State == shedkeel.MemberOpen
		}
		fleet.checkOpen(server)
		server.Member.State = shedkeel.MemberOpen
	case shedkeel.OrderClose:
		if matches && server.Member.State == shedkeel.MemberOpen {
			server.Member.State = shedkeel.MemberReady
		}
		return matches
	case shedkeel.OrderLeave:
		if matches {
			server.Member = nil
		}
	case shedkeel.OrderStage:
		if server.loadAt != 0 {
			return false
		}
		server.loadsTo, server.loadAt = order.Model, fleet.now+fleet.engine.Model(order.Model).Load
	}
	return true
}

func (fleet *fakeFleet) join(server *fakeServer, order shedkeel.GroupOrder) bool {
	same := server.Member != nil && server.Member.Group == order.Group && server.Member.Epoch == order.Epoch
	if order.Epoch < server.seen || same && !slices.Equal(server.list, order.Members) {
		return false
	}
	if same {
		return true
	}
	if server.Member != nil && server.Member.Group != order.Group {
		head := fleet.head(server.Member)
		given := head != nil && head.diedAt != 0 && fleet.now-head.diedAt > 5*time.Second // its group was given up since
		if head != nil && !given && (head.Member.State == shedkeel.MemberOpen || head.Member.State == shedkeel.MemberClosing) {
			fleet.broken = append(fleet.broken, fmt.Sprintf("%s: %s joins %s while the head of %s serves", fleet.now, server.ID, order.Group, server.Member.Group))
		}
	}
	server.seen = order.Epoch
	server.list = order.Members
	server.Member = &shedkeel.Membership{Group: order.Group, Epoch: order.Epoch, Rank: rankOf(order.Members, server.ID), State: shedkeel.MemberJoining}
	model := fleet.engine.Model(order.Model)
	server.cold = server.last != order.Model && !server.HasStaged(order.Model)
	switch {
	case server.last == order.Model:
		server.readyAt = fleet.now + 200*time.Millisecond
	case server.HasStaged(order.Model):
		server.readyAt = fleet.now + model.Warmup
	default:
		server.readyAt = fleet.now + model.Load
	}
	server.last = order.Model
	server.Models = []shedkeel.ModelID{order.Model}
	return true
}

// rankOf returns the place of a server among members, by its name.
func rankOf(members []shedkeel.InstanceID, id shedkeel.InstanceID) int {
	return slices.IndexFunc(members, func(member shedkeel.InstanceID) bool { return member.Server() == id.Server() })
}

// checkOpen notes a head that opens while a member was never ready in its
// formation. One that was ready and has gone on is excused: an order to open may
// be carried out after the group was formed anew. Such a head stands still.
func (fleet *fakeFleet) checkOpen(head *fakeServer) {
	model := fleet.engine.Model(ModelOf(head.Member.Group))
	if len(head.list) != model.Size {
		fleet.broken = append(fleet.broken, fmt.Sprintf("%s: %s opens with %d members", fleet.now, head.Member.Group, len(head.list)))
	}
	for _, id := range head.list {
		if member := fleet.reached(id); !fleet.wasReady(id, head.Member.Assignment()) && member.diedAt == 0 {
			fleet.broken = append(fleet.broken, fmt.Sprintf("%s: %s opens while %s has never been ready", fleet.now, head.Member.Group, id))
		}
	}
}

// checkOrder notes an order to open a group of which not all members are listed
// as ready in that formation, in the list that the planner decided on.
func (fleet *fakeFleet) checkOrder(order shedkeel.GroupOrder) {
	if order.Kind != shedkeel.OrderOpen {
		return
	}
	ready := 0
	for _, instance := range fleet.past[max(len(fleet.past)-1-fleet.lag, 0)] {
		member := instance.Member
		if member != nil && member.Assignment() == (shedkeel.Assignment{Group: order.Group, Epoch: order.Epoch}) && member.State == shedkeel.MemberReady {
			ready++
		}
	}
	if size := fleet.engine.Model(ModelOf(order.Group)).Size; ready != size {
		fleet.broken = append(fleet.broken, fmt.Sprintf("%s: %s is ordered to open with %d of %d members ready", fleet.now, order.Group, ready, size))
	}
}

// tick lets time pass at the engines.
func (fleet *fakeFleet) tick() {
	fleet.now += testStep
	for _, late := range fleet.late {
		if late.at <= fleet.now && fleet.reached(late.order.To).diedAt == 0 {
			fleet.carryOut(late.order)
		}
	}
	fleet.late = slices.DeleteFunc(fleet.late, func(late lateOrder) bool { return late.at <= fleet.now })
	for _, server := range fleet.servers {
		if server.diedAt != 0 {
			continue
		}
		if server.loadAt != 0 && fleet.now >= server.loadAt {
			server.Staged, server.loadAt = []shedkeel.ModelID{server.loadsTo}, 0
		}
		if server.Member == nil {
			continue
		}
		if server.Member.State == shedkeel.MemberJoining && fleet.now >= server.readyAt {
			server.Member.State = shedkeel.MemberReady
			server.readied[server.Member.Assignment()] = true
			if server.cold {
				server.Staged = []shedkeel.ModelID{server.last}
			}
		}
		fleet.stall(server)
	}
}

// stall breaks an open group whose member has been missing for five seconds.
func (fleet *fakeFleet) stall(head *fakeServer) {
	if head.Member.State != shedkeel.MemberOpen {
		head.stalled = 0
		return
	}
	whole := !slices.ContainsFunc(head.list, func(id shedkeel.InstanceID) bool {
		member := fleet.reached(id)
		return member.diedAt != 0 || member.Member == nil || member.Member.Epoch != head.Member.Epoch
	})
	switch {
	case whole:
		head.stalled = 0
	case head.stalled == 0:
		head.stalled = fleet.now
	case fleet.now-head.stalled > 5*time.Second:
		head.Member.State = shedkeel.MemberBroken
	}
}

// give hands a plan's orders to the servers; some answers are lost, and their
// orders carried out late or not at all.
func (fleet *fakeFleet) give(planner *Planner, actions []Action) {
	for _, action := range actions {
		fleet.orders[action.Order.Kind]++
		fleet.checkOrder(action.Order)
		server := fleet.reached(action.Order.To)
		switch {
		case server.diedAt != 0, fleet.now < server.mute, server.cutOff(fleet.now):
			planner.Unanswered(action.Order, fleet.now)
		case fleet.random.Float64() < fleet.loses:
			planner.Unanswered(action.Order, fleet.now)
			after := 2*time.Second + time.Duration(fleet.random.Int64N(int64(10*time.Second)))
			fleet.late = append(fleet.late, lateOrder{action.Order, fleet.now + after})
		case fleet.carryOut(action.Order):
			planner.Confirm(action.Order)
		default:
			planner.Refuse(action.Order)
		}
	}
}

// serving returns how many groups of each model are open and whole.
func (fleet *fakeFleet) serving() map[shedkeel.ModelID]int {
	counts := map[shedkeel.ModelID]int{}
	for _, server := range fleet.servers {
		if server.diedAt == 0 && server.Member != nil && server.Member.State == shedkeel.MemberOpen && server.stalled == 0 {
			counts[ModelOf(server.Member.Group)]++
		}
	}
	return counts
}

const testStep = 50 * time.Millisecond

// play runs planner and fleet for a time.
func (fleet *fakeFleet) play(planner *Planner, length time.Duration, traffic bool) {
	for end := fleet.now + length; fleet.now < end; {
		fleet.give(planner, planner.Plan(Input{Now: fleet.now, Engine: fleet.engine, Instances: fleet.instances(), Dead: fleet.dead(), Demand: fleet.demand, Traffic: traffic}))
		fleet.tick()
	}
}

// newPlanner returns the planner of a term.
func newPlanner(term uint64) *Planner {
	epochs := uint64(0)
	return &Planner{NextEpoch: func() uint64 {
		epochs++
		return term<<20 + epochs
	}}
}

// kill ends a random server that lives, one of a group if there is any.
func (fleet *fakeFleet) kill() {
	members := slices.DeleteFunc(fleet.living(), func(id shedkeel.InstanceID) bool { return fleet.servers[id].Member == nil })
	if len(members) > 0 {
		fleet.servers[members[fleet.random.IntN(len(members))]].diedAt = fleet.now
	}
}

// mishap ends a member and adds an empty server. One time in so many it returns
// another planner, of the next term, that knows nothing of what was ordered.
func (fleet *fakeFleet) mishap(planner *Planner, times int) *Planner {
	fleet.kill()
	fleet.add(shedkeel.DomainID(fmt.Sprintf("d%d", fleet.random.IntN(6))))
	if fleet.random.IntN(times) != 0 {
		return planner
	}
	fleet.terms++
	return newPlanner(1 + fleet.terms)
}
