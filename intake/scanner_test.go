package intake

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestScanner checks where heads end, whatever the pieces in which they arrive.
func TestScanner(t *testing.T) {
	tests := map[string]struct {
		text  string
		ended bool
		bytes int
		lines int
	}{
		"whole":                    {"GET / HTTP/1.1\r\nA: b\r\n\r\nrest\r\n", true, 24, 3},
		"line feeds only":          {"GET / HTTP/1.1\nA: b\n\nrest", true, 21, 3},
		"no end":                   {"GET / HTTP/1.1\r\nA: b\r\n", false, 22, 2},
		"empty lines before it":    {"\r\n\r\nGET / HTTP/1.1\r\n\r\n", true, 22, 4},
		"empty lines only":         {"\r\n\r\n\n\n", false, 6, 4},
		"carriage returns in line": {"GET / HTTP/1.1\r\r\n\r\r\n", true, 20, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				var scanner headScanner
				for rest := test.text; rest != ""; rest = rest[min(size, len(rest)):] {
					scanner.scan([]byte(rest[:min(size, len(rest))]))
				}
				assert.Equal(t, scanner.ended, test.ended)
				assert.Equal(t, scanner.bytes, test.bytes)
				assert.Equal(t, scanner.lines, test.lines)
			}
		})
	}
}

// FuzzHead checks that the scanner sees the end of each head where net/http does, or before: later, a client
// could have bytes parsed that nothing counts.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nrest"))
	f.Add([]byte("GET / HTTP/1.1\nHost: h\n\n"))
	f.Add([]byte("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nA:\r\n b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		consumed := len(data) - reader.Buffered()
		if consumed < len(data) && consumed == 0 {
			return
		}
		var scanner headScanner
		scanner.scan(data)
		assert.Assert(t, scanner.ended, "net/http takes a head of %s that has no end", request.Method)
		assert.Assert(t, scanner.bytes <= headEnd(data), "%d", scanner.bytes)
	})
}

// headEnd returns where the first empty line after the first line of the data ends.
func headEnd(data []byte) int {
	end := 0
	for begun := false; end < len(data); {
		line, _, _ := strings.Cut(string(data[end:]), "\n")
		end += len(line) + 1
		if strings.Trim(line, "\r") == "" && begun {
			return end
		}
		begun = begun || strings.Trim(line, "\r") != ""
	}
	return end
}
