// Package chart loads state charts from embedded files, checks them and interprets them. The
// packages that own a protocol state embed a chart and drive it, so that the file, not the code,
// says which events are allowed in which state. The same file yields the Promela source that the
// models in spec/ include.
//
// A chart is compiled to a table over small integers: one machine is one byte and an event is one
// look-up without allocation.
package chart

import (
	"math"
	"slices"
)

// State is the index of a state in its chart.
type State uint8

// Event is the index of an event in its chart.
type Event uint8

// maxNames bounds the states and the events of a chart, so that an index fits a byte.
const maxNames = math.MaxUint8

type effect uint8

const (
	effectMissing effect = iota
	effectMove
	effectIgnore
	effectRefuse
)

type cell struct {
	effect  effect
	to      State
	refusal error
}

// Chart is a checked chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	states  []FileState
	events  []string
	initial State
	cells   []cell
}

// Load parses and checks a chart file. It returns ErrMalformed or ErrInvalid.
func Load(content []byte) (*Chart, error) {
	file, err := parse(content)
	if err != nil {
		return nil, err
	}
	return compile(file)
}

// MustLoad is Load for embedded files; it panics when the file is not valid.
func MustLoad(content []byte) *Chart {
	loaded, err := Load(content)
	if err != nil {
		panic(err)
	}
	return loaded
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which every machine starts.
func (c *Chart) Initial() State { return c.initial }

// States returns the number of states.
func (c *Chart) States() int { return len(c.states) }

// Events returns the number of events.
func (c *Chart) Events() int { return len(c.events) }

// StateName returns the name of a state.
func (c *Chart) StateName(state State) string { return c.states[state].Name }

// EventName returns the name of an event.
func (c *Chart) EventName(event Event) string { return c.events[event] }

// Label returns the label of a state, which may be empty.
func (c *Chart) Label(state State) string { return c.states[state].Label }

// Final reports whether no event leaves the state.
func (c *Chart) Final(state State) bool { return c.states[state].Final }

// State returns the state called name, or ErrUnknownName.
func (c *Chart) State(name string) (State, error) {
	index := slices.IndexFunc(c.states, func(s FileState) bool { return s.Name == name })
	if index < 0 {
		return 0, ErrUnknownName.New("chart %q has no state %q", c.name, name)
	}
	return State(index), nil
}

// Event returns the event called name, or ErrUnknownName.
func (c *Chart) Event(name string) (Event, error) {
	index := slices.Index(c.events, name)
	if index < 0 {
		return 0, ErrUnknownName.New("chart %q has no event %q", c.name, name)
	}
	return Event(index), nil
}

// MustState is State for names that the code fixes; it panics when the chart lacks the name.
func (c *Chart) MustState(name string) State {
	state, err := c.State(name)
	if err != nil {
		panic(err)
	}
	return state
}

// MustEvent is Event for names that the code fixes; it panics when the chart lacks the name.
func (c *Chart) MustEvent(name string) Event {
	event, err := c.Event(name)
	if err != nil {
		panic(err)
	}
	return event
}

// Next returns the state that follows event in state. An ignored event returns state itself. A
// refused event returns state itself and ErrNotAllowed.
func (c *Chart) Next(state State, event Event) (State, error) {
	found := &c.cells[c.index(state, event)]
	switch found.effect {
	case effectMove:
		return found.to, nil
	case effectIgnore:
		return state, nil
	default:
		return state, found.refusal
	}
}

func (c *Chart) index(state State, event Event) int {
	return int(state)*len(c.events) + int(event)
}

// Machine is one instance of a chart.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() Machine {
	return Machine{chart: c, state: c.initial}
}

// State returns the machine's present state.
func (m *Machine) State() State { return m.state }

// Fire applies event and returns the state after it. A refused event leaves the state as it is and
// returns ErrNotAllowed.
func (m *Machine) Fire(event Event) (State, error) {
	next, err := m.chart.Next(m.state, event)
	m.state = next
	return next, err
}
