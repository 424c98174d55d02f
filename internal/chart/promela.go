package chart

import (
	"fmt"
	"slices"
	"strings"
)

// Promela returns the chart as Promela source: a macro for each state and event, an inline
// NAME_fire(state, event, allowed) with the rules of the file, and for each label a macro
// NAME_is_LABEL(state). source is the name of the chart file for the header.
func (c *Chart) Promela(source string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "/* Code generated from %s by genpromela. DO NOT EDIT. */\n\n", source)
	for state := range c.states {
		fmt.Fprintf(&out, "#define %s %d\n", c.promelaState(State(state)), state)
	}
	out.WriteString("\n")
	for event := range c.events {
		fmt.Fprintf(&out, "#define %s %d\n", c.promelaEvent(Event(event)), event)
	}
	out.WriteString("\n")
	c.writeLabels(&out)
	c.writeFire(&out)
	return out.String()
}

func (c *Chart) promelaState(state State) string {
	return strings.ToUpper(c.name + "_" + c.states[state].Name)
}

func (c *Chart) promelaEvent(event Event) string {
	return strings.ToUpper(c.name + "_EVENT_" + c.events[event])
}

func (c *Chart) writeLabels(out *strings.Builder) {
	var labels []string
	for _, state := range c.states {
		if state.Label != "" && !slices.Contains(labels, state.Label) {
			labels = append(labels, state.Label)
		}
	}
	for _, label := range labels {
		var conditions []string
		for state, declared := range c.states {
			if declared.Label == label {
				conditions = append(conditions, "(s) == "+c.promelaState(State(state)))
			}
		}
		fmt.Fprintf(out, "#define %s_is_%s(s) (%s)\n", c.name, label, strings.Join(conditions, " || "))
	}
	out.WriteString("\n")
}

func (c *Chart) writeFire(out *strings.Builder) {
	fmt.Fprintf(out, "inline %s_fire(state, event, allowed) {\n  d_step {\n    allowed = true;\n    if\n", c.name)
	for state := range c.states {
		for event := range c.events {
			c.writeRule(out, State(state), Event(event))
		}
	}
	out.WriteString("    fi\n  }\n}\n")
}

func (c *Chart) writeRule(out *strings.Builder, state State, event Event) {
	guard := fmt.Sprintf("state == %s && event == %s", c.promelaState(state), c.promelaEvent(event))
	rule := c.rules[c.ruleIndex(state, event)]
	switch rule.effect {
	case effectMove:
		fmt.Fprintf(out, "    :: %s -> state = %s\n", guard, c.promelaState(rule.to))
	case effectIgnore:
		fmt.Fprintf(out, "    :: %s -> skip\n", guard)
	default:
		fmt.Fprintf(out, "    :: %s -> allowed = false\n", guard)
	}
}
