package formation

import (
	"fmt"
	"strconv"
	"strings"

	"shedkeel.org/shedkeel"
)

// groupName returns the name MODEL/DOMAIN/INDEX. The name contains model and
// domain so that a new planner can read from it which model and domain a group is for.
func groupName(model shedkeel.ModelID, domain shedkeel.DomainID, index int) shedkeel.GroupID {
	return shedkeel.GroupID(fmt.Sprintf("%s/%s/%d", model, domain, index))
}

// parseGroupName returns the model and the domain of a group's name, or "" for both
// if the name does not have the form that groupName makes.
func parseGroupName(id shedkeel.GroupID) (shedkeel.ModelID, shedkeel.DomainID) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 {
		return "", ""
	}
	if _, err := strconv.Atoi(parts[2]); err != nil {
		return "", ""
	}
	return shedkeel.ModelID(parts[0]), shedkeel.DomainID(parts[1])
}

// DomainOf returns the domain in a group's name, or "" if the name does not have
// the form that groupName makes.
func DomainOf(id shedkeel.GroupID) shedkeel.DomainID {
	_, domain := parseGroupName(id)
	return domain
}

// standbyPart takes the place of the domain in the names of standby formations.
// These names end in an instance ID instead of an index, so parseGroupName rejects them,
// unless the instance ID is a number.
const standbyPart = "standby"

// standbyName returns the name of the formation in which a spare is on standby.
func standbyName(model shedkeel.ModelID, spare shedkeel.InstanceID) shedkeel.GroupID {
	return shedkeel.GroupID(fmt.Sprintf("%s/%s/%s", model, standbyPart, spare))
}

// isStandby reports whether the name is that of a spare's standby formation.
func isStandby(id shedkeel.GroupID) bool {
	parts := strings.Split(string(id), "/")
	return len(parts) == 3 && parts[1] == standbyPart
}

// formationModel returns the model in the name of a group or of a standby formation.
func formationModel(id shedkeel.GroupID) shedkeel.ModelID {
	model, _, _ := strings.Cut(string(id), "/")
	return shedkeel.ModelID(model)
}

// IsFree reports whether a backend server is in no group: it is on standby or has
// no membership.
func IsFree(instance *shedkeel.Instance) bool {
	return instance.Member == nil || isStandby(instance.Member.Group)
}

// ModelOf returns the model in a group's name, or "" if the name does not have the
// form that groupName makes.
func ModelOf(id shedkeel.GroupID) shedkeel.ModelID {
	model, _ := parseGroupName(id)
	return model
}
