package cacheindex

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/piece"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func name(i int) piece.Name { return piece.Name{byte(i), 1} }

func syncedIndex(pieces ...piece.Name) *Index {
	x := New()
	x.Resync(pieces, 10, start)
	return x
}

func TestPrefixEndsAtTheFirstMissingPiece(t *testing.T) {
	c := qt.New(t)
	x := syncedIndex(name(1), name(2), name(4))
	prompt := []piece.Name{name(1), name(2), name(3), name(4)}
	c.Assert(x.Prefix(prompt, start), qt.Equals, 2)
	x.AddUnconfirmed(name(3), start)
	c.Assert(x.Prefix(prompt, start), qt.Equals, 4)
	x.TakeChanges()
	x.Remove(name(1))
	x.Remove(name(3))
	c.Assert(x.TakeChanges(), qt.DeepEquals, []Change{{name(1), false}, {name(3), false}})
	c.Assert(x.Prefix(prompt, start), qt.Equals, 0)
}

func TestGapsMakeTheIndexSuspect(t *testing.T) {
	c := qt.New(t)
	c.Assert(New().NeedsResync(), qt.IsTrue)
	x := syncedIndex()
	x.Apply([]Event{{11, Stored, name(1)}, {12, Stored, name(2)}}, 12, start)
	c.Assert(x.NeedsResync(), qt.IsFalse)
	x.Apply([]Event{{14, Stored, name(4)}}, 14, start)
	c.Assert(x.NeedsResync(), qt.IsTrue)
	c.Assert(x.Has(name(4), start), qt.IsTrue)
	x.Resync([]piece.Name{name(3), name(4)}, 15, start)
	c.Assert(x.State(start.Add(time.Second)), qt.DeepEquals, State{
		Pieces: 2, Sequence: 15, Synced: true, AgeMS: 1000, Gaps: 1, Resyncs: 2,
	})
	// The last event before the poll was lost.
	x.Apply(nil, 16, start)
	c.Assert(x.NeedsResync(), qt.IsTrue)
}

// A resync may include events that the index receives only afterwards.
func TestResyncAheadOfLateEventsIsNoGap(t *testing.T) {
	c := qt.New(t)
	x := New()
	x.Apply([]Event{{1, Stored, name(1)}}, 1, start)
	x.Resync([]piece.Name{name(2)}, 3, start)
	x.Apply([]Event{{2, Removed, name(1)}}, 2, start)
	c.Assert(x.NeedsResync(), qt.IsFalse)
	x.Apply([]Event{{3, Stored, name(2)}, {4, Removed, name(2)}}, 4, start)
	c.Assert(x.NeedsResync(), qt.IsFalse)
	c.Assert(x.Has(name(2), start), qt.IsFalse)
}

func TestRestartOfTheEngineMakesTheIndexSuspect(t *testing.T) {
	c := qt.New(t)
	x := syncedIndex(name(1))
	x.Apply([]Event{{11, Stored, name(2)}}, 11, start)
	x.Apply(nil, 0, start)
	c.Assert(x.NeedsResync(), qt.IsTrue)
	x.Resync(nil, 0, start)
	x.Apply([]Event{{1, Stored, name(3)}}, 1, start)
	c.Assert(x.NeedsResync(), qt.IsFalse)
	c.Assert(x.Prefix([]piece.Name{name(3)}, start), qt.Equals, 1)
	c.Assert(x.Has(name(1), start), qt.IsFalse)
}

func TestUnconfirmedPiecesExpire(t *testing.T) {
	c := qt.New(t)
	x := syncedIndex()
	x.AddUnconfirmed(name(1), start)
	x.AddUnconfirmed(name(2), start)
	// A delayed event from before the import reports that the piece was removed.
	x.Apply([]Event{{11, Removed, name(1)}, {12, Stored, name(2)}}, 12, start.Add(time.Second))
	c.Assert(x.Has(name(1), start.Add(time.Second)), qt.IsTrue)
	later := start.Add(unconfirmedTTL)
	c.Assert(x.Has(name(1), later), qt.IsFalse)
	x.Expire(later)
	c.Assert(x.Has(name(2), later), qt.IsTrue)
	c.Assert(x.TakeChanges(), qt.DeepEquals, []Change{{name(1), true}, {name(2), true}, {name(1), false}})
	c.Assert(x.TakeChanges(), qt.HasLen, 0)
}

func TestConfirmedPieceIsRemovedByAnEvent(t *testing.T) {
	c := qt.New(t)
	x := syncedIndex()
	x.AddUnconfirmed(name(1), start)
	x.Apply([]Event{{11, Stored, name(1)}}, 11, start)
	x.AddUnconfirmed(name(1), start) // a second run of the same prompt
	x.Apply([]Event{{12, Removed, name(1)}}, 12, start)
	c.Assert(x.Has(name(1), start), qt.IsFalse)
	c.Assert(x.TakeChanges(), qt.DeepEquals, []Change{{name(1), true}, {name(1), false}})
}

// An index that resyncs whenever it is suspect must equal the cache after any loss of events, and
// its changes must add up to its content.
func TestIndexFollowsTheCacheThroughLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := map[piece.Name]bool{}
		changed := map[piece.Name]bool{}
		x := New()
		sequence := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "polls") {
			var events []Event
			for range rapid.IntRange(0, 4).Draw(t, "events") {
				n := name(rapid.IntRange(0, 5).Draw(t, "piece"))
				sequence++
				e := Event{sequence, Stored, n}
				if cache[n] {
					e.Kind = Removed
				}
				cache[n] = !cache[n]
				if !rapid.Bool().Draw(t, "lost") {
					events = append(events, e)
				}
			}
			x.Apply(events, sequence, start)
			if x.NeedsResync() {
				x.Resync(presentPieces(cache), sequence, start)
			}
			for _, change := range x.TakeChanges() {
				changed[change.Piece] = change.Present
			}
			for i := range 6 {
				n := name(i)
				if x.Has(n, start) != cache[n] || changed[n] != cache[n] {
					t.Fatalf("piece %d: index %v, changes %v, cache %v", i, x.Has(n, start), changed[n], cache[n])
				}
			}
		}
	})
}

func presentPieces(cache map[piece.Name]bool) []piece.Name {
	var names []piece.Name
	for n, ok := range cache {
		if ok {
			names = append(names, n)
		}
	}
	return names
}
