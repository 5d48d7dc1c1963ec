package completeness

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/engine"
)

// TestFramings guards against an answer that counts as complete by its framing although its
// connection ended too early. A server sends the bytes over a real connection, closes or resets it,
// and is not heard of again.
func TestFramings(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	cases := map[string]struct {
		method string
		bytes  string
		closed Verdict // after a regular end of the connection
		reset  Verdict // after a reset
	}{
		"length":                     {"GET", head + "Content-Length: 4\r\n\r\nbody", Complete, Complete},
		"length, cut off":            {"GET", head + "Content-Length: 9\r\n\r\nbody", Incomplete, Incomplete},
		"length, and more bytes":     {"GET", head + "Content-Length: 2\r\n\r\nbody", Complete, Complete},
		"chunks":                     {"GET", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", Complete, Complete},
		"chunks, cut off in one":     {"GET", head + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody", Incomplete, Incomplete},
		"chunks, cut off after one":  {"GET", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", Incomplete, Incomplete},
		"chunks, without the end":    {"GET", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", Incomplete, Incomplete},
		"neither":                    {"GET", head + "\r\nbody", Unknown, Incomplete},
		"neither, without a byte":    {"GET", head + "\r\n", Unknown, Incomplete},
		"neither, connection kept":   {"GET", "HTTP/1.1 200 OK\r\n\r\nbody", Unknown, Incomplete},
		"neither, HTTP/1.0":          {"GET", "HTTP/1.0 200 OK\r\n\r\nbody", Unknown, Incomplete},
		"neither, a failure":         {"GET", "HTTP/1.1 500 Internal Server Error\r\n\r\nbody", Unknown, Incomplete},
		"HEAD":                       {"HEAD", head + "\r\n", Complete, Complete},
		"HEAD, with a length":        {"HEAD", head + "Content-Length: 4\r\n\r\n", Complete, Complete},
		"204":                        {"GET", "HTTP/1.1 204 No Content\r\n\r\n", Complete, Complete},
		"304":                        {"GET", "HTTP/1.1 304 Not Modified\r\n\r\n", Complete, Complete},
		"length 0":                   {"GET", head + "Content-Length: 0\r\n\r\n", Complete, Complete},
		"chunks, HTTP/1.1, no bytes": {"GET", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Complete, Complete},
	}
	for name, test := range cases {
		for end, want := range map[string]Verdict{"closed": test.closed, "reset": test.reset} {
			t.Run(name+"/"+end, func(t *testing.T) {
				response, conn := answer(t, test.method, test.bytes)
				if end == "reset" {
					assert.NilError(t, conn.SetLinger(0))
				}
				// A reset discards what was not read before it.
				buffer := make([]byte, 4)
				read, _ := io.ReadFull(response.Body, buffer[:min(bodyBytes(test.bytes), len(buffer))])
				t.Logf("%d bytes before the end of the connection", read)
				assert.NilError(t, conn.Close())
				_, err := io.ReadAll(response.Body)
				assert.Equal(t, Judge(engine.CloseDelimited(test.method, response), err, ProcessUnknown), want)
			})
		}
	}
}

// bodyBytes returns how many bytes of the body come before the end: the text "body", or none.
func bodyBytes(bytes string) int {
	if len(bytes) > 4 && (bytes[len(bytes)-4:] == "body") {
		return 4
	}
	return 0
}

// answer sends a request with the method to a server that answers with the bytes, and returns the
// response and the server's connection.
func answer(t *testing.T, method, bytes string) (*http.Response, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conns := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, bytes)
		}
		conns <- conn
	}()
	transport := &http.Transport{DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String()+"/", nil)
	assert.NilError(t, err)
	response, err := transport.RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = response.Body.Close()
		_ = listener.Close()
	})
	return response, (<-conns).(*net.TCPConn)
}

// TestJudge checks the verdicts that follow from the state of the server's process.
func TestJudge(t *testing.T) {
	broken := errors.New("connection reset")
	cases := map[string]struct {
		closeDelimited bool
		readErr        error
		process        Process
		want           Verdict
	}{
		"stated end":                    {false, nil, ProcessUnknown, Complete},
		"stated end, process ended":     {false, nil, ProcessEnded, Complete},
		"stated end, broken":            {false, broken, ProcessRuns, Incomplete},
		"close-delimited, runs":         {true, nil, ProcessRuns, Complete},
		"close-delimited, ended":        {true, nil, ProcessEnded, Unknown},
		"close-delimited, unknown":      {true, nil, ProcessUnknown, Unknown},
		"close-delimited, broken, runs": {true, broken, ProcessRuns, Incomplete},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Judge(test.closeDelimited, test.readErr, test.process), test.want)
		})
	}
}

// TestJudgeProcess guards against a server that has restarted at once, under its own name or another,
// and passes for the process that sent the answer.
func TestJudgeProcess(t *testing.T) {
	request := time.Unix(100, 0)
	earlier := request.Add(-time.Hour)
	plain, dated := shedkeel.NewInstanceID("s", 0), shedkeel.NewInstanceID("s", 1000)
	cases := map[string]struct {
		instance shedkeel.InstanceID
		health   shedkeel.Health
		want     Process
	}{
		"the same name":                            {plain, shedkeel.Health{Server: "s"}, ProcessRuns},
		"another name":                             {plain, shedkeel.Health{Server: "other"}, ProcessEnded},
		"no name":                                  {plain, shedkeel.Health{}, ProcessUnknown},
		"no name, older connection":                {plain, shedkeel.Health{ConnectedAt: request}, ProcessRuns},
		"no name, newer connection":                {plain, shedkeel.Health{ConnectedAt: request.Add(1)}, ProcessUnknown},
		"another name, older connection":           {plain, shedkeel.Health{Server: "other", ConnectedAt: earlier}, ProcessEnded},
		"the same start":                           {dated, shedkeel.Health{Server: "s", Born: 1000}, ProcessRuns},
		"another start":                            {dated, shedkeel.Health{Server: "s", Born: 1001}, ProcessEnded},
		"another start, without a name":            {dated, shedkeel.Health{Born: 1001}, ProcessEnded},
		"the same start, without a name":           {dated, shedkeel.Health{Born: 1000}, ProcessRuns},
		"a start that is not stated":               {dated, shedkeel.Health{Server: "s"}, ProcessUnknown},
		"a start not stated, older connection":     {dated, shedkeel.Health{Server: "s", ConnectedAt: earlier}, ProcessRuns},
		"a start that only the health check names": {plain, shedkeel.Health{Server: "s", Born: 1000}, ProcessUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, JudgeProcess(test.instance, test.health, request), test.want)
		})
	}
}
