package standin

import (
	"fmt"
	"net/http"
	"strings"
)

// Answer is an answer as a server writes it on its connection. Its fields may be anything.
type Answer struct {
	Interim string // an interim answer before it
	Status  string // the status line; "": that of a success
	Fields  string // further lines of the head
	Chunked bool   // the body is sent in chunks, else with a length
	Trailer string // lines after the last chunk
	Cut     bool   // the answer states no length, breaks off within its body, and the connection is reset
}

// Malformed are answers that are none in HTTP/1.1 or that break off, by what is wrong with them. Otherwise they are sound.
var Malformed = map[string]Answer{
	"status 000":                          {Status: "HTTP/1.1 000 Nothing"},
	"status 001":                          {Status: "HTTP/1.1 001 One"},
	"status 099":                          {Status: "HTTP/1.1 099 Less"},
	"status +20":                          {Status: "HTTP/1.1 +20 Plus"},
	"status -20":                          {Status: "HTTP/1.1 -20 Minus"},
	"status 20":                           {Status: "HTTP/1.1 20 Short"},
	"status 2000":                         {Status: "HTTP/1.1 2000 Long"},
	"status 600":                          {Status: "HTTP/1.1 600 More"},
	"status 999":                          {Status: "HTTP/1.1 999 Most"},
	"no status":                           {Status: "HTTP/1.1"},
	"101 that nobody asked for":           {Status: "HTTP/1.1 101 Switching Protocols", Fields: "Connection: Upgrade\r\nUpgrade: other\r\n"},
	"another protocol version":            {Status: "HTTP/3.7 200 OK"},
	"no protocol version":                 {Status: "200 OK"},
	"blank in a name":                     {Fields: "Bad Name: x\r\n"},
	"blank before the colon":              {Fields: "X-Odd : x\r\n"},
	"blank after a framing":               {Fields: "Transfer-Encoding : chunked\r\n"},
	"blank after a length":                {Fields: "Content-Length : 2\r\n"},
	"blank before the first name":         {Status: "HTTP/1.1 200 OK\r\n First: x"},
	"tab in a name":                       {Fields: "Bad\tName: x\r\n"},
	"control byte in a name":              {Fields: "Bad\x01Name: x\r\n"},
	"DEL in a name":                       {Fields: "Bad\x7fName: x\r\n"},
	"parenthesis in a name":               {Fields: "Bad(Name: x\r\n"},
	"UTF-8 in a name":                     {Fields: "Bäd: x\r\n"},
	"empty name":                          {Fields: ": x\r\n"},
	"no colon":                            {Fields: "Nothing\r\n"},
	"control byte in a value":             {Fields: "X-Odd: a\x01b\r\n"},
	"bare CR in a value":                  {Fields: "X-Odd: a\rb\r\n"},
	"blank in an interim name":            {Interim: "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n"},
	"blank in a trailer's name":           {Chunked: true, Trailer: "Bad Name: x\r\n"},
	"blank before the colon of a trailer": {Chunked: true, Trailer: "X-Odd : x\r\n"},
	"control byte in a trailer's name":    {Chunked: true, Trailer: "Bad\x01Name: x\r\n"},
	"cut off by a reset":                  {Cut: true},
}

// Unusual are answers that are whole and valid in HTTP/1.1, by what is unusual about them.
var Unusual = map[string]Answer{
	"no reason":             {Status: "HTTP/1.1 200 "},
	"no blank for a reason": {Status: "HTTP/1.1 200"},
	"HTTP/1.0":              {Status: "HTTP/1.0 200 OK"},
	"all signs of names":    {Fields: "!#$%&'*+-.^_`|~09azAZ: x\r\n"},
	"lower-case name":       {Fields: "x-odd: x\r\n"},
	"no value":              {Fields: "X-Odd:\r\n"},
	"blanks around a value": {Fields: "X-Odd: \t x \t\r\n"},
	"tab in a value":        {Fields: "X-Odd: a\tb\r\n"},
	"obs-text in a value":   {Fields: "X-Odd: \xe4\r\n"},
	"colons in a value":     {Fields: "X-Odd: a:b : c\r\n"},
	"folded line":           {Fields: "X-Odd: a\r\n b\r\n"},
	"interim answers":       {Interim: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"},
	"chunks":                {Chunked: true},
	"trailer":               {Chunked: true, Trailer: "X-Odd: x\r\n"},
	"announced trailer":     {Chunked: true, Fields: "Trailer: X-Odd\r\n", Trailer: "X-Odd: x\r\n"},
	"announced, not sent":   {Chunked: true, Fields: "Trailer: Bad Name\r\n"},
}

// Bytes returns the answer with the header and the body, or with half of the body if the answer is cut.
func (answer Answer) Bytes(header http.Header, body string) []byte {
	var text strings.Builder
	text.WriteString(answer.Interim)
	if answer.Status == "" {
		answer.Status = "HTTP/1.1 200 OK"
	}
	text.WriteString(answer.Status + "\r\n")
	_ = header.Write(&text) // a builder takes all
	text.WriteString(answer.Fields)
	switch {
	case answer.Cut:
		fmt.Fprintf(&text, "Connection: close\r\n\r\n%s", body[:len(body)/2])
	case answer.Chunked:
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, answer.Trailer)
	default:
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return []byte(text.String())
}
