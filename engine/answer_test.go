package engine

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/quota"
)

// TestReadAnswer guards against answers without end that are kept, and against many that are each within their bound and
// together aren't.
func TestReadAnswer(t *testing.T) {
	const limit = 64 << 10
	cases := map[string]struct {
		size int
		room int64
		want error
	}{
		"empty":                     {0, 0, nil},
		"short, without room":       {freeAnswerBytes - 1, 0, nil},
		"as long as may be":         {limit, 1 << 20, nil},
		"too long":                  {limit + 1, 1 << 20, ErrAnswerTooLong},
		"longer than there is room": {limit, limit / 2, ErrNoRoom},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			room := &quota.Room{Limit: test.room}
			text := strings.Repeat("x", test.size)
			for _, reader := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.DataErrReader(strings.NewReader(text))} {
				answer, release, err := ReadAnswer(reader, limit, room)
				assert.Assert(t, err == test.want, "%v", err) //nolint:errorlint // the errors are not wrapped
				if err == nil {
					assert.Equal(t, string(answer), text)
				}
				release()
				assert.Assert(t, room.Reserve(test.room), "room was not returned")
				room.Release(test.room)
			}
		})
	}
	_, _, err := ReadAnswer(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), limit, nil)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
}
