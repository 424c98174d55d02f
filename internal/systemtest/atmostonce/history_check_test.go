package atmostonce

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHistoryCheckAcceptsOnlyCorrectHistories runs the checker on right and wrong histories.
func TestHistoryCheckAcceptsOnlyCorrectHistories(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(second int, o outcome) submission {
		call := start.Add(time.Duration(second) * time.Second)
		return submission{key: "k", start: call, end: call.Add(time.Second / 2), outcome: o}
	}
	for _, test := range []struct {
		name    string
		history []submission
		runs    int
		right   bool
	}{
		{"done once", []submission{at(0, outcomeDone), at(1, outcomeDone)}, 1, true},
		{"done but never run", []submission{at(0, outcomeDone)}, 0, false},
		{"run twice", []submission{at(0, outcomeDone), at(1, outcomeDone)}, 2, false},
		{"refused, then done", []submission{at(0, outcomeNotRun), at(1, outcomeDone)}, 1, true},
		{"refused after done", []submission{at(0, outcomeDone), at(1, outcomeNotRun)}, 1, false},
		{"refused and run", []submission{at(0, outcomeNotRun)}, 1, false},
		{"unknown and run", []submission{at(0, outcomeUnknown)}, 1, true},
		{"unknown and not run", []submission{at(0, outcomeUnknown)}, 0, true},
		{"unknown, refused, run late", []submission{at(0, outcomeUnknown), at(1, outcomeNotRun)}, 1, true},
		{"unknown and run twice", []submission{at(0, outcomeUnknown), at(1, outcomeUnknown)}, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(linearizable(test.history, map[string]int{"k": test.runs}), qt.Equals, test.right)
		})
	}
}
