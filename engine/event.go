package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits one event of a stream. Each attempt of a stream holds an event while it is read.
const maxEventBytes = 256 << 10

// ErrEventTooLong is returned for an event of a stream that is longer than 256 KiB.
var ErrEventTooLong = errors.New("an event of the stream is too long")

// ReadEvent reads the next server-sent event of a stream, with the blank line that
// terminates it. A blank line that follows no other line counts as an event. The error is
// io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream ends within an event,
// ErrEventTooLong, or any other error of the reader, as is.
func ReadEvent(reader *bufio.Reader) ([]byte, error) {
	return ReadReservedEvent(reader, func(int) error { return nil })
}

// ReadReservedEvent is ReadEvent. Before it holds more bytes of the event, it calls reserve with how many there will be, and
// returns the error of reserve, if any.
func ReadReservedEvent(reader *bufio.Reader, reserve func(size int) error) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if size := len(event) + len(line); size > cap(event) && size <= maxEventBytes {
			if err := reserve(size); err != nil {
				return nil, err
			}
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(event) > maxEventBytes:
			return nil, ErrEventTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && startsLine(event, line) {
			return event, nil
		}
	}
}

// startsLine reports whether line, the last bytes of event, begins at the start of
// a line. It returns false for the remainder of a line that was longer than the
// reader's buffer.
func startsLine(event, line []byte) bool {
	preceding := event[:len(event)-len(line)]
	return len(preceding) == 0 || preceding[len(preceding)-1] == '\n'
}
