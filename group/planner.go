// Package group decides which boxes form which replica groups of one
// availability zone: it forms, mends, drains and breaks up groups, and says
// which orders the agreed placement calls for.
package group

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

const (
	// DefaultMissAfter is how long after its last answer a box is silent.
	DefaultMissAfter = 3 * time.Second
	// DefaultQuiet is for how long a group that takes no new requests must
	// report that it runs none before it is changed: longer than entries
	// take to learn of it, and than engines lag with their reports.
	DefaultQuiet = 8 * time.Second
)

// Planner is the planner that shedkeel runs. Besides what the policy's table
// says it holds to four rules: a box that lost its state is replaced at once
// by one that has the weights; a silent box is given the table's patience while
// its substitute loads; a leaving box is replaced only when its substitute has
// the weights; and nothing is rebuilt while most of a fabric domain is gone.
type Planner struct {
	MissAfter time.Duration // zero: DefaultMissAfter
	Quiet     time.Duration // zero: DefaultQuiet

	silent  map[shedkeel.BoxID]time.Duration // since when
	closing map[shedkeel.GroupID]*closing    // groups that take no new requests
}

// closing is what is known of a group that takes no new requests.
type closing struct {
	since time.Duration // it takes none
	idle  time.Duration // since then it reports that it runs none; negative: it does not
}

// Plan decides for one availability zone at one time.
func (planner *Planner) Plan(input shedkeel.PlanInput) shedkeel.PlanOutput {
	planner.watchSilence(input)
	round := newRound(planner, input)
	round.watchClosing()
	round.retire()
	round.mend()
	if input.Table.Consolidate {
		round.consolidate()
	}
	round.form()
	output := round.output()
	output.Orders = append(Reconcile(input), round.prefetches()...)
	return output
}

func (planner *Planner) missAfter() time.Duration {
	if planner.MissAfter == 0 {
		return DefaultMissAfter
	}
	return planner.MissAfter
}

// watchSilence notes since when each box is silent.
func (planner *Planner) watchSilence(input shedkeel.PlanInput) {
	if planner.silent == nil {
		planner.silent = map[shedkeel.BoxID]time.Duration{}
	}
	for id := range planner.silent {
		if _, listed := input.Boxes[id]; !listed {
			delete(planner.silent, id)
		}
	}
	for id, view := range input.Boxes {
		if planner.answers(view, input.Now) {
			delete(planner.silent, id)
			continue
		}
		if _, known := planner.silent[id]; !known {
			planner.silent[id] = input.Now
		}
	}
}

func (planner *Planner) answers(view shedkeel.BoxView, now time.Duration) bool {
	return view.Seen >= 0 && now-view.Seen <= planner.missAfter()
}

// condition is what is wrong with a member.
type condition int

const (
	conditionFine    condition = iota
	conditionLeaving           // works, but will go
	conditionSilent            // may come back as it was
	conditionLost              // came back without its state, or is off the list
)

// round is one run of Plan.
type round struct {
	planner  *Planner
	input    shedkeel.PlanInput
	next     shedkeel.Placement
	ids      []shedkeel.BoxID // of all boxes, sorted
	taken    map[shedkeel.BoxID]bool
	drained  map[shedkeel.BoxID]bool
	free     map[shedkeel.DomainID][]shedkeel.BoxView // usable, by name
	dark     map[shedkeel.DomainID]bool
	warming  map[shedkeel.BoxID]shedkeel.ServiceID
	short    []shortage
	changed  bool
	decision []shedkeel.Decision
}

// shortage is a group that could not be mended.
type shortage struct {
	group shedkeel.GroupID
	bad   []int // places of its members that must be replaced
}

func newRound(planner *Planner, input shedkeel.PlanInput) *round {
	round := &round{
		planner: planner,
		input:   input,
		next:    input.Placement.Clone(),
		ids:     slices.Sorted(maps.Keys(input.Boxes)),
		drained: map[shedkeel.BoxID]bool{},
		dark:    map[shedkeel.DomainID]bool{},
		warming: map[shedkeel.BoxID]shedkeel.ServiceID{},
	}
	for _, box := range input.Config.Drains {
		round.drained[box] = true
	}
	round.findDark()
	round.findFree()
	return round
}

