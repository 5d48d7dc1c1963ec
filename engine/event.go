package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// ErrEventTooLong says that an event of a stream is longer than 1 MiB.
var ErrEventTooLong = errors.New("an event of the stream is too long")

// ReadEvent reads the next event of a stream, up to and with the blank line
// that ends it. A part of an event is never returned: the end of the stream is
// an io.EOF between two events and an io.ErrUnexpectedEOF inside one.
func ReadEvent(reader *bufio.Reader) ([]byte, error) {
	var message []byte
	for {
		line, err := reader.ReadSlice('\n')
		message = append(message, line...)
		switch {
		case errors.Is(err, io.EOF) && len(message) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(message) > maxEvent:
			return nil, ErrEventTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(message, line) {
			return message, nil
		}
	}
}

// endsLine reports whether the line stands at the beginning of a line of the
// message, and is not the rest of one that did not fit the buffer.
func endsLine(message, line []byte) bool {
	before := message[:len(message)-len(line)]
	return len(before) == 0 || before[len(before)-1] == '\n'
}
