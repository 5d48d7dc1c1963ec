package node

import (
	"sync"
	"time"

	"shedkeel.org/shedkeel"
)

// askerTime is for how long a node counts that has asked this one.
const askerTime = 5 * time.Second

// askers are the nodes that have asked this one lately. The zero value has none.
type askers struct {
	mutex sync.Mutex
	asked map[shedkeel.NodeID]time.Duration // when a node asked last
}

// hear notes that a node has asked.
func (askers *askers) hear(id shedkeel.NodeID, now time.Duration) {
	if id == "" {
		return
	}
	askers.mutex.Lock()
	defer askers.mutex.Unlock()
	if askers.asked == nil {
		askers.asked = map[shedkeel.NodeID]time.Duration{}
	}
	askers.asked[id] = now
}

// count returns how many nodes have asked lately, and this one.
func (askers *askers) count(now time.Duration) int {
	askers.mutex.Lock()
	defer askers.mutex.Unlock()
	count := 1
	for id, at := range askers.asked {
		if now-at > askerTime {
			delete(askers.asked, id)
			continue
		}
		count++
	}
	return count
}