// findDark finds the fabric domains of which so much is silent that the cause
// is the domain and not its boxes.
func (round *round) findDark() {
	total := map[shedkeel.DomainID]int{}
	silent := map[shedkeel.DomainID]int{}
	for id, view := range round.input.Boxes {
		total[view.Box.Domain]++
		if _, gone := round.planner.silent[id]; gone {
			silent[view.Box.Domain]++
		}
	}
	fraction := round.input.Table.StormFraction
	for domain, count := range total {
		if fraction > 0 && silent[domain] > 1 && float64(silent[domain]) >= fraction*float64(count) {
			round.dark[domain] = true
		}
	}
}

func (round *round) findFree() {
	round.taken = make(map[shedkeel.BoxID]bool, len(round.ids))
	round.free = map[shedkeel.DomainID][]shedkeel.BoxView{}
	for _, group := range round.next.Groups {
		for _, member := range group.Members {
			round.taken[member.Box] = true
		}
	}
	for _, id := range round.ids {
		view := round.input.Boxes[id]
		if !round.taken[id] && round.usable(view) {
			round.free[view.Box.Domain] = append(round.free[view.Box.Domain], view)
		}
	}
}

func (round *round) usable(view shedkeel.BoxView) bool {
	return round.planner.answers(view, round.input.Now) && !round.leaving(view)
}

func (round *round) leaving(view shedkeel.BoxView) bool {
	return view.Box.Leaving || view.State.Leaving || round.drained[view.Box.ID]
}

func (round *round) condition(member shedkeel.Member) condition {
	view, listed := round.input.Boxes[member.Box]
	switch {
	case !listed:
		return conditionLost
	case !round.planner.answers(view, round.input.Now):
		return conditionSilent
	case view.State.Boot != member.Boot:
		return conditionLost
	case round.leaving(view):
		return conditionLeaving
	}
	return conditionFine
}

// Share returns how many of a service's groups one of its zones is to hold.
func Share(service shedkeel.Service, zone shedkeel.ZoneID) int {
	zones := slices.Clone(service.Zones)
	slices.Sort(zones)
	place := slices.Index(zones, zone)
	if place < 0 || service.Kind != shedkeel.KindModel {
		return 0
	}
	share := service.Groups / len(zones)
	if place < service.Groups%len(zones) {
		share++
	}
	return share
}

// retire drains the groups that no service wants and drops those that are done.
func (round *round) retire() {
	kept := map[shedkeel.ServiceID]int{}
	var groups []shedkeel.Group
	for _, group := range round.next.Groups {
		service := round.input.Config.Service(group.Service)
		wanted := service != nil && kept[group.Service] < Share(*service, round.input.Zone) && len(group.Members) == service.Members
		if wanted && !group.Draining {
			kept[group.Service]++
			groups = append(groups, group)
			continue
		}
		if group.Draining && round.closed(group) {
			round.changed = true
			round.decide(group.ID, "", "drop", "it was draining and runs nothing any more")
			continue
		}
		if !group.Draining {
			group.Draining = true
			round.changed = true
			round.decide(group.ID, "", "drain", "no service wants it any more")
		}
		groups = append(groups, group)
	}
	round.next.Groups = groups
	round.findFree()
}

// watchClosing notes since when groups take no new requests and run none.
func (round *round) watchClosing() {
	planner := round.planner
	if planner.closing == nil {
		planner.closing = map[shedkeel.GroupID]*closing{}
	}
	seen := map[shedkeel.GroupID]bool{}
	for _, group := range round.next.Groups {
		if !group.Draining && !round.hasLeaving(group) {
			continue
		}
		seen[group.ID] = true
		known := planner.closing[group.ID]
		if known == nil {
			known = &closing{since: round.input.Now, idle: -1}
			planner.closing[group.ID] = known
		}
		switch {
		case !round.idle(group):
			known.idle = -1
		case known.idle < 0:
			known.idle = round.input.Now
		}
	}
	maps.DeleteFunc(planner.closing, func(id shedkeel.GroupID, _ *closing) bool { return !seen[id] })
}

func (round *round) hasLeaving(group shedkeel.Group) bool {
	return slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) == conditionLeaving })
}

