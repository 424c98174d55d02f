package explain

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The memory of the ring is bounded: a new decision replaces the oldest.
func TestRingKeepsTheLatest(t *testing.T) {
	c := qt.New(t)
	ring := NewRing(3)
	for _, request := range []string{"a", "b", "a", "c"} {
		ring.Add(Decision{Request: request, Step: "place"})
	}
	c.Assert(ring.Find(""), qt.HasLen, 3)
	c.Assert(ring.Find("")[0].Request, qt.Equals, "b")
	c.Assert(ring.Find("a"), qt.HasLen, 1)
	got, err := ring.JSON("missing")
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "[]")
}
