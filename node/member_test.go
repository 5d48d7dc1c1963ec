package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// TestListedByFleetSize has a node find out how large its fleet is: in a small
// one its record goes over to a lease that ends sooner.
func TestListedByFleetSize(t *testing.T) {
	cases := map[string]struct {
		nodes int
		ttl   time.Duration
		lease shedkeel.LeaseID // that the record goes with in the end
	}{
		"none is known yet": {0, longTTL, 1},
		"a small fleet":     {9, shortTTL, 2},
		"a large fleet":     {58, longTTL, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node, _ := newTestNode(t)
			var lease shedkeel.LeaseID
			store := &leaseStore{renewed: map[shedkeel.LeaseID]int{}, commit: func(change shedkeel.Change) (int64, error) {
				lease = change.Put[0].Lease
				return 2, nil
			}}
			node.Store = store
			assert.Assert(t, node.member.step(t.Context()))
			assert.Equal(t, node.member.lease.ttl, longTTL, "it knows no other node yet")
			node.fleet.nodes = map[string]nodeRecord{}
			for number := range test.nodes {
				node.fleet.nodes[fmt.Sprint(number)] = nodeRecord{}
			}
			for range 3 {
				assert.Assert(t, node.member.step(t.Context()))
			}
			assert.Equal(t, node.member.lease.ttl, test.ttl)
			assert.Equal(t, lease, test.lease)
			assert.Equal(t, store.granted, test.lease, "a lease was asked for in vain")
		})
	}
}
