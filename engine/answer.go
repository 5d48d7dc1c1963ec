package engine

import (
	"errors"
	"io"

	"shedkeel.org/shedkeel/quota"
)

// freeAnswerBytes is how much of an answer is read without a reservation: most are shorter.
const freeAnswerBytes = 4 << 10

// ErrNoRoom reports that the answers that are being read use up the room for them.
var ErrNoRoom = errors.New("there is no room for the answer")

// ReadAnswer reads the body of an answer whole. The error is ErrNoRoom, ErrAnswerTooLong for more bytes than the limit,
// or that of the reader. The caller must call release once it doesn't need the bytes any more.
func ReadAnswer(body io.Reader, limit int64, room *quota.Room) (answer []byte, release func(), err error) {
	buffer := make([]byte, 0, min(freeAnswerBytes, limit+1))
	reserved := int64(0)
	release = func() { room.Release(reserved) }
	for {
		count, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		switch {
		case int64(len(buffer)) > limit:
			release()
			return nil, func() {}, ErrAnswerTooLong
		case errors.Is(err, io.EOF):
			return buffer, release, nil
		case err != nil:
			release()
			return nil, func() {}, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		size := min(2*int64(cap(buffer)), limit+1)
		if !room.Reserve(size) {
			release()
			return nil, func() {}, ErrNoRoom
		}
		reserved += size // the former buffer is freed later
		buffer = append(make([]byte, 0, size), buffer...)
	}
}

// ErrAnswerTooLong reports that an answer is longer than its limit.
var ErrAnswerTooLong = errors.New("the answer is too long")
