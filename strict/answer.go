package strict

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a message that is none in HTTP/1.1. Nothing that it states can be relied on: the request of such an
// answer may have run.
type MalformedError struct {
	What string // such as "status 000"
}

func (err *MalformedError) Error() string { return "not valid HTTP/1.1: " + err.What }

// MaxHeadBytes is the longest head of a final answer that clients should read, and the longest that the heads of all its
// interim answers may be together. A longer one is no answer.
const MaxHeadBytes = 64 << 10

// Check verifies the answer to one request. The zero value is ready to use. The caller sets its hooks in the
// httptrace.ClientTrace of the request.
type Check struct {
	conn    io.Closer // that carried the request last; nil: none
	interim int       // bytes of the heads of interim answers
}

// GotConn is the hook of this name.
func (check *Check) GotConn(info httptrace.GotConnInfo) { check.conn = info.Conn }

// Got1xxResponse is the hook of this name. It verifies an interim answer. The error is a MalformedError.
func (check *Check) Got1xxResponse(_ int, header textproto.MIMEHeader) error {
	check.interim += len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			check.interim += len(name) + len(value) + len(": \r\n")
		}
	}
	if check.interim > MaxHeadBytes {
		return &MalformedError{What: "interim answers without end"}
	}
	return checkFields(header, "an interim answer")
}

// Accept verifies a final answer that net/http has read, and has the body verify the trailer where there may be one. The error
// is a MalformedError, also that of the body in place of io.EOF. The answer's connection is closed then.
func (check *Check) Accept(response *http.Response) error {
	err := checkStatus(response)
	if err == nil {
		err = checkFields(response.Header, "the head")
	}
	if err != nil {
		check.closeConn()
		_ = response.Body.Close()
		return err
	}
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response, check: check}
	}
	return nil
}

// closeConn closes the connection, which net/http may have kept for another request.
func (check *Check) closeConn() {
	if check.conn != nil {
		_ = check.conn.Close()
	}
}

// chunkedBody is the body of an answer in chunks, which may have a trailer.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
	check    *Check
	err      error // of the trailer; nil: it has not been read, or is valid
}

// Read reads. The error is a MalformedError in place of io.EOF if the trailer is not valid.
func (body *chunkedBody) Read(buffer []byte) (int, error) {
	if body.err != nil {
		return 0, body.err
	}
	count, err := body.ReadCloser.Read(buffer)
	var invalid textproto.ProtocolError
	switch {
	case errors.Is(err, io.EOF):
		body.err = checkFields(body.response.Trailer, "the trailer")
	case errors.As(err, &invalid):
		body.err = &MalformedError{What: "the trailer: " + invalid.Error()}
	}
	if body.err != nil {
		body.check.closeConn()
		return count, body.err
	}
	return count, err
}

// checkFields verifies the field lines of a part of an answer. RFC 9110, 5.1: a name is a token. RFC 9112, 5.1: there is no blank
// before the colon; a recipient that takes it out reads other fields than one that does not. net/http keeps names with blanks.
func checkFields[Header ~map[string][]string](header Header, part string) error {
	for name, values := range header {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) { // there are no values for a name that is only announced
			return &MalformedError{What: fmt.Sprintf("field name %.40q in %s", name, part)}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &MalformedError{What: fmt.Sprintf("value of the field %.40q in %s", name, part)}
			}
		}
	}
	return nil
}

// CheckTrailer verifies the trailer of a request whose body was read to its end. The error is a MalformedError.
func CheckTrailer(request *http.Request) error { return checkFields(request.Trailer, "the trailer") }

// The status codes of final answers. RFC 9110, 15: codes outside of 100 to 599 are invalid. Those below 200 are interim: 101 is
// final, but only for a request with an Upgrade field (15.2.2), which is never sent.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// checkStatus verifies the status line of a final answer. RFC 9112, 2.3: a message of another major version is not HTTP/1.1.
func checkStatus(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return &MalformedError{What: fmt.Sprintf("version %.20q", response.Proto)}
	case response.StatusCode < minFinalStatus, response.StatusCode > maxFinalStatus:
		return &MalformedError{What: fmt.Sprintf("status %.20q", response.Status)}
	}
	return nil
}

// Transport is an http.RoundTripper that returns only answers that conform to HTTP/1.1 (see Check).
type Transport struct {
	Base http.RoundTripper // required
}

// NewTransport returns a Transport over base. It bounds heads by MaxHeadBytes, and has base dial by a Dialer unless base has a
// dialer of its own.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	if base.DialContext == nil {
		base.DialContext = (&Dialer{}).DialContext
	}
	return &Transport{Base: base}
}

// RoundTrip implements http.RoundTripper. Besides the errors of Base, it returns a MalformedError.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	check := &Check{}
	trace := &httptrace.ClientTrace{GotConn: check.GotConn, Got1xxResponse: check.Got1xxResponse}
	response, err := transport.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check.Accept(response); err != nil {
		return nil, err
	}
	return response, nil
}
