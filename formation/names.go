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

func parseGroup(id shedkeel.GroupID) (shedkeel.ModelID, shedkeel.DomainID, int) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 {
		return "", "", 0
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil {
		return "", "", 0
	}
	return shedkeel.ModelID(parts[0]), shedkeel.DomainID(parts[1]), index
}

// ModelOf returns the model that a group serves, or "" if its name is foreign.
func ModelOf(id shedkeel.GroupID) shedkeel.ModelID {
	model, _, _ := parseGroup(id)
	return model
}
