package formation

import "shedkeel.org/shedkeel"

// DomainUsage counts a domain's backend servers by what they are used for. The counts
// are logged to show why some servers take no requests.
type DomainUsage struct {
	Domain      shedkeel.DomainID
	Serving     map[shedkeel.ModelID]int // listed members of active or forming groups, by the group's model
	Spare       map[shedkeel.ModelID]int // free, by the first model on their hosts
	Loading     int                      // free, loading weights
	Empty       int                      // free, without weights
	Unavailable int                      // draining, dead, or skipped because they left orders unanswered
}

// Usage returns what the servers were used for in the latest plan, by domain.
func (planner *Planner) Usage() []DomainUsage {
	if planner.lastRound == nil {
		return nil
	}
	return planner.lastRound.usage()
}

// usage counts the servers of each domain by what they are used for.
func (round *round) usage() []DomainUsage {
	var found []DomainUsage
	for _, domain := range round.domains {
		usage := DomainUsage{Domain: domain, Serving: map[shedkeel.ModelID]int{}, Spare: map[shedkeel.ModelID]int{}}
		for _, instance := range round.byDomain[domain] {
			round.countInstance(&usage, instance)
		}
		found = append(found, usage)
	}
	return found
}

// countInstance adds an instance to the usage of its domain.
func (round *round) countInstance(usage *DomainUsage, instance *shedkeel.Instance) {
	_, loads := round.planner.loading[instance.ID]
	switch {
	case !round.usable(instance):
		usage.Unavailable++
	case !IsFree(instance) && (round.reserved[instance.ID] || round.inActiveGroup(instance)):
		usage.Serving[ModelOf(instance.Member.Group)]++
	case loads:
		usage.Loading++
	case len(instance.Staged) == 0:
		usage.Empty++
	default:
		usage.Spare[instance.Staged[0]]++
	}
}
