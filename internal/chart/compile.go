package chart

import (
	"regexp"
	"slices"
)

// namePattern keeps names usable as identifiers in Promela.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// Builds the look-up table of a chart file and refuses files that leave a pair of state and event
// open, decide one twice, or name states that cannot be reached.
func compile(file File) (*Chart, error) {
	chart := &Chart{name: file.Name, states: file.States, events: file.Events}
	if err := chart.checkNames(); err != nil {
		return nil, err
	}
	initial, err := chart.State(file.Initial)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "initial state")
	}
	chart.initial = initial
	chart.cells = make([]cell, len(file.States)*len(file.Events))
	if err := chart.addTransitions(file.Transitions); err != nil {
		return nil, err
	}
	if err := chart.addPairs(file.Ignored, effectIgnore); err != nil {
		return nil, err
	}
	if err := chart.addPairs(file.Refused, effectRefuse); err != nil {
		return nil, err
	}
	if err := chart.checkComplete(); err != nil {
		return nil, err
	}
	if err := chart.checkFinal(); err != nil {
		return nil, err
	}
	return chart, chart.checkReachable()
}

func (c *Chart) checkNames() error {
	if !namePattern.MatchString(c.name) {
		return ErrInvalid.New("chart name %q is not an identifier", c.name)
	}
	states := make([]string, len(c.states))
	for i, state := range c.states {
		states[i] = state.Name
	}
	if err := c.checkDistinct("state", states); err != nil {
		return err
	}
	return c.checkDistinct("event", c.events)
}

func (c *Chart) checkDistinct(what string, names []string) error {
	if len(names) == 0 || len(names) > maxNames {
		return ErrInvalid.New("chart %q has %d %ss, want 1 to %d", c.name, len(names), what, maxNames)
	}
	for i, name := range names {
		if !namePattern.MatchString(name) {
			return ErrInvalid.New("chart %q: %s name %q is not an identifier", c.name, what, name)
		}
		if slices.Contains(names[:i], name) {
			return ErrInvalid.New("chart %q declares %s %q twice", c.name, what, name)
		}
	}
	return nil
}

func (c *Chart) addTransitions(transitions []FileTransition) error {
	for _, transition := range transitions {
		to, err := c.State(transition.To)
		if err != nil {
			return ErrInvalid.Wrap(err, "transition on %q", transition.Event)
		}
		for _, from := range transition.From {
			if err := c.set(from, transition.Event, cell{effect: effectMove, to: to}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Chart) addPairs(pairs []FilePair, kind effect) error {
	for _, pair := range pairs {
		for _, state := range pair.States {
			for _, event := range pair.Events {
				if err := c.set(state, event, cell{effect: kind}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// Decides one pair of state and event.
func (c *Chart) set(stateName, eventName string, decided cell) error {
	state, err := c.State(stateName)
	if err != nil {
		return ErrInvalid.Wrap(err, "event %q", eventName)
	}
	event, err := c.Event(eventName)
	if err != nil {
		return ErrInvalid.Wrap(err, "state %q", stateName)
	}
	place := &c.cells[c.index(state, event)]
	if place.effect != effectMissing {
		return ErrInvalid.New("chart %q decides event %q in state %q twice", c.name, eventName, stateName)
	}
	if decided.effect == effectRefuse {
		decided.refusal = ErrNotAllowed.New("chart %q refuses event %q in state %q", c.name, eventName, stateName)
	}
	*place = decided
	return nil
}

func (c *Chart) checkComplete() error {
	for state := range c.states {
		for event := range c.events {
			if c.cells[c.index(State(state), Event(event))].effect == effectMissing {
				return ErrInvalid.New("chart %q leaves event %q in state %q open",
					c.name, c.events[event], c.states[state].Name)
			}
		}
	}
	return nil
}

// Checks that final states are left by no transition and all others by at least one.
func (c *Chart) checkFinal() error {
	for state, declared := range c.states {
		row := c.cells[state*len(c.events) : (state+1)*len(c.events)]
		leaves := slices.ContainsFunc(row, func(found cell) bool {
			return found.effect == effectMove && found.to != State(state)
		})
		if leaves && declared.Final {
			return ErrInvalid.New("chart %q: a transition leaves final state %q", c.name, declared.Name)
		}
		if !leaves && !declared.Final {
			return ErrInvalid.New("chart %q: no transition leaves state %q, which is not final", c.name, declared.Name)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reached := make([]bool, len(c.states))
	reached[c.initial] = true
	open := []State{c.initial}
	for len(open) > 0 {
		state := open[0]
		open = open[1:]
		for event := range c.events {
			found := c.cells[c.index(state, Event(event))]
			if found.effect == effectMove && !reached[found.to] {
				reached[found.to] = true
				open = append(open, found.to)
			}
		}
	}
	if missing := slices.Index(reached, false); missing >= 0 {
		return ErrInvalid.New("chart %q cannot reach state %q", c.name, c.states[missing].Name)
	}
	return nil
}
