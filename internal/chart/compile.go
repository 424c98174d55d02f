package chart

import (
	"regexp"
	"slices"
)

// namePattern matches names that are valid identifiers in Promela.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// compile builds the look-up table of a chart file. It returns ErrInvalid for a file that leaves a pair
// of state and event without a rule, has two rules for a pair, or has unreachable states.
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
	chart.rules = make([]transitionRule, len(file.States)*len(file.Events))
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
			if err := c.setRule(from, transition.Event, transitionRule{effect: effectMove, to: to}); err != nil {
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
				if err := c.setRule(state, event, transitionRule{effect: kind}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// setRule sets the rule of one pair of state and event.
func (c *Chart) setRule(stateName, eventName string, rule transitionRule) error {
	state, err := c.State(stateName)
	if err != nil {
		return ErrInvalid.Wrap(err, "event %q", eventName)
	}
	event, err := c.Event(eventName)
	if err != nil {
		return ErrInvalid.Wrap(err, "state %q", stateName)
	}
	existing := &c.rules[c.ruleIndex(state, event)]
	if existing.effect != effectMissing {
		return ErrInvalid.New("chart %q decides event %q in state %q twice", c.name, eventName, stateName)
	}
	if rule.effect == effectRefuse {
		rule.refusal = ErrNotAllowed.New("chart %q refuses event %q in state %q", c.name, eventName, stateName)
	}
	*existing = rule
	return nil
}

func (c *Chart) checkComplete() error {
	for state := range c.states {
		for event := range c.events {
			if c.rules[c.ruleIndex(State(state), Event(event))].effect == effectMissing {
				return ErrInvalid.New("chart %q leaves event %q in state %q open",
					c.name, c.events[event], c.states[state].Name)
			}
		}
	}
	return nil
}

// checkFinal checks that no transition leaves a final state and at least one leaves every other state.
func (c *Chart) checkFinal() error {
	for state, declared := range c.states {
		row := c.rules[state*len(c.events) : (state+1)*len(c.events)]
		hasExit := slices.ContainsFunc(row, func(rule transitionRule) bool {
			return rule.effect == effectMove && rule.to != State(state)
		})
		if hasExit && declared.Final {
			return ErrInvalid.New("chart %q: a transition leaves final state %q", c.name, declared.Name)
		}
		if !hasExit && !declared.Final {
			return ErrInvalid.New("chart %q: no transition leaves state %q, which is not final", c.name, declared.Name)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	reached := make([]bool, len(c.states))
	reached[c.initial] = true
	queue := []State{c.initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for event := range c.events {
			rule := c.rules[c.ruleIndex(state, Event(event))]
			if rule.effect == effectMove && !reached[rule.to] {
				reached[rule.to] = true
				queue = append(queue, rule.to)
			}
		}
	}
	if missing := slices.Index(reached, false); missing >= 0 {
		return ErrInvalid.New("chart %q cannot reach state %q", c.name, c.states[missing].Name)
	}
	return nil
}
