package formation

import "shedkeel.org/shedkeel"

// DomainUsage is what the backend servers of a domain are used for, so that
// logs can tell why some serve nobody.
type DomainUsage struct {
	Domain  shedkeel.DomainID
	Serving map[shedkeel.ModelID]int // in groups that stand or are forming
	Spare   map[shedkeel.ModelID]int // free, by the model on their hosts
	Loading int                      // free and loading weights
	Empty   int                      // free without weights
	Lost    int                      // drain, are dead or leave orders unanswered
}

// Usage returns what the servers were used for in the last plan, by domain.
func (planner *Planner) Usage() []DomainUsage {
	if planner.last == nil {
		return nil
	}
	return planner.last.usage()
}

// usage sums up the round.
func (round *round) usage() []DomainUsage {
	var found []DomainUsage
	for _, domain := range round.domains {
		usage := DomainUsage{Domain: domain, Serving: map[shedkeel.ModelID]int{}, Spare: map[shedkeel.ModelID]int{}}
		for _, instance := range round.byDomain[domain] {
			round.count(&usage, instance)
		}
		found = append(found, usage)
	}
	return found
}

func (round *round) count(domain *DomainUsage, instance *shedkeel.Instance) {
	_, loads := round.planner.loading[instance.ID]
	switch {
	case !round.usable(instance):
		domain.Lost++
	case !IsFree(instance) && (round.used[instance.ID] || round.inStandingGroup(instance)):
		domain.Serving[ModelOf(instance.Member.Group)]++
	case loads:
		domain.Loading++
	case len(instance.Staged) == 0:
		domain.Empty++
	default:
		domain.Spare[instance.Staged[0]]++
	}
}
