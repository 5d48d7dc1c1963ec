package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/quota"
	"shedkeel.org/shedkeel/strict"
)

const (
	minPiece = 4 << 10
	maxPiece = 64 << 10
)

// Body is a request body that was received completely, in pieces, so that it was never copied. The zero
// value is empty.
type Body struct {
	pieces [][]byte
	size   int64
}

// Len returns the size of the body in bytes.
func (body *Body) Len() int64 { return body.size }

// Reader returns a reader of the body. Each has a position of its own.
func (body *Body) Reader() io.Reader {
	if body.size == 0 {
		return http.NoBody
	}
	buffers := net.Buffers(slices.Clone(body.pieces))
	return &buffers
}

// WriteTo writes the body to the writer.
func (body *Body) WriteTo(writer io.Writer) (int64, error) {
	var written int64
	for _, piece := range body.pieces {
		count, err := writer.Write(piece)
		written += int64(count)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Bytes returns the body as one slice, which is a copy if the body has several pieces.
func (body *Body) Bytes() []byte {
	if len(body.pieces) == 1 {
		return body.pieces[0]
	}
	return slices.Concat(body.pieces...)
}

// NewBody returns a body with the data.
func NewBody(data []byte) Body {
	if len(data) == 0 {
		return Body{}
	}
	return Body{pieces: [][]byte{data}, size: int64(len(data))}
}

// ReadBody reads the body of a request, up to the limit and within the timeout. The client holds room for it
// until the request is answered. The error is an http.MaxBytesError if the body is longer than the
// limit, or than fits at all; an UnavailableError if there is no room for it now, or if the client lost its room while the
// body stalled; a strict.MalformedError for a trailer that is none; and else that of the connection.
func ReadBody(writer http.ResponseWriter, request *http.Request, limit int64, timeout time.Duration) (Body, error) {
	if request.Body == nil || request.ContentLength == 0 {
		return Body{}, nil
	}
	reader := &bodyReader{conn: connOf(request), request: request, limit: limit, deadline: time.Now().Add(timeout)}
	if reader.conn != nil {
		reader.limit = min(limit, reader.conn.gate.Ledger.Plan.MaxBody())
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(reader.deadline)
	err := reader.read()
	if err == nil {
		err = strict.CheckTrailer(request)
	}
	if err != nil {
		if reader.conn != nil {
			reader.conn.refuseBody()
		}
		return Body{}, err
	}
	_ = controller.SetReadDeadline(time.Time{})
	return reader.body, nil
}

// bodyReader reads one body.
type bodyReader struct {
	conn     *Conn // nil: nothing is charged
	request  *http.Request
	limit    int64
	deadline time.Time // the server may end the reading sooner
	reserved int64
	body     Body
}

// read reads the body.
func (reader *bodyReader) read() error {
	if reader.request.ContentLength > reader.limit {
		return &http.MaxBytesError{Limit: reader.limit}
	}
	if reader.conn == nil {
		return reader.readPieces()
	}
	if err := reader.readPieces(); err != nil {
		if reader.conn.interrupted.Load() {
			return reader.noRoom()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(reader.deadline) {
			reader.conn.gate.Ledger.Refuse(&reader.conn.client, quota.LimitBodyTime, true)
		}
		return err
	}
	if !reader.conn.endBody() {
		return reader.noRoom()
	}
	return nil
}

// noRoom returns the error for a body that has no room.
func (reader *bodyReader) noRoom() error {
	return &shedkeel.UnavailableError{What: "room for the request's body", RetryAfter: quota.RetryAfter, Cause: errRefused}
}

// readPieces reads the body in pieces that grow with it. A stated length is reserved at once, so that a body that
// was begun is not refused later.
func (reader *bodyReader) readPieces() error {
	if stated := reader.request.ContentLength; stated > 0 && !reader.reserve(stated) {
		return reader.noRoom()
	}
	for {
		size := min(max(reader.body.size, minPiece), maxPiece)
		if stated := reader.request.ContentLength; stated > 0 {
			size = min(max(stated-reader.body.size, 1), maxPiece) // one byte more reads the end
		}
		if !reader.reserve(reader.body.size + size) {
			return reader.noRoom()
		}
		ended, err := reader.readPiece(size)
		if err != nil || ended {
			return err
		}
	}
}

// readPiece reads up to size bytes, and reports whether the body has ended.
func (reader *bodyReader) readPiece(size int64) (ended bool, err error) {
	piece := make([]byte, size)
	count := 0
	for count < len(piece) && err == nil {
		var read int
		read, err = reader.request.Body.Read(piece[count:])
		count += read
	}
	if count > 0 {
		reader.body.pieces = append(reader.body.pieces, piece[:count])
		reader.body.size += int64(count)
	}
	switch {
	case reader.body.size > reader.limit:
		return false, &http.MaxBytesError{Limit: reader.limit}
	case errors.Is(err, io.EOF):
		return true, nil
	}
	return false, err
}

// reserve reserves room for a body of the size.
func (reader *bodyReader) reserve(size int64) bool {
	if reader.conn == nil || size <= reader.reserved {
		return true
	}
	if !reader.conn.reserve(size - reader.reserved) {
		return false
	}
	reader.reserved = size
	return true
}