// closed reports whether a group that takes no new requests has none in
// flight: it has reported so for long enough, or no request lasts as long.
func (round *round) closed(group shedkeel.Group) bool {
	known := round.planner.closing[group.ID]
	if known == nil {
		return false
	}
	quiet := round.planner.Quiet
	if quiet == 0 {
		quiet = DefaultQuiet
	}
	longest := quiet
	if service := round.input.Config.Service(group.Service); service != nil {
		longest += time.Duration(service.Timeout)
	}
	now := round.input.Now
	return known.idle >= 0 && now-known.idle >= quiet || now-known.since >= longest
}

// idle reports whether the members that answer report that they run nothing.
func (round *round) idle(group shedkeel.Group) bool {
	for _, member := range group.Members {
		if round.condition(member) == conditionLost || round.condition(member) == conditionSilent {
			continue
		}
		state := round.input.Boxes[member.Box].State
		if state.Running > 0 || state.Queued > 0 {
			return false
		}
	}
	return true
}

// warmFor has substitutes load for members that will go.
func (round *round) warmFor(group *shedkeel.Group, leaving []int) {
	for index, substitute := range round.substitutes(group, len(leaving)) {
		if warm(substitute, group.Service) {
			continue
		}
		round.warming[substitute.Box.ID] = group.Service
		round.decide(group.ID, group.Members[leaving[index]].Box, "prefetch", "it is leaving; box "+string(substitute.Box.ID)+" loads before the swap")
	}
}

// mend replaces the members that must be replaced, where it can.
func (round *round) mend() {
	for index := range round.next.Groups {
		group := &round.next.Groups[index]
		if group.Draining {
			continue
		}
		if round.dark[group.Domain] {
			if slices.ContainsFunc(group.Members, func(member shedkeel.Member) bool { return round.condition(member) != conditionFine }) {
				round.decide(group.ID, "", "wait", "most of its fabric domain is silent; its return would undo a rebuild")
			}
			continue
		}
		round.mendGroup(group)
	}
}

func (round *round) mendGroup(group *shedkeel.Group) {
	must, leaving := round.badMembers(group)
	if len(must) == 0 && len(leaving) == 0 {
		return
	}
	if len(must) == 0 && !round.closed(*group) {
		round.warmFor(group, leaving)
		return
	}
	substitutes := round.substitutes(group, len(must)+len(leaving))
	if len(substitutes) < len(must) {
		round.short = append(round.short, shortage{group: group.ID, bad: must})
		round.decide(group.ID, "", "short", fmt.Sprintf("%d members are missing and %d boxes are free in domain %q", len(must), len(substitutes), group.Domain))
		return
	}
	replace := must
	for index, place := range leaving {
		if len(must)+index >= len(substitutes) {
			break
		}
		substitute := substitutes[len(must)+index]
		if len(must) == 0 && !warm(substitute, group.Service) {
			round.warming[substitute.Box.ID] = group.Service
			continue
		}
		replace = append(replace, place)
	}
	if len(replace) > 0 {
		round.swap(group, replace, substitutes)
	}
}

// badMembers returns the places that must be replaced now and those that are
// leaving. Members that are silent within the table's patience are in neither;
// a substitute is warmed for them meanwhile.
func (round *round) badMembers(group *shedkeel.Group) (must, leaving []int) {
	for place, member := range group.Members {
		switch round.condition(member) {
		case conditionLost:
			must = append(must, place)
		case conditionLeaving:
			leaving = append(leaving, place)
		case conditionSilent:
			if round.patient(group, member) {
				round.decide(group.ID, member.Box, "wait", "it has been silent for less than the patience of the policy")
				continue
			}
			must = append(must, place)
		case conditionFine:
		}
	}
	return must, leaving
}

// patient reports whether a silent member is waited for. Its substitute loads
// meanwhile; once that has the weights, a swap costs little and waiting is
// rarely worth it.
func (round *round) patient(group *shedkeel.Group, member shedkeel.Member) bool {
	patience := round.input.Table.Patience
	for _, substitute := range round.substitutes(group, 1) {
		if warm(substitute, group.Service) {
			patience = round.input.Table.WarmPatience
			continue
		}
		round.warming[substitute.Box.ID] = group.Service
	}
	return round.input.Now-round.planner.silent[member.Box] < patience
}

