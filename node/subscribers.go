package node

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// subscriberTTL is for how long a node counts that has asked this one.
const subscriberTTL = 5 * time.Second

// subscribers are the nodes that have asked this one lately. The zero value has none.
type subscribers struct {
	mutex     sync.Mutex
	lastAsked map[shedkeel.NodeID]time.Duration // when a node asked last
}

// note notes that a node has asked.
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

// count returns how many nodes have asked lately, and this one.
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
