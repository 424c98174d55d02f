package chart

import (
	"bytes"
	"encoding/json"

	"github.com/tailscale/hujson"
)

// File is the content of a chart file: JSON with comments.
type File struct {
	// Name prefixes the names that the Promela generator writes.
	Name string `json:"name"`
	// Initial names the state in which every machine starts.
	Initial string      `json:"initial"`
	States  []FileState `json:"states"`
	Events  []string    `json:"events"`
	// Transitions, Ignored and Refused together cover each pair of state and event exactly once.
	Transitions []FileTransition `json:"transitions"`
	// Ignored lists pairs that leave the state as it is without an error.
	Ignored []FilePair `json:"ignored"`
	// Refused lists pairs that are errors of the sender.
	Refused []FilePair `json:"refused"`
}

// FileState is one state of a chart file.
type FileState struct {
	Name string `json:"name"`
	// Final marks a state that no transition leaves.
	Final bool `json:"final,omitempty"`
	// Label tells the code that drives the chart what the state means, e.g. an outcome.
	Label string `json:"label,omitempty"`
}

// FileTransition moves machines from any of the states From to the state To.
type FileTransition struct {
	From  []string `json:"from"`
	Event string   `json:"event"`
	To    string   `json:"to"`
}

// FilePair lists events for some states.
type FilePair struct {
	States []string `json:"states"`
	Events []string `json:"events"`
}

// Parses a chart file without checking what it says.
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
