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
	// HeaderFrom asks an engine to resume an attempt's stream at an event.
	headerFrom = "Shedkeel-From"
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
	// readBuffer is how much of a stream is read at once.
	readBuffer = 8 << 10
)

// endMark is the event that ends a stream.
var endMark = []byte("data: [DONE]")

// passage passes one try's stream on to the caller, event by event.
type passage struct {
	entry  *Entry
	try    *try
	writer http.ResponseWriter

	begun   bool // the caller has got some of it
	events  int  // passed on
	resumes int
	ended   bool // the end mark was passed on
}

// run passes the stream on to its end mark. A stream that breaks off is resumed
// where it was by the engine that made it; it is never joined with another.
func (passage *passage) run() error {
	response, err := passage.try.send() //nolint:bodyclose // copy and whole close it
	if err != nil {
		return err
	}
	if !isEventStream(response) {
		whole, err := passage.try.whole(response)
		if err == nil {
			passage.entry.writeAnswer(passage.writer, whole)
		}
		return err
	}
	for {
		err := passage.copy(response)
		if err == nil {
			return nil
		}
		response, err = passage.resume(err) //nolint:bodyclose // copy closes it
		if err != nil {
			if passage.begun {
				passage.entry.Log.Write(event.StreamAborted, slog.String("attempt", passage.try.attempt), slog.String("error", err.Error()))
			}
			return err
		}
	}
}

// resume asks the engine for the rest of a stream that broke off.
func (passage *passage) resume(broke error) (*http.Response, error) {
	try := passage.try
	unknown := try.because(&shedkeel.UnknownRunError{Reason: "the stream of group " + try.choice.Name + " broke off", Cause: broke})
	passage.resumes++
	hopeless := errors.Is(broke, errCallerGone) || try.context.Err() != nil
	if !passage.begun || passage.resumes > maxResumes || hopeless {
		return nil, unknown
	}
	try.call.header.Set(headerFrom, fmt.Sprint(passage.events))
	response, err := try.send()
	if err != nil {
		return nil, err
	}
	resumedAt := response.Header.Get(headerFrom)
	if !isEventStream(response) || resumedAt != fmt.Sprint(passage.events) {
		_ = response.Body.Close()
		return nil, unknown
	}
	passage.entry.Log.Write(event.StreamResumed, slog.String("attempt", try.attempt), slog.Int("from", passage.events))
	return response, nil
}

// copy passes on the whole events of a response. It returns nil only if the
// end mark has been passed on.
func (passage *passage) copy(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReaderSize(response.Body, readBuffer)
	for {
		message, err := engine.ReadEvent(reader)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF // the end mark is missing
		}
		if err != nil {
			return err
		}
		if !passage.begun {
			passage.begin(response)
		}
		_ = http.NewResponseController(passage.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := passage.writer.Write(message); err != nil {
			return errors.Join(errCallerGone, err)
		}
		passage.events++
		if isEndMark(message) {
			passage.ended = true
			return passage.finish()
		}
		if reader.Buffered() == 0 {
			if err := http.NewResponseController(passage.writer).Flush(); err != nil {
				return errors.Join(errCallerGone, err)
			}
		}
	}
}

var errCallerGone = errors.New("the caller is gone")

func (passage *passage) begin(response *http.Response) {
	passage.begun = true
	copyHeader(passage.writer.Header(), response.Header)
	passage.writer.Header().Del(engine.HeaderAttempt)
	passage.entry.setOutcome(passage.writer, outcomeAnswered)
	passage.writer.WriteHeader(response.StatusCode)
}

func (passage *passage) finish() error {
	return http.NewResponseController(passage.writer).Flush()
}

func isEndMark(message []byte) bool {
	return bytes.Equal(bytes.TrimRight(message, "\r\n"), endMark)
}
