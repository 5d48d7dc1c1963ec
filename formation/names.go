package formation

import (
	"fmt"
	"strconv"
	"strings"

	"shedkeel.org/shedkeel"
)

// A group's name tells its model, its domain and an index, so that a planner
// that has just started knows what a group is for.

func groupName(model shedkeel.ModelID, domain shedkeel.DomainID, index int) shedkeel.GroupID {
	return shedkeel.GroupID(fmt.Sprintf("%s/%s/%d", model, domain, index))
}

// parseGroup returns the model and the domain of a name, or "" if it is none
// that groupName made.
func parseGroup(id shedkeel.GroupID) (shedkeel.ModelID, shedkeel.DomainID) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 {
		return "", ""
	}
	if _, err := strconv.Atoi(parts[2]); err != nil {
		return "", ""
	}
	return shedkeel.ModelID(parts[0]), shedkeel.DomainID(parts[1])
}

// DomainOf returns the domain that a group's name tells, or "" if it is foreign.
func DomainOf(id shedkeel.GroupID) shedkeel.DomainID {
	_, domain := parseGroup(id)
	return domain
}

// standbyPart stands in the names of standbys, which parseGroup takes for
// foreign.
const standbyPart = "standby"

// standbyName names the formation in which a spare waits by itself.
func standbyName(model shedkeel.ModelID, spare shedkeel.InstanceID) shedkeel.GroupID {
	return shedkeel.GroupID(fmt.Sprintf("%s/%s/%s", model, standbyPart, spare))
}

// isStandby reports whether the formation is that of a waiting spare.
func isStandby(id shedkeel.GroupID) bool {
	parts := strings.Split(string(id), "/")
	return len(parts) == 3 && parts[1] == standbyPart
}

// IsFree reports whether a backend server is in no group: it waits alone, or is
// in nothing.
func IsFree(instance *shedkeel.Instance) bool {
	return instance.Member == nil || isStandby(instance.Member.Group)
}

// ModelOf returns the model that a group serves, or "" if its name is foreign.
func ModelOf(id shedkeel.GroupID) shedkeel.ModelID {
	model, _ := parseGroup(id)
	return model
}
