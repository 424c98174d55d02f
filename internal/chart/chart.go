// Package chart loads, checks and interprets state charts from embedded files. A package with a
// protocol state embeds a chart and fires its events, so that the file, not the code, defines which
// events are allowed in which state. The Promela source that the models in spec/ include is generated
// from the same file.
//
// A chart is compiled to a table over small integers: a state is one byte, and an event is one look-up
// without allocation.
package chart

import (
	"math"
	"slices"
)

// State is the index of a state in its chart.
type State uint8

// Event is the index of an event in its chart.
type Event uint8

// maxNames bounds the number of states and of events of a chart, so that an index fits in a byte.
const maxNames = math.MaxUint8

type effect uint8

const (
	effectMissing effect = iota
	effectMove
	effectIgnore
	effectRefuse
)

type transitionRule struct {
	effect  effect
	to      State
	refusal error
}

// Chart is a checked and compiled chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	states  []FileState
	events  []string
	initial State
	rules   []transitionRule
}

// Load parses and checks a chart file. It returns ErrMalformed or ErrInvalid for a bad file.
func Load(content []byte) (*Chart, error) {
	file, err := parse(content)
	if err != nil {
		return nil, err
	}
	return compile(file)
}

// MustLoad is like Load but panics when the file is not valid. It is for embedded files.
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

// Final reports whether the state is final, so that no event leaves it.
func (c *Chart) Final(state State) bool { return c.states[state].Final }

// State returns the state with the given name. It returns ErrUnknownName when there is none.
func (c *Chart) State(name string) (State, error) {
	index := slices.IndexFunc(c.states, func(s FileState) bool { return s.Name == name })
	if index < 0 {
		return 0, ErrUnknownName.New("chart %q has no state %q", c.name, name)
	}
	return State(index), nil
}

// Event returns the event with the given name. It returns ErrUnknownName when there is none.
func (c *Chart) Event(name string) (Event, error) {
	index := slices.Index(c.events, name)
	if index < 0 {
		return 0, ErrUnknownName.New("chart %q has no event %q", c.name, name)
	}
	return Event(index), nil
}

// MustState is like State but panics when the chart lacks the name. It is for names that are constant in the code.
func (c *Chart) MustState(name string) State {
	state, err := c.State(name)
	if err != nil {
		panic(err)
	}
	return state
}

// MustEvent is like Event but panics when the chart lacks the name. It is for names that are constant in the code.
func (c *Chart) MustEvent(name string) Event {
	event, err := c.Event(name)
	if err != nil {
		panic(err)
	}
	return event
}

// Next returns the state after event in state. For an ignored event it returns state itself, for a
// refused event state itself and ErrNotAllowed.
func (c *Chart) Next(state State, event Event) (State, error) {
	rule := &c.rules[c.ruleIndex(state, event)]
	switch rule.effect {
	case effectMove:
		return rule.to, nil
	case effectIgnore:
		return state, nil
	default:
		return state, rule.refusal
	}
}

func (c *Chart) ruleIndex(state State, event Event) int {
	return int(state)*len(c.events) + int(event)
}

// Machine is a chart with a current state. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() Machine {
	return Machine{chart: c, state: c.initial}
}

// State returns the machine's current state.
func (m *Machine) State() State { return m.state }

// Fire applies event and returns the new state. A refused event leaves the state unchanged and returns
// ErrNotAllowed.
func (m *Machine) Fire(event Event) (State, error) {
	next, err := m.chart.Next(m.state, event)
	m.state = next
	return next, err
}