// substitutes returns up to count free boxes for the group, those that have
// its weights first. The boxes that it lost but that answer again count as
// free, so that they come back when nothing better is there.
func (round *round) substitutes(group *shedkeel.Group, count int) []shedkeel.BoxView {
	candidates := slices.Clone(round.free[group.Domain])
	if group.Domain == "" || round.input.Table.CrossDomain && len(candidates) < count {
		candidates = round.allFree()
	}
	for _, member := range group.Members {
		view, listed := round.input.Boxes[member.Box]
		if listed && round.condition(member) == conditionLost && round.usable(view) {
			candidates = append(candidates, view)
		}
	}
	sortWarmFirst(candidates, group.Service)
	return candidates[:min(count, len(candidates))]
}

func (round *round) allFree() []shedkeel.BoxView {
	var all []shedkeel.BoxView
	for _, domain := range slices.Sorted(maps.Keys(round.free)) {
		all = append(all, round.free[domain]...)
	}
	return all
}

// readiness orders boxes by how soon they can serve: weights loaded, weights
// loading, anything else.
func readiness(view shedkeel.BoxView, service shedkeel.ServiceID) int {
	switch {
	case warm(view, service):
		return 0
	case view.State.Weights == service && view.State.Phase == shedkeel.PhaseLoading:
		return 1
	}
	return 2
}

func sortWarmFirst(views []shedkeel.BoxView, service shedkeel.ServiceID) {
	slices.SortStableFunc(views, func(a, b shedkeel.BoxView) int {
		return cmp.Compare(readiness(a, service), readiness(b, service))
	})
}

func warm(view shedkeel.BoxView, service shedkeel.ServiceID) bool {
	return view.State.Weights == service && (view.State.Phase == shedkeel.PhaseWarm || view.State.Phase == shedkeel.PhaseReady)
}

// swap puts substitutes in the places and gives the group a new epoch.
func (round *round) swap(group *shedkeel.Group, places []int, substitutes []shedkeel.BoxView) {
	for index, place := range places {
		substitute := substitutes[index]
		round.decide(group.ID, group.Members[place].Box, "replace", "by box "+string(substitute.Box.ID))
		group.Members[place] = memberOf(substitute)
		if substitute.Box.Domain != group.Domain {
			group.Domain = ""
		}
	}
	group.Epoch = round.epoch()
	round.changed = true
	round.findFree()
}

func memberOf(view shedkeel.BoxView) shedkeel.Member {
	return shedkeel.Member{Box: view.Box.ID, Address: view.Box.Address, Boot: view.State.Boot}
}

func (round *round) epoch() uint64 {
	round.next.NextEpoch = max(round.next.NextEpoch, 1)
	epoch := round.next.NextEpoch
	round.next.NextEpoch++
	return epoch
}

// consolidate breaks up one short group of each service and domain to mend the
// others: one group down in place of several.
func (round *round) consolidate() {
	for {
		donor, receiver := round.donor()
		if donor == nil {
			return
		}
		round.decide(donor.ID, "", "break up", "its sound boxes mend group "+string(receiver.ID))
		id := donor.ID
		round.next.Groups = slices.DeleteFunc(round.next.Groups, func(group shedkeel.Group) bool { return group.ID == id })
		round.changed = true
		round.findFree()
		round.mendShort(id)
	}
}

// donor returns the short group with the most members missing, if its sound
// members would mend another short one of its service and domain.
func (round *round) donor() (donor, receiver *shedkeel.Group) {
	worst := slices.Clone(round.short)
	slices.SortStableFunc(worst, func(a, b shortage) int { return cmp.Compare(len(b.bad), len(a.bad)) })
	for _, from := range worst {
		donor := round.find(from.group)
		for _, to := range slices.Backward(worst) {
			receiver := round.find(to.group)
			if from.group == to.group || donor == nil || receiver == nil {
				continue
			}
			alike := donor.Service == receiver.Service && donor.Domain == receiver.Domain
			sound := len(donor.Members) - len(from.bad)
			if alike && sound+len(round.free[receiver.Domain]) >= len(to.bad) {
				return donor, receiver
			}
		}
	}
	return nil, nil
}

