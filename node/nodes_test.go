package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNodesWithMostCapacityComeFirst also checks that nodes of equal capacity are ordered by
// ID.
func TestNodesWithMostCapacityComeFirst(t *testing.T) {
	assert.Assert(t, compareNodes(nodeRecord{ID: "b", Capacity: 0.8}, nodeRecord{ID: "a", Capacity: 0.2}) < 0)
	assert.Assert(t, compareNodes(nodeRecord{ID: "b", Capacity: 0.2}, nodeRecord{ID: "a", Capacity: 0.2}) > 0)
}
