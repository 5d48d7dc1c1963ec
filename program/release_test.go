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
	"shedkeel.org/shedkeel/node"
	platformstandin "shedkeel.org/shedkeel/platform/standin"
)

// TestRelease releases a part of prompts and a request from the command line. What has no record gives
// an InvalidError.
func TestRelease(t *testing.T) {
	data := standin.NewStore()
	server := httptest.NewServer((&platformstandin.Store{Data: data}).Handler())
	defer server.Close()
	run := func(args ...string) (string, error) {
		command := operatorCommand()
		var printed bytes.Buffer
		command.Writer = &printed
		err := command.Run(t.Context(), append([]string{"shedkeel", "release", "--store", strings.TrimPrefix(server.URL, "http://")}, args...))
		return printed.String(), err
	}
	subjects := []shedkeel.Subject{shedkeel.PartSubject("m0", "5c1e"), "0123abcd"}
	change := shedkeel.Transaction{}
	for _, subject := range subjects {
		change.Put = append(change.Put, shedkeel.Put{Key: node.BlamePrefix + string(subject), Value: []byte("{}")})
	}
	_, err := data.Commit(change)
	assert.NilError(t, err)
	for _, args := range [][]string{{"--model", "m0", "5C1E"}, {"0123abcd"}} {
		printed, err := run(args...)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(printed, "is released"), printed)
		_, err = run(args...)
		var invalid *shedkeel.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "released twice: %v", err)
	}
	_, err = run()
	assert.Assert(t, err != nil, "no name was given")
}
