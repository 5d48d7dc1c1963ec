package formation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
)

// ShortageReason says why a model has fewer groups than its work needs.
type ShortageReason string

// The reasons for a shortage, in the order in which they are checked.
const (
	ShortageNone     ShortageReason = ""
	ShortageForming  ShortageReason = "members join a group of the model"
	ShortageRelease  ShortageReason = "a group of another model is being released for it"
	ShortageLoading  ShortageReason = "hosts load the model's weights"
	ShortageHeld     ShortageReason = "servers are held, since the lost heads of their groups may still serve"
	ShortageServing  ShortageReason = "the servers that could hold a group serve other models"
	ShortageNoServer ShortageReason = "no domain has enough usable servers for a group"
	ShortageUnknown  ShortageReason = "enough servers are free; the planner forms no group of them"
)

// ModelStatus counts a model's groups as of the latest plan.
type ModelStatus struct {
	Model    shedkeel.ModelID
	Standing int // groups that serve (round.serves)
	Forming  int // formations in progress
	Wanted   int // groups that the model's share of the work makes up, at least 1
	Possible int // groups that the usable servers could hold if they all worked for the model
	Prepared int // of the possible groups, those whose members need no load from the weight store
	Held     int // servers that belong to no group that serves, but may not be used in another one yet
	Reason   ShortageReason
	Since    time.Duration // time of the first of the consecutive plans for which Short has the same result
	Without  time.Duration // time of the first of the consecutive plans for which None has the same result
}

// Short reports whether fewer groups stand than wanted.
func (status *ModelStatus) Short() bool { return status.Standing < status.Wanted }

// None reports whether no group stands.
func (status *ModelStatus) None() bool { return status.Standing == 0 }

// Status returns the status of each model as of the latest plan, sorted by ID.
func (planner *Planner) Status() []ModelStatus {
	if planner.lastRound == nil {
		return nil
	}
	return planner.lastRound.status
}

// recordStatus computes the status of each model. Since and Without are kept from the previous round
// while the results that they are about stay the same.
func (round *round) recordStatus() {
	held := round.countHeld()
	for index := range round.input.Engine.Models {
		status := round.modelStatus(&round.input.Engine.Models[index], held)
		status.Since, status.Without = round.input.Now, round.input.Now
		if before := round.planner.lastRound.statusOf(status.Model); before != nil {
			if before.Short() == status.Short() {
				status.Since = before.Since
			}
			if before.None() == status.None() {
				status.Without = before.Without
			}
		}
		round.status = append(round.status, status)
	}
	slices.SortFunc(round.status, func(a, b ModelStatus) int { return cmp.Compare(a.Model, b.Model) })
}

// statusOf returns the status of a model in this round, or nil if there is none.
func (round *round) statusOf(model shedkeel.ModelID) *ModelStatus {
	if round == nil {
		return nil
	}
	for index := range round.status {
		if round.status[index].Model == model {
			return &round.status[index]
		}
	}
	return nil
}

// modelStatus counts the groups of a model. held is the result of countHeld.
func (round *round) modelStatus(model *shedkeel.Model, held int) ModelStatus {
	status := ModelStatus{Model: model.ID, Held: held, Wanted: max(int(math.Floor(round.fairShare(model))), 1)}
	for _, group := range round.groups {
		if group.model == model && group.serving {
			status.Standing++
		}
	}
	for _, forming := range round.planner.forming {
		if forming.model == model.ID {
			status.Forming++
		}
	}
	for _, domain := range round.domains {
		usable := slices.DeleteFunc(slices.Clone(round.byDomain[domain]), func(instance *shedkeel.Instance) bool { return !round.usable(instance) })
		status.Possible += len(usable) / max(model.Size, 1)
		status.Prepared += countPrepared(usable, model.ID) / max(model.Size, 1)
	}
	if status.Short() {
		status.Reason = round.shortageReason(model, &status)
	}
	return status
}

// countHeld counts the usable servers that are held in groups that don't serve.
func (round *round) countHeld() int {
	held := 0
	for index := range round.input.Instances {
		instance := &round.input.Instances[index]
		if round.usable(instance) && !IsFree(instance) && !round.inForming[instance.ID] && !round.groupsByName[instance.Member.Group].serving && round.inActiveGroup(instance) {
			held++
		}
	}
	return held
}

// shortageReason returns the first reason that applies to a model with fewer groups than it needs.
func (round *round) shortageReason(model *shedkeel.Model, status *ModelStatus) ShortageReason {
	loads := false
	for _, loading := range round.planner.loading {
		loads = loads || loading.model == model.ID
	}
	released := false
	for _, reallocation := range round.planner.reallocations {
		released = released || reallocation.to == model.ID
	}
	switch {
	case status.Forming > 0:
		return ShortageForming
	case released:
		return ShortageRelease
	case loads:
		return ShortageLoading
	case status.Possible <= status.Standing:
		return ShortageNoServer
	case status.Held > 0:
		return ShortageHeld
	case round.freeServersSuffice(model):
		return ShortageUnknown
	}
	return ShortageServing
}

// serves reports whether a group can answer requests, as far as the planner knows: its head is
// usable and open, its requests receive events, and no member is known to be lost. A member that is
// merely not listed may work (toleratesUnlisted).
func (round *round) serves(group *observedGroup) bool {
	assignment := group.assignment()
	if group.model == nil || !round.usable(group.head()) || group.headState() != shedkeel.MemberOpen || round.input.Stalled[assignment] {
		return false
	}
	for rank, member := range group.members {
		if member != nil && round.input.Dead[member.ID] || member == nil && round.restarted(round.planner.lastMembers[assignment][rank]) {
			return false
		}
	}
	return true
}
