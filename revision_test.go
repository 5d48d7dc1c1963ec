package shedkeel

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRevisions checks that revisions are ordered by era first and number second,
// and how they are printed.
func TestRevisions(t *testing.T) {
	// In ascending order. No record has the number 0, but {1, 0} can still be compared: it
	// sorts after all revisions of era 0.
	ordered := []Revision{{}, {0, 7}, {0, 1000}, {1, 0}, {1, 7}, {2, 3}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.After(b), i > j, "%s after %s", a, b)
			assert.Equal(t, LaterRevision(a, b), ordered[max(i, j)])
		}
		assert.Equal(t, a.Exists(), a.Number > 0)
	}
	assert.Equal(t, Revision{0, 258}.String(), "258")
	assert.Equal(t, Revision{1, 9}.String(), "1:9")
}
