// Package operator is the operators' client: it speaks to any keeper or node of
// the fleet and prints what it learns as tables or JSON.
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
	callTimeout = 10 * time.Second
	maxAnswer   = 64 << 20
)

// Client speaks to one keeper, entry or node.
type Client struct {
	Keeper string // host:port, or an https URL
	Key    string // the operators' key
	HTTP   *http.Client
}

// Config returns the configuration in force.
func (client *Client) Config(ctx context.Context) (shedkeel.Config, error) {
	var config shedkeel.Config
	return config, client.call(ctx, http.MethodGet, "/v1/config", nil, &config)
}

// Apply asks for a configuration that builds on the generation it carries.
func (client *Client) Apply(ctx context.Context, config shedkeel.Config) (keeper.Accepted, error) {
	var accepted keeper.Accepted
	return accepted, client.call(ctx, http.MethodPut, "/v1/config", config, &accepted)
}

// Status returns the fleet as the keeper or node sees it.
func (client *Client) Status(ctx context.Context) (Either[keeper.Status, node.Dump], error) {
	var status Either[keeper.Status, node.Dump]
	return status, client.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// Explain returns why a group is as it is.
func (client *Client) Explain(ctx context.Context, group string) (Either[keeper.Explanation, node.Explanation], error) {
	var explanation Either[keeper.Explanation, node.Explanation]
	return explanation, client.call(ctx, http.MethodGet, "/v1/explain/"+group, nil, &explanation)
}

// Request returns what the entry at the address decided on a request, or what
// the node at the address has logged of it.
func (client *Client) Request(ctx context.Context, id string) (RequestStory, error) {
	story := RequestStory{ID: id}
	return story, client.call(ctx, http.MethodGet, "/v1/requests/"+id, nil, &story)
}

// Trace adds what the node at the address remembers to a trace.
func (client *Client) Trace(ctx context.Context, trace *Trace) error {
	if trace.Request != "" {
		story, err := client.Request(ctx, trace.Request)
		trace.lines = append(trace.lines, story.Lines...)
		return err
	}
	explanation, err := client.Explain(ctx, trace.Group)
	if err != nil || explanation.Node == nil {
		return err
	}
	for _, line := range explanation.Node.Events {
		trace.take(string(line))
	}
	return nil
}

// Dump returns the state of the process at the address as JSON.
func (client *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, client.call(ctx, http.MethodGet, "/v1/dump", nil, &dump)
}

// call makes one call. Its error is typed by the status: ConflictError,
// InvalidError, UnavailableError or UnknownOutcomeError.
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
		return &shedkeel.UnknownOutcomeError{What: "change sent to keeper " + client.Keeper, Cause: err}
	}
	if err != nil {
		return &shedkeel.UnavailableError{What: "keeper " + client.Keeper, RetryAfter: time.Second, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return failure(response)
	}
	limited := io.LimitReader(response.Body, maxAnswer)
	if story, ok := answer.(*RequestStory); ok && response.Header.Get("Content-Type") == node.EventLines {
		return story.read(limited)
	}
	return json.NewDecoder(limited).Decode(answer)
}

func (client *Client) url(path string) string {
	if len(client.Keeper) > 8 && client.Keeper[:8] == "https://" {
		return client.Keeper + path
	}
	return "http://" + client.Keeper + path
}

// Error is a refusal by a keeper.
type Error struct {
	Status int
	Text   string
}

// Error returns what the keeper said, which names the remedy.
func (err *Error) Error() string { return err.Text }

func failure(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	var fromKeeper keeper.ErrorBody
	var fromEntry struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	switch {
	case json.Unmarshal(text, &fromKeeper) == nil && fromKeeper.Error != "":
		return &Error{Status: response.StatusCode, Text: fromKeeper.Error}
	case json.Unmarshal(text, &fromEntry) == nil && fromEntry.Error.Message != "":
		return &Error{Status: response.StatusCode, Text: fromEntry.Error.Message}
	}
	return &Error{Status: response.StatusCode, Text: fmt.Sprintf("status %d; is this the operator port of a keeper, the admin port of an entry, or the metrics port of a node?", response.StatusCode)}
}
