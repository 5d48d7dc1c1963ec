// Package engine is the HTTP client for backend servers. A model engine, or engine, is
// the backend server of a box: it serves a model and carries out the orders of the
// planner. Control probes engines and sends them orders. Transport forwards callers'
// requests and reports whether any byte of a failed request was written.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/strict"
)

// Headers between an entry, the proxy for callers, and an engine.
const (
	HeaderAttempt = "Shedkeel-Attempt" // echoed by the engine in its answer
	HeaderGroup   = "Shedkeel-Group"   // replica group to which the entry sends the request
	HeaderEpoch   = "Shedkeel-Epoch"   // epoch of the group that HeaderGroup names; an engine rejects a request whose epoch is not that of its own assignment
	HeaderNotRun  = "Shedkeel-Not-Run" // set by an engine that rejected a request without running it; the value is the reason
)

// maxStateBytes limits the body of an engine's answer to a probe.
const maxStateBytes = 64 << 10

// Control is the client of the control API of model engines.
type Control struct {
	Client *http.Client
}

// Probe requests the state of the engine at the address, HOST:PORT. A status other than
// 200 and a body that is not a JSON state of at most maxStateBytes are errors.
func (control *Control) Probe(ctx context.Context, address string) (shedkeel.BoxState, error) {
	var state shedkeel.BoxState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/state", nil)
	if err != nil {
		return state, err
	}
	response, err := control.Client.Do(request)
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("probe of %s: status %d", address, response.StatusCode)
	}
	body, release, err := ReadAnswer(response.Body, maxStateBytes, nil)
	if err != nil {
		return state, err
	}
	defer release()
	return state, json.Unmarshal(body, &state)
}

// SendOrder sends an order to the engine at order.Address, at most once. The error is a
// ConflictError if the engine rejects the order with status 409, an UnknownOutcomeError if
// no whole answer came, even if the connection could not be opened, and untyped for any other
// status than 200 and for an order from which no HTTP request can be built.
func (control *Control) SendOrder(ctx context.Context, order shedkeel.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+"/control/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Keeps net/http from retrying the order.
	request.GetBody = nil
	request.Close = true
	// The client's timeout keeps a delayed order from being sent late.
	response, err := control.Client.Do(request)
	if err != nil {
		return &shedkeel.UnknownOutcomeError{What: fmt.Sprintf("order %s to %s", order.Kind, order.Box), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1024))
	switch {
	case err != nil:
		return &shedkeel.UnknownOutcomeError{What: fmt.Sprintf("order %s to %s", order.Kind, order.Box), Cause: err}
	case response.StatusCode == http.StatusConflict:
		return &shedkeel.ConflictError{What: fmt.Sprintf("box %s refused order %s: %s", order.Box, order.Kind, text)}
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("order %s to %s: status %d: %s", order.Kind, order.Box, response.StatusCode, text)
	}
	return nil
}

// NewControl returns a Control whose calls fail after the timeout.
func NewControl(timeout time.Duration) *Control {
	return &Control{Client: &http.Client{
		Timeout:   timeout,
		Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}),
	}}
}
