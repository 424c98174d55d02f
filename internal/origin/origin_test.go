package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestOriginIsKeptForItsLifetime(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	o := Origin{Service: "app", SoftwareVersion: "v1"}
	table.Record(start, "r1", o)
	c.Assert(table.Lookup(start.Add(Lifetime-time.Millisecond), "r1"), qt.Equals, o)
	c.Assert(table.Lookup(start.Add(Lifetime), "r1").Known(), qt.IsFalse)
	c.Assert(table.Lookup(start, "r2").Known(), qt.IsFalse)
	table.Record(start.Add(Lifetime), "r2", o)
	c.Assert(table.Len(), qt.Equals, 1)
}

// A stream that is reported with two origins, or whose server's version isn't known, isn't guessed.
func TestContradictingOriginsAreUnknown(t *testing.T) {
	c := qt.New(t)
	for _, other := range []Origin{{"app", "v2"}, {"other", "v1"}, {}} {
		table := NewTable()
		table.Record(start, "r1", Origin{"app", "v1"})
		table.Record(start, "r1", other)
		table.Record(start, "r1", Origin{"app", "v1"})
		c.Assert(table.Lookup(start, "r1").Known(), qt.IsFalse, qt.Commentf("%v", other))
	}
	c.Assert(Origin{Service: "app"}.Known(), qt.IsFalse)
}

func TestUnusableIDsAreUnknown(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for _, id := range []string{"", strings.Repeat("x", MaxIDLength+1)} {
		table.Record(start, id, Origin{"app", "v1"})
		c.Assert(table.Lookup(start, id).Known(), qt.IsFalse)
	}
	c.Assert(table.Len(), qt.Equals, 0)
}

// A full table drops the oldest streams, and holds as many as it may.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	for i := range MaxStreams + 10 {
		table.Record(start, fmt.Sprint(i), Origin{"app", "v1"})
	}
	c.Assert(table.Len(), qt.Equals, MaxStreams)
	c.Assert(table.Lookup(start, fmt.Sprint(MaxStreams+9)).Known(), qt.IsTrue)
	c.Assert(table.Lookup(start, "0").Known(), qt.IsFalse)
}

// Whatever is recorded in whatever order, a known origin is the only one that was recorded for the stream while it was kept.
func TestKnownOriginIsTheOnlyOneRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		recorded := make(map[string][]Origin)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause_ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			o := Origin{rapid.SampledFrom([]string{"app", "llm"}).Draw(t, "service"), rapid.SampledFrom([]string{"v1", "v2", ""}).Draw(t, "version")}
			table.Record(now, id, o)
			recorded[id] = append(recorded[id], o)
			for id, origins := range recorded {
				got := table.Lookup(now, id)
				for _, o := range origins {
					if got.Known() && got != o {
						t.Fatalf("stream %q is at %v after %v", id, got, origins)
					}
				}
			}
		}
	})
}
