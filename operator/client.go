// Package operator is the operators' client: it calls any keeper, entry or node of the
// fleet and prints the answers as tables or JSON.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/keeper"
	"shedkeel.org/shedkeel/node"
)

const (
	// callTimeout bounds each call.
	callTimeout = 10 * time.Second
	// maxResponseBytes is how much of the body of an answer is read.
	maxResponseBytes = 64 << 20
)

// Client calls one keeper, entry or node.
type Client struct {
	Address string       // address of the process: host:port, or an https URL
	Key     string       // operators' bearer key
	HTTP    *http.Client // nil: http.DefaultClient
}

// Config returns the configuration in force. Only keepers answer the call.
func (client *Client) Config(ctx context.Context) (shedkeel.Config, error) {
	var config shedkeel.Config
	return config, client.call(ctx, http.MethodGet, "/v1/config", nil, &config)
}

// Apply asks a keeper to make config the configuration in force. config.Generation must
// equal the generation in force; otherwise Apply returns an *Error with status 409.
func (client *Client) Apply(ctx context.Context, config shedkeel.Config) (keeper.ApplyResult, error) {
	var accepted keeper.ApplyResult
	return accepted, client.call(ctx, http.MethodPut, "/v1/config", config, &accepted)
}

// Status returns the state of the fleet as the keeper or node sees it.
func (client *Client) Status(ctx context.Context) (Either[keeper.Status, node.Dump], error) {
	var status Either[keeper.Status, node.Dump]
	return status, client.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// Explain returns the reasons for the current state of a group.
func (client *Client) Explain(ctx context.Context, group string) (Either[keeper.Explanation, node.Explanation], error) {
	var explanation Either[keeper.Explanation, node.Explanation]
	return explanation, client.call(ctx, http.MethodGet, "/v1/explain/"+group, nil, &explanation)
}

// Request returns the decisions that an entry recorded for a request, or the events
// that a node logged for it.
func (client *Client) Request(ctx context.Context, id string) (RequestReport, error) {
	report := RequestReport{ID: id}
	return report, client.call(ctx, http.MethodGet, "/v1/requests/"+id, nil, &report)
}

// Trace adds to trace the latest events of a node about the trace's request or group. The
// client's address must be that of a node. A node that has no such events and, for a group,
// no record of a member gives an *Error with status 404.
func (client *Client) Trace(ctx context.Context, trace *Trace) error {
	if trace.Request != "" {
		report, err := client.Request(ctx, trace.Request)
		trace.lines = append(trace.lines, report.Lines...)
		return err
	}
	explanation, err := client.Explain(ctx, trace.Group)
	if err != nil || explanation.Node == nil {
		return err
	}
	for _, line := range explanation.Node.Events {
		trace.addLine(string(line))
	}
	return nil
}

// Dump returns the state of the keeper, entry or node as JSON.
func (client *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, client.call(ctx, http.MethodGet, "/v1/dump", nil, &dump)
}

// call makes one call and decodes the answer, which is JSON or, for a request at a node,
// log lines of events. If no answer arrives within callTimeout, call returns an
// UnknownOutcomeError for a PUT and an UnavailableError for any other method. It returns
// an InvalidError for a malformed address, and an *Error for any status other than 200.
func (client *Client) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, client.url(path), bytes.NewReader(text))
	if err != nil {
		return &shedkeel.InvalidError{Where: "--keeper", What: err.Error(), Remedy: "give it as HOST:PORT"}
	}
	request.Header.Set("Authorization", "Bearer "+client.Key)
	httpClient := client.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	response, err := httpClient.Do(request)
	if err != nil && method == http.MethodPut {
		return &shedkeel.UnknownOutcomeError{What: "change sent to keeper " + client.Address, Cause: err}
	}
	if err != nil {
		return &shedkeel.UnavailableError{What: "keeper " + client.Address, RetryAfter: time.Second, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if report, ok := answer.(*RequestReport); ok && response.Header.Get("Content-Type") == node.EventLinesContentType {
		return report.read(limited)
	}
	return json.NewDecoder(limited).Decode(answer)
}

// url returns the URL of a path at the client's address, with the scheme http unless the
// address is an https URL.
func (client *Client) url(path string) string {
	if len(client.Address) > 8 && client.Address[:8] == "https://" {
		return client.Address + path
	}
	return "http://" + client.Address + path
}

// Error is an answer with a status other than 200.
type Error struct {
	Status int    // HTTP status code
	Text   string // message of the keeper, entry or node; if the answer has none, a hint to check the address
}

// Error returns the text.
func (err *Error) Error() string { return err.Text }

// responseError converts an answer with a status other than 200 to an *Error. It extracts
// the message if the body has the JSON form of a keeper's or node's error, or of an
// entry's. Otherwise the text suggests to check the address.
func responseError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	var keeperBody keeper.ErrorBody
	var entryBody struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	switch {
	case json.Unmarshal(text, &keeperBody) == nil && keeperBody.Error != "":
		return &Error{Status: response.StatusCode, Text: keeperBody.Error}
	case json.Unmarshal(text, &entryBody) == nil && entryBody.Error.Message != "":
		return &Error{Status: response.StatusCode, Text: entryBody.Error.Message}
	}
	return &Error{Status: response.StatusCode, Text: fmt.Sprintf("status %d; is this the operator port of a keeper, the admin port of an entry, or the metrics port of a node?", response.StatusCode)}
}
