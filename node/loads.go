package node

import (
	"context"
	"encoding/json"
	"log/slog"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/event"
)

// loadsPrefix is the key prefix of the records of model loads in progress; the ID of the
// service follows.
const loadsPrefix = "shedkeel/loads/"

// storeLoads stores which servers of a service load which models, for the planner of the
// next leader, unless the record that this node has last read or written contains all these
// loads. It writes them only while nobody else has written them and no other leader was elected. It logs an error; the
// next planning round tries again.
func (controller *controller) storeLoads(ctx context.Context, id shedkeel.ServiceID, loading map[shedkeel.InstanceID]shedkeel.ModelID) {
	node := controller.node
	isIncomplete := false
	for instance, model := range loading {
		isIncomplete = isIncomplete || controller.storedLoads[id][instance] != model
	}
	if !isIncomplete {
		return // the stored record may contain loads that have ended; a planner drops these
	}
	value, err := json.Marshal(loading)
	if err != nil {
		return // does not happen: a map of strings can always be encoded
	}
	key := loadsPrefix + string(id)
	stored, lead := node.mirror.Get(key), node.mirror.Get(leaderKey)
	// If the key-value service does the write late, another write or leader may have come first.
	written, err := node.Store.Commit(ctx, shedkeel.Transaction{
		If:  []shedkeel.Condition{{Key: key, Revision: stored.Revision}, {Key: leaderKey, Revision: lead.Revision}},
		Put: []shedkeel.Put{{Key: key, Value: value}},
	})
	if err != nil {
		node.Log.Write(event.LoadsWriteFailed, slog.String("error", err.Error()))
		return
	}
	node.mirror.Apply(mirrorUpdate(shedkeel.Record{Key: key, Value: value, Revision: written}))
	controller.storedLoads[id] = loading
}
