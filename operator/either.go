package operator

import (
	"encoding/json"
	"io"

	"shedkeel.org/shedkeel/entry"
	"shedkeel.org/shedkeel/node"
)

// Either holds an answer of a keeper or of a node. After it was decoded, exactly one
// field is set.
type Either[FromKeeper, FromNode any] struct {
	Keeper *FromKeeper
	Node   *FromNode
}

// UnmarshalJSON decodes an answer. An answer is of a node if its field process has the
// value node.Process, and of a keeper otherwise.
func (either *Either[FromKeeper, FromNode]) UnmarshalJSON(text []byte) error {
	var sender struct {
		Process string `json:"process"`
	}
	if err := json.Unmarshal(text, &sender); err != nil {
		return err
	}
	if sender.Process == node.Process {
		either.Node = new(FromNode)
		return json.Unmarshal(text, either.Node)
	}
	either.Keeper = new(FromKeeper)
	return json.Unmarshal(text, either.Keeper)
}

// MarshalJSON encodes the answer that is set.
func (either Either[FromKeeper, FromNode]) MarshalJSON() ([]byte, error) {
	if either.Node != nil {
		return json.Marshal(either.Node)
	}
	return json.Marshal(either.Keeper)
}

// RequestReport holds what an entry or a node recorded about a request.
type RequestReport struct {
	ID    string               // ID of the request
	Entry *entry.RequestRecord // answer of an entry; nil: the answer is of a node
	Lines []TraceLine          // answer of a node, in order of time
}

// UnmarshalJSON decodes the answer of an entry.
func (report *RequestReport) UnmarshalJSON(text []byte) error {
	report.Entry = &entry.RequestRecord{}
	return json.Unmarshal(text, report.Entry)
}

// read decodes the answer of a node, which consists of log lines of events. It returns an
// InvalidError if no event is about the request.
func (report *RequestReport) read(lines io.Reader) error {
	trace := &Trace{Request: report.ID}
	if err := trace.Read(lines); err != nil {
		return err
	}
	var err error
	report.Lines, err = trace.Lines()
	return err
}

// MarshalJSON encodes the entry's record if it is set, and the node's lines otherwise.
func (report RequestReport) MarshalJSON() ([]byte, error) {
	if report.Entry != nil {
		return json.Marshal(report.Entry)
	}
	return json.Marshal(report.Lines)
}
