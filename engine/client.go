// Package engine speaks to backend servers: Control probes model engines and
// orders them, Transport sends callers' requests and knows whether any byte of
// one was written.
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
)

// The headers that an entry and an engine exchange.
const (
	HeaderAttempt = "Shedkeel-Attempt" // echoed by the engine in its answer
	HeaderGroup   = "Shedkeel-Group"
	HeaderEpoch   = "Shedkeel-Epoch"
	HeaderNotRun  = "Shedkeel-Not-Run" // set by an engine that refused a request before it ran
)

// maxState bounds an engine's answer to a probe, in bytes.
const maxState = 64 << 10

// Control probes and orders the engines on boxes.
type Control struct {
	Client *http.Client
}

// Probe asks the engine at the address for its state.
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
	err = json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&state)
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxState))
	return state, err
}

// Give sends an order to the engine. It uses a connection of its own with a
// deadline on each write, so that an order that waited does not leave late.
func (control *Control) Give(ctx context.Context, order shedkeel.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+"/control/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	request.Close = true
	response, err := control.Client.Do(request)
	if err != nil {
		return &shedkeel.UnknownOutcomeError{What: fmt.Sprintf("order %s to %s", order.Kind, order.Box), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
	switch {
	case response.StatusCode == http.StatusConflict:
		return &shedkeel.ConflictError{What: fmt.Sprintf("box %s refused order %s: %s", order.Box, order.Kind, text)}
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("order %s to %s: status %d: %s", order.Kind, order.Box, response.StatusCode, text)
	}
	return nil
}

// NewControl returns a Control whose calls end within the timeout.
func NewControl(timeout time.Duration) *Control {
	return &Control{Client: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second},
	}}
}
