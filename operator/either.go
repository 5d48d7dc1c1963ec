package operator

import (
	"encoding/json"
	"io"

	"shedkeel.org/shedkeel/entry"
	"shedkeel.org/shedkeel/node"
)

// Either is an answer of a keeper or of a node; the other one is nil.
type Either[FromKeeper, FromNode any] struct {
	Keeper *FromKeeper
	Node   *FromNode
}

// UnmarshalJSON reads an answer; one of a node says so.
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

// MarshalJSON writes the answer as it came.
func (either Either[FromKeeper, FromNode]) MarshalJSON() ([]byte, error) {
	if either.Node != nil {
		return json.Marshal(either.Node)
	}
	return json.Marshal(either.Keeper)
}

// RequestStory is what became of a request.
type RequestStory struct {
	ID    string
	Entry *entry.RequestRecord // from an entry; or
	Lines []TraceLine          // from a node
}

// UnmarshalJSON reads the answer of an entry.
func (story *RequestStory) UnmarshalJSON(text []byte) error {
	story.Entry = &entry.RequestRecord{}
	return json.Unmarshal(text, story.Entry)
}

// read reads the answer of a node.
func (story *RequestStory) read(lines io.Reader) error {
	trace := &Trace{Request: story.ID}
	if err := trace.Read(lines); err != nil {
		return err
	}
	var err error
	story.Lines, err = trace.Lines()
	return err
}

// MarshalJSON writes the answer as it came.
func (story RequestStory) MarshalJSON() ([]byte, error) {
	if story.Entry != nil {
		return json.Marshal(story.Entry)
	}
	return json.Marshal(story.Lines)
}
