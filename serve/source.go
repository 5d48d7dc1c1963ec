package serve

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"shedkeel.org/shedkeel/dispatch"
	"shedkeel.org/shedkeel/engine"
)

// readBuffer is how much of a stream is read at once.
const readBuffer = 4 << 10

// source is one sending of the stream.
type source struct {
	stream   *stream
	choice   *dispatch.Choice
	context  context.Context //nolint:containedctx // it belongs to this one sending
	cancel   context.CancelFunc
	response *http.Response
	resumed  string // the event after which it was asked to go on
	stalled  bool   // another was begun because it went silent
	last     int64  // number of the last event it delivered
}

// loop sends the request and tells the stream each event that comes.
func (source *source) loop() {
	err := source.read()
	failed := !errors.Is(err, errStreamEnd) && source.context.Err() == nil
	source.choice.End(failed, source.stream.front.Timers.Now())
	if failed {
		source.stream.noteEnd(source.choice, err)
	}
	source.tell(news{source: source, err: err})
}

func (source *source) tell(news news) bool {
	select {
	case source.stream.news <- news:
		return true
	case <-source.context.Done():
		return false
	}
}

// read reads the stream to its end. It returns errStreamEnd when the stream
// has come whole.
func (source *source) read() error {
	stream := source.stream
	response, err := stream.send(source.context, source.choice, source.resumed)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	source.response = response
	if response.StatusCode != http.StatusOK {
		return &statusError{response: response}
	}
	unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	reader := bufio.NewReaderSize(response.Body, readBuffer)
	for {
		message, err := engine.ReadEvent(reader)
		if errors.Is(err, io.EOF) && unframed {
			// Nothing shows whether the end of the connection is the end of
			// the stream.
			return errNotWhole
		}
		if errors.Is(err, io.EOF) {
			return errStreamEnd
		}
		if err != nil {
			return err
		}
		source.choice.Sign(stream.front.Timers.Now())
		number, id := eventID(message)
		if !source.tell(news{source: source, event: message, number: number, id: id}) {
			return source.context.Err()
		}
	}
}

// news is what a source tells.
type news struct {
	source *source
	event  []byte
	number int64
	id     string
	err    error // the source has ended: errStreamEnd at a proper end
}

// errStreamEnd says that a stream has come whole. It is not io.EOF, which a
// connection that was closed without an answer gives as well.
var errStreamEnd = errors.New("the stream has ended")

// statusError is an answer of a backend server that is no stream.
type statusError struct {
	response *http.Response
}

func (err *statusError) Error() string { return "status " + strconv.Itoa(err.response.StatusCode) }

// eventID returns an event's id as a number and as it stands; 0 and "" if it
// has none.
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
