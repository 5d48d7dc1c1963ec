package node

import (
	"context"
	"encoding/json"
	"log/slog"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

// loadsPrefix is below where the loads under way stand, by service.
const loadsPrefix = "shedkeel/loads/"

// keepLoads writes which loads are under way, for the next planner.
func (controller *controller) keepLoads(ctx context.Context, id shedkeel.ServiceID, loading map[shedkeel.InstanceID]shedkeel.ModelID) {
	node := controller.node
	added := false
	for instance, model := range loading {
		added = added || controller.kept[id][instance] != model
	}
	if !added {
		return // one that has ended does no harm to the next planner
	}
	value, err := json.Marshal(loading)
	if err != nil {
		return // a map of strings can always be written
	}
	_, err = node.Store.Commit(ctx, shedkeel.Change{Put: []shedkeel.Put{{Key: loadsPrefix + string(id), Value: value}}})
	if err != nil {
		node.Log.Write(event.LoadsNotKept, slog.String("error", err.Error()))
		return
	}
	controller.kept[id] = loading
}
