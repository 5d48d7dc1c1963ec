package quota

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRoom(t *testing.T) {
	room := &Room{Limit: 10}
	assert.Assert(t, room.Reserve(6))
	assert.Assert(t, !room.Reserve(5))
	assert.Assert(t, room.Reserve(4))
	room.Release(6)
	assert.Assert(t, room.Reserve(6))
	var none *Room
	assert.Assert(t, none.Reserve(1<<40))
	none.Release(1 << 40)
}

func TestRoomAtOnce(t *testing.T) {
	room := &Room{Limit: 10}
	var users sync.WaitGroup
	for range 8 {
		users.Go(func() {
			for range 1000 {
				if room.Reserve(3) {
					room.Release(3)
				}
			}
		})
	}
	users.Wait()
	assert.Assert(t, room.Reserve(10))
}
