package node

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// subscriberTime is for how long a node counts that has asked this one.
const subscriberTime = 5 * time.Second

// subscribers are the nodes that have asked this one lately. The zero value has none.
type subscribers struct {
	mutex sync.Mutex
	asked map[shedkeel.NodeID]time.Duration // when a node asked last
}

// hear notes that a node has asked.
func (subscribers *subscribers) hear(id shedkeel.NodeID, now time.Duration) {
	if id == "" {
		return
	}
	subscribers.mutex.Lock()
	defer subscribers.mutex.Unlock()
	if subscribers.asked == nil {
		subscribers.asked = map[shedkeel.NodeID]time.Duration{}
	}
	subscribers.asked[id] = now
}

// count returns how many nodes have asked lately, and this one.
func (subscribers *subscribers) count(now time.Duration) int {
	subscribers.mutex.Lock()
	defer subscribers.mutex.Unlock()
	count := 1
	for id, at := range subscribers.asked {
		if now-at > subscriberTime {
			delete(subscribers.asked, id)
			continue
		}
		count++
	}
	return count
}
