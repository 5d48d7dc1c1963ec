package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNodesWithMostCapacityComeFirst(t *testing.T) {
	assert.Assert(t, compareNodes(nodeRecord{ID: "b", Capacity: 0.8}, nodeRecord{ID: "a", Capacity: 0.2}) < 0)
	assert.Assert(t, compareNodes(nodeRecord{ID: "b", Capacity: 0.2}, nodeRecord{ID: "a", Capacity: 0.2}) > 0)
}
