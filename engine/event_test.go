package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReadEvent uses a reader with a buffer of 16 bytes, so that some lines are longer
// than the buffer.
func TestReadEvent(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100) + "\n\n" // longer than the reader's buffer
	cases := map[string]struct {
		stream string
		events []string
		err    error
	}{
		"empty stream":           {"", nil, io.EOF},
		"two events":             {"id: 1\ndata: a\n\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, io.EOF},
		"CRLF and LF line ends":  {"data: a\r\n\r\ndata: b\n\n", []string{"data: a\r\n\r\n", "data: b\n\n"}, io.EOF},
		"longer than the buffer": {long, []string{long}, io.EOF},
		"ends within an event":   {"data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		"ends within a line":     {"data: a\n\ndat", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		"event too long":         {"data: " + strings.Repeat("x", maxEventBytes) + "\n\n", nil, ErrEventTooLong},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			reader := bufio.NewReaderSize(strings.NewReader(test.stream), 16)
			for _, want := range test.events {
				event, err := ReadEvent(reader)
				assert.NilError(t, err)
				assert.Equal(t, string(event), want)
			}
			_, err := ReadEvent(reader)
			assert.ErrorIs(t, err, test.err)
		})
	}
}

// FuzzEvents checks that the events read from a stream, joined, are a prefix of
// the stream. If ReadEvent returns io.EOF, they must be the whole stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: b\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: a\r\n\r\n\n\ndata: b"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(stream), 16)
		var read []byte
		for {
			event, err := ReadEvent(reader)
			if errors.Is(err, io.EOF) {
				assert.DeepEqual(t, read, append([]byte(nil), stream...))
			}
			if err != nil {
				break
			}
			read = append(read, event...)
		}
		assert.Assert(t, bytes.HasPrefix(stream, read))
	})
}