func (round *round) find(id shedkeel.GroupID) *shedkeel.Group {
	for index := range round.next.Groups {
		if round.next.Groups[index].ID == id {
			return &round.next.Groups[index]
		}
	}
	return nil
}

// mendShort tries the short groups again after one was broken up.
func (round *round) mendShort(broken shedkeel.GroupID) {
	short := round.short
	round.short = nil
	for _, shortage := range short {
		group := round.find(shortage.group)
		if shortage.group != broken && group != nil {
			round.mendGroup(group)
		}
	}
}

// form makes the groups that services lack out of free boxes. Each is made
// where it leaves the fewest boxes over.
func (round *round) form() {
	for _, service := range round.input.Config.Services {
		count := 0
		for _, group := range round.next.Groups {
			if group.Service == service.ID && !group.Draining {
				count++
			}
		}
		for ; count < Share(service, round.input.Zone); count++ {
			if !round.formOne(service) {
				break
			}
		}
	}
}

func (round *round) formOne(service shedkeel.Service) bool {
	best := shedkeel.DomainID("")
	found := false
	for _, domain := range slices.Sorted(maps.Keys(round.free)) {
		over := len(round.free[domain]) - round.input.Table.Spares - service.Members
		if over < 0 || round.dark[domain] {
			continue
		}
		if !found || len(round.free[domain]) < len(round.free[best]) {
			best = domain
			found = true
		}
	}
	boxes := slices.Clone(round.free[best])
	if !found {
		boxes = round.allFree()
		best = ""
		if !round.input.Table.CrossDomain || len(boxes) < service.Members+round.input.Table.Spares {
			return false
		}
	}
	sortWarmFirst(boxes, service.ID)
	group := shedkeel.Group{Service: service.ID, Domain: best, Epoch: round.epoch()}
	for _, view := range boxes[:service.Members] {
		group.Members = append(group.Members, memberOf(view))
	}
	group.ID = shedkeel.GroupID(fmt.Sprintf("%s-%d", round.input.Zone, group.Epoch))
	round.next.Groups = append(round.next.Groups, group)
	round.changed = true
	round.decide(group.ID, "", "form", "service "+string(service.ID)+" has too few groups")
	round.findFree()
	return true
}

// prefetches returns the orders that load weights ahead of need, for the boxes
// of the rules above and, if the table says so, for all spares.
func (round *round) prefetches() []shedkeel.Order {
	if round.input.Table.WarmSpares {
		for _, domain := range slices.Sorted(maps.Keys(round.free)) {
			service := round.mainService(domain)
			for _, view := range round.free[domain] {
				if _, already := round.warming[view.Box.ID]; !already && service != "" {
					round.warming[view.Box.ID] = service
				}
			}
		}
	}
	var orders []shedkeel.Order
	for _, id := range slices.Sorted(maps.Keys(round.warming)) {
		view := round.input.Boxes[id]
		service := round.input.Config.Service(round.warming[id])
		if service == nil || view.State.Weights == service.ID || view.State.Phase == shedkeel.PhaseLoading {
			continue
		}
		orders = append(orders, shedkeel.Order{Kind: shedkeel.OrderPrefetch, Box: id, Address: view.Box.Address, Service: service.ID, Unfenced: service.Unfenced})
	}
	return orders
}

// mainService returns the service that has most groups in the domain.
func (round *round) mainService(domain shedkeel.DomainID) shedkeel.ServiceID {
	counts := map[shedkeel.ServiceID]int{}
	for _, group := range round.next.Groups {
		if group.Domain == domain {
			counts[group.Service]++
		}
	}
	best := shedkeel.ServiceID("")
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		if best == "" || counts[service] > counts[best] {
			best = service
		}
	}
	return best
}

func (round *round) decide(group shedkeel.GroupID, box shedkeel.BoxID, action, reason string) {
	round.decision = append(round.decision, shedkeel.Decision{Group: group, Box: box, Action: action, Reason: reason})
}

func (round *round) output() shedkeel.PlanOutput {
	return shedkeel.PlanOutput{Changed: round.changed, Placement: round.next, Decisions: round.decision}
}
