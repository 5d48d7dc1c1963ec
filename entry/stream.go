package entry

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
	"shedkeel.org/shedkeel/event"
)

const (
	// headerFrom asks an engine to resume an attempt's stream at the given event
	// number. The engine repeats the header in its response.
	headerFrom = "Shedkeel-From"
	// maxResumes limits how often one stream is resumed.
	maxResumes = 3
	// readBufferBytes is the size of the read buffer for a stream, in bytes.
	readBufferBytes = 8 << 10
)

// endMark is the event that ends a complete stream.
var endMark = []byte("data: [DONE]")

// relay forwards the stream of one try to the caller, event by event.
type relay struct {
	entry  *Entry
	try    *try
	writer http.ResponseWriter

	started bool // the response to the caller has begun
	events  int  // number of events forwarded
	resumes int  // calls of resume so far
	ended   bool // the end mark has been forwarded
}

// run forwards the stream up to its end mark. If the stream breaks off, run resumes
// the same attempt at the next event; it never mixes the events of different attempts.
// If the response is not a stream, run forwards it as a complete answer.
func (relay *relay) run() error {
	response, err := relay.try.send() //nolint:bodyclose // relayEvents and readAnswer close it
	if err != nil {
		return err
	}
	if !isEventStream(response) {
		complete, err := relay.try.readAnswer(response)
		if err == nil {
			relay.entry.writeAnswer(relay.writer, complete)
		}
		return err
	}
	for {
		err := relay.relayEvents(response)
		if err == nil {
			return nil
		}
		response, err = relay.resume(err) //nolint:bodyclose // relayEvents closes it
		if err != nil {
			if relay.started {
				relay.entry.Log.Write(event.StreamAborted, slog.String("attempt", relay.try.attemptID), slog.String("error", err.Error()))
			}
			return err
		}
	}
}

// resume asks the engine for the rest of a stream that broke off because of cause. It
// fails if no event was forwarded yet, after maxResumes, if the caller is gone or the
// try's context has ended, and if the engine does not resume the stream at the next
// event.
func (relay *relay) resume(cause error) (*http.Response, error) {
	try := relay.try
	unknown := try.withGroupLoss(&shedkeel.UnknownRunError{Reason: "the stream of group " + try.choice.Name + " broke off", Cause: cause})
	relay.resumes++
	unresumable := errors.Is(cause, errCallerGone) || try.context.Err() != nil
	if !relay.started || relay.resumes > maxResumes || unresumable {
		return nil, unknown
	}
	try.call.header.Set(headerFrom, fmt.Sprint(relay.events))
	response, err := try.send()
	if err != nil {
		return nil, err
	}
	resumedAt := response.Header.Get(headerFrom)
	if !isEventStream(response) || resumedAt != fmt.Sprint(relay.events) {
		_ = response.Body.Close()
		return nil, unknown
	}
	relay.entry.Log.Write(event.StreamResumed, slog.String("attempt", try.attemptID), slog.Int("from", relay.events))
	return response, nil
}

// relayEvents forwards the complete events of a response and closes its body. It
// returns nil only if the end mark was forwarded. If writing an event to the caller
// fails, the error wraps errCallerGone.
func (relay *relay) relayEvents(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	for {
		message, err := engine.ReadEvent(reader)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF // the end mark is missing
		}
		if err != nil {
			return err
		}
		if !relay.started {
			relay.start(response)
		}
		_ = http.NewResponseController(relay.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := relay.writer.Write(message); err != nil {
			return errors.Join(errCallerGone, err)
		}
		relay.events++
		if isEndMark(message) {
			relay.ended = true
			return relay.flush()
		}
		if reader.Buffered() == 0 {
			if err := http.NewResponseController(relay.writer).Flush(); err != nil {
				return errors.Join(errCallerGone, err)
			}
		}
	}
}

// errCallerGone is the error when writing to the caller fails.
var errCallerGone = errors.New("the caller is gone")

// start sends the status and headers of the response, without the attempt ID, to the
// caller.
func (relay *relay) start(response *http.Response) {
	relay.started = true
	copyHeader(relay.writer.Header(), response.Header)
	relay.writer.Header().Del(engine.HeaderAttempt)
	relay.entry.setOutcome(relay.writer, outcomeAnswered)
	relay.writer.WriteHeader(response.StatusCode)
}

// flush sends buffered events to the caller.
func (relay *relay) flush() error {
	return http.NewResponseController(relay.writer).Flush()
}

// isEndMark reports whether an event is the end mark.
func isEndMark(message []byte) bool {
	return bytes.Equal(bytes.TrimRight(message, "\r\n"), endMark)
}
