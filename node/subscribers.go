package node

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// subscriberTTL is how long a node counts as a subscriber after its last relay call.
const subscriberTTL = 5 * time.Second

// subscribers are the nodes that asked this node for records, or whether this node has a copy,
// within subscriberTTL. The zero value is empty.
type subscribers struct {
	mutex     sync.Mutex
	lastAsked map[shedkeel.NodeID]time.Duration // when each node last asked
}

// note records that a node asks now. A node without an ID is ignored.
func (subscribers *subscribers) note(id shedkeel.NodeID, now time.Duration) {
	if id == "" {
		return
	}
	subscribers.mutex.Lock()
	defer subscribers.mutex.Unlock()
	if subscribers.lastAsked == nil {
		subscribers.lastAsked = map[shedkeel.NodeID]time.Duration{}
	}
	subscribers.lastAsked[id] = now
}

// count returns the number of nodes that asked within subscriberTTL, plus 1 for this node,
// because the result serves as an estimate of the fleet's size (see knownNodeCount). count
// removes nodes that have not asked within that time.
func (subscribers *subscribers) count(now time.Duration) int {
	subscribers.mutex.Lock()
	defer subscribers.mutex.Unlock()
	count := 1
	for id, at := range subscribers.lastAsked {
		if now-at > subscriberTTL {
			delete(subscribers.lastAsked, id)
			continue
		}
		count++
	}
	return count
}
