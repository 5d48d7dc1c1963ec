package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"shedkeel.org/shedkeel/completeness"
	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
)

// readBufferBytes is the size of a stream's read buffer.
const readBufferBytes = 4 << 10

// maxDatalessBytes is how many bytes in a row of events without data, such as comments, a server may
// send. Clients don't see such events, so that a stream of nothing else is no answer.
const maxDatalessBytes = 64 << 10

// errDataless reports that a server sent more than maxDatalessBytes.
var errDataless = errors.New("the server sends a stream without data")

// source is one attempt of a stream: the request to one server and the events that the
// server sends. A source stalls when its server is reported on choice.Stalled as having sent
// nothing for longer than expected.
type source struct {
	stream   *stream
	attempt  *attempt
	choice   *dispatch.Choice // that of the attempt
	context  context.Context  //nolint:containedctx // its scope is this attempt
	cancel   context.CancelFunc
	response *http.Response // nil until send has returned the answer
	firstAt  time.Duration  // when the source's first event was forwarded; 0: none yet
	hedged   bool           // a second source was started because this source stalled
	updates  chan update    // the events and the end; the stream receives them while the source is live
	dropped  chan struct{}  // closed by stream.drop
}

// loop sends the request and delivers each event to the stream, and finally the error with
// which the source ended. If the source failed, loop checks whether the server has terminated
// (checkServer). It returns once the stream has dropped the source.
func (source *source) loop() {
	err := source.read()
	complete := errors.Is(err, errStreamEnd)
	source.choice.End(!complete && source.context.Err() == nil, source.stream.handler.Timers.Now())
	if !complete {
		source.stream.checkServer(source.context, source.attempt, err)
	}
	source.deliver(update{source: source, err: err})
	<-source.dropped
	source.discard()
}

// deliver passes an update to the stream. It returns false if the source is canceled
// first.
func (source *source) deliver(update update) bool {
	select {
	case source.updates <- update:
		return true
	case <-source.context.Done():
		return false
	}
}

// discard releases the updates that the stream has not received.
func (source *source) discard() {
	events, first := 0, int64(0)
	for {
		select {
		case left := <-source.updates:
			if left.err != nil {
				continue
			}
			if events++; events == 1 {
				first = left.number
			}
			source.stream.unread.release(int64(len(left.event)))
		default:
			if events > 0 {
				source.stream.logDropped(source, events, first, "its attempt was canceled")
			}
			return
		}
	}
}

// read sends the request, and delivers the events until the stream ends, fails or the source
// is canceled. It reads an event only when ReaderBudget allows it. It returns errStreamEnd if the
// stream was received completely, errUnproven if it is not known whether it was, and a statusError
// if the status is not 200.
func (source *source) read() error {
	stream := source.stream
	release := stream.holdCheckConn(source.context, source.choice)
	defer release()
	response, err := stream.send(source.context, source.attempt)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	source.response = response
	if response.StatusCode != http.StatusOK {
		return &statusError{response: response}
	}
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	events, dataless := 0, int64(0)
	for size := int64(0); ; {
		reserved, err := stream.unread.reserveEvent(source.context, size)
		if err != nil {
			return err
		}
		message, err := engine.ReadReservedEvent(reader, func(length int) error { return stream.unread.reserveEventPart(&reserved, int64(length)) })
		size = int64(len(message)) // also the expected size of the next event
		stream.unread.keep(reserved, size)
		if errors.Is(err, io.EOF) {
			return source.end(response, events)
		}
		if err != nil {
			return err
		}
		events++
		now := stream.handler.Timers.Now()
		stream.hear(now)
		data := hasData(message)
		if dataless += size; data {
			dataless = 0
			source.choice.RecordResponse(now)
		}
		if dataless > maxDatalessBytes {
			stream.unread.release(size)
			return errDataless
		}
		number, id := eventID(message)
		if !source.deliver(update{source: source, event: message, number: number, id: id, hasData: data}) {
			stream.unread.release(size)
			return source.context.Err()
		}
	}
}

// end returns errStreamEnd if the answer is known to be complete, and otherwise errUnproven.
func (source *source) end(response *http.Response, events int) error {
	if source.stream.judgeEnd(source.context, source.attempt, response, events == 0) != completeness.Complete {
		return errUnproven
	}
	return errStreamEnd
}

// update is an event of a source, or the end of the source.
type update struct {
	source *source
	event  []byte
	number int64  // the event's ID as a number; 0: the ID is not a number
	id     string // the event's ID; "": the event has none
	// hasData is false for an event that only keeps the connection open, such as a comment.
	hasData bool
	err     error // not nil: the source has ended, and there is no event; errStreamEnd: the server has sent the last event
}

// errStreamEnd reports that a stream was received completely. It is distinct from io.EOF,
// which is also the error of a connection that is closed without an answer.
var errStreamEnd = errors.New("the stream has ended")

// statusError is an answer of a backend server with a status other than 200, and
// therefore without a stream.
type statusError struct {
	response *http.Response
}

func (err *statusError) Error() string { return "status " + strconv.Itoa(err.response.StatusCode) }

// eventID returns the ID of a server-sent event, as a number and as text. The number is 0 if
// the ID is not a number. If the event has no ID, the number is 0 and the text is empty.
func eventID(message []byte) (int64, string) {
	for line := range bytes.Lines(message) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id := string(bytes.TrimSpace(value))
		number, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			return 0, id
		}
		return number, id
	}
	return 0, ""
}

// hasData reports whether a server-sent event has data, that is, whether clients see it.
func hasData(message []byte) bool {
	for line := range bytes.Lines(message) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "data" {
			return true
		}
	}
	return false
}
