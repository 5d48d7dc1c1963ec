package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNodesWithMostCapacityComeFirst checks that compareNodes puts a node with more capacity
// before a node with a lower ID, and orders nodes of equal capacity by ID.
func TestNodesWithMostCapacityComeFirst(t *testing.T) {
	assert.Assert(t, compareNodes(nodeRecord{ID: "b", Capacity: 0.8}, nodeRecord{ID: "a", Capacity: 0.2}) < 0)
	assert.Assert(t, compareNodes(nodeRecord{ID: "b", Capacity: 0.2}, nodeRecord{ID: "a", Capacity: 0.2}) > 0)
}
