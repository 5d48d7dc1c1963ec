package program

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/internal/standin"
	"shedkeel.org/shedkeel/platform"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// TestEvacuate evacuates a zone from the command line and ends the evacuation, each
// twice. Arguments that are not a zone must be rejected.
func TestEvacuate(t *testing.T) {
	data := standin.NewStore()
	server := httptest.NewServer((&platformstandin.Store{Data: data}).Handler())
	defer server.Close()
	store := &platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: commandTimeout}
	run := func(args ...string) (string, error) {
		command := operatorCommand()
		var printed bytes.Buffer
		command.Writer = &printed
		err := command.Run(t.Context(), append([]string{"shedkeel", "evacuate", "--store", store.Address}, args...))
		return printed.String(), err
	}
	recordExists := func() bool {
		record, err := store.Get(t.Context(), platform.EvacuationPrefix+"zone-1")
		assert.NilError(t, err)
		return record.Revision.Exists()
	}
	steps := []struct {
		args   []string
		output string
		after  bool // whether the zone is evacuated afterwards
	}{
		{[]string{"zone-1"}, "zone zone-1 is evacuated", true},
		{[]string{"zone-1"}, "zone zone-1 is evacuated", true},
		{[]string{"--withdraw", "zone-1"}, "zone zone-1 is taken back", false},
		{[]string{"--withdraw", "zone-1"}, "zone zone-1 is taken back", false},
	}
	for _, step := range steps {
		printed, err := run(step.args...)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(printed, step.output), printed)
		assert.Equal(t, recordExists(), step.after)
	}
	for _, zone := range []string{"", "zone-1/box-1"} {
		_, err := run(zone)
		var invalid *shedkeel.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%q: %v", zone, err)
	}
}
