package chart

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

const doorChart = `{
	// A door that is shut before it is locked.
	"name": "door",
	"initial": "open",
	"states": [
		{"name": "open"},
		{"name": "shut", "label": "closed"},
		{"name": "locked", "final": true, "label": "closed"},
	],
	"events": ["shut", "lock"],
	"transitions": [
		{"from": ["open"], "event": "shut", "to": "shut"},
		{"from": ["shut"], "event": "lock", "to": "locked"},
	],
	"ignored": [{"states": ["shut", "locked"], "events": ["shut"]}, {"states": ["locked"], "events": ["lock"]}],
	"refused": [{"states": ["open"], "events": ["lock"]}],
}`

func TestMachineFollowsItsChart(t *testing.T) {
	c := qt.New(t)
	loaded, err := Load([]byte(doorChart))
	c.Assert(err, qt.IsNil)
	shut, lock := loaded.MustEvent("shut"), loaded.MustEvent("lock")
	machine := loaded.NewMachine()

	state, err := machine.Fire(lock)
	c.Assert(errorx.IsOfType(err, ErrNotAllowed), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `.*chart "door" refuses event "lock" in state "open"`)
	c.Assert(loaded.StateName(state), qt.Equals, "open")

	for _, step := range []struct {
		event Event
		state string
	}{{shut, "shut"}, {shut, "shut"}, {lock, "locked"}, {shut, "locked"}} {
		state, err = machine.Fire(step.event)
		c.Assert(err, qt.IsNil)
		c.Assert(loaded.StateName(state), qt.Equals, step.state)
	}
	c.Assert(loaded.Final(machine.State()), qt.IsTrue)
	c.Assert(loaded.Label(machine.State()), qt.Equals, "closed")
}

func TestLoadRefusesInvalidCharts(t *testing.T) {
	for _, test := range []struct {
		name, old, new, want string
	}{
		{"no JSON", `"name": "door",`, `"name" "door",`, `.*not JSON with comments.*`},
		{"unknown field", `"events": [`, `"evnts": [], "events": [`, `.*unknown field "evnts".*`},
		{"unknown initial state", `"initial": "open"`, `"initial": "ajar"`, `.*no state "ajar".*`},
		{"unknown target", `"to": "locked"`, `"to": "barred"`, `.*no state "barred".*`},
		{"unknown source", `"from": ["shut"]`, `"from": ["shot"]`, `.*no state "shot".*`},
		{"unknown event", `"event": "lock"`, `"event": "bolt"`, `.*no event "bolt".*`},
		{"open pair", `"refused": [{"states": ["open"], "events": ["lock"]}],`, ``, `.*leaves event "lock" in state "open" open`},
		{"pair decided twice", `"states": ["open"], "events": ["lock"]`, `"states": ["open"], "events": ["lock", "shut"]`, `.*event "shut" in state "open" twice`},
		{"unreachable state", `"initial": "open"`, `"initial": "shut"`, `.*cannot reach state "open"`},
		{"left final state", `{"name": "shut", "label": "closed"}`, `{"name": "shut", "final": true}`, `.*leaves final state "shut"`},
		{"dead end", `"final": true, `, ``, `.*no transition leaves state "locked".*`},
		{"state declared twice", `{"name": "open"},`, `{"name": "open"}, {"name": "open"},`, `.*declares state "open" twice`},
		{"name not an identifier", `{"name": "open"},`, `{"name": "open"}, {"name": "half-open"},`, `.*"half-open" is not an identifier`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			content := strings.Replace(doorChart, test.old, test.new, 1)
			c.Assert(content, qt.Not(qt.Equals), doorChart)
			_, err := Load([]byte(content))
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestFireDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	loaded := MustLoad([]byte(doorChart))
	lock, shut := loaded.MustEvent("lock"), loaded.MustEvent("shut")
	allocations := testing.AllocsPerRun(100, func() {
		machine := loaded.NewMachine()
		_, _ = machine.Fire(lock)
		_, _ = machine.Fire(shut)
		_, _ = machine.Fire(lock)
	})
	c.Assert(allocations, qt.Equals, 0.0)
}

func TestPromelaContainsEveryPair(t *testing.T) {
	c := qt.New(t)
	source := MustLoad([]byte(doorChart)).Promela("door.json")
	for _, line := range []string{
		"#define DOOR_LOCKED 2",
		"#define DOOR_EVENT_LOCK 1",
		"#define door_is_closed(s) ((s) == DOOR_SHUT || (s) == DOOR_LOCKED)",
		":: state == DOOR_OPEN && event == DOOR_EVENT_SHUT -> state = DOOR_SHUT",
		":: state == DOOR_OPEN && event == DOOR_EVENT_LOCK -> allowed = false",
		":: state == DOOR_LOCKED && event == DOOR_EVENT_LOCK -> skip",
	} {
		c.Assert(source, qt.Contains, line)
	}
	c.Assert(strings.Count(source, ":: state =="), qt.Equals, 6)
}
