package chart

import (
	"bytes"
	"encoding/json"

	"github.com/tailscale/hujson"
)

// File is the content of a chart file: JSON with comments.
type File struct {
	// Name is the prefix of all names in the generated Promela source.
	Name string `json:"name"`
	// Initial is the name of the state in which every machine starts.
	Initial string      `json:"initial"`
	States  []FileState `json:"states"`
	Events  []string    `json:"events"`
	// Transitions, Ignored and Refused together cover each pair of state and event exactly once.
	Transitions []FileTransition `json:"transitions"`
	// Ignored lists pairs that leave the state unchanged without an error.
	Ignored []FilePair `json:"ignored"`
	// Refused lists pairs that are errors of the party that sends the event.
	Refused []FilePair `json:"refused"`
}

// FileState is one state of a chart file.
type FileState struct {
	Name string `json:"name"`
	// Final marks a state that no transition leaves.
	Final bool `json:"final,omitempty"`
	// Label is the meaning of the state for the code that uses the chart, e.g. an outcome.
	Label string `json:"label,omitempty"`
}

// FileTransition changes the state from any of the states in From to the state To.
type FileTransition struct {
	From  []string `json:"from"`
	Event string   `json:"event"`
	To    string   `json:"to"`
}

// FilePair covers every pair of one of its states and one of its events.
type FilePair struct {
	States []string `json:"states"`
	Events []string `json:"events"`
}

// parse parses a chart file without checking its content. It returns ErrMalformed.
func parse(content []byte) (File, error) {
	standard, err := hujson.Standardize(content)
	if err != nil {
		return File{}, ErrMalformed.Wrap(err, "chart is not JSON with comments")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var file File
	if err := decoder.Decode(&file); err != nil {
		return File{}, ErrMalformed.Wrap(err, "chart does not match the file format")
	}
	return file, nil
}
