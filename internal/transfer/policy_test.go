package transfer

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/piece"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

var epoch = time.Unix(1_000_000, 0)

func TestLinkStartsUrgentClassesFirstAndKeepsItsRate(t *testing.T) {
	c := qt.New(t)
	const rate = 1000.0 // 50 bytes of burst
	l := NewLink(rate, epoch)
	var started []Class
	add := func(class Class) *Transfer {
		tr := &Transfer{Class: class, Bytes: 50}
		tr.Start = func() { started = append(started, tr.Class) }
		l.Enqueue(tr)
		return tr
	}
	add(Export)
	promoted := add(Export)
	add(PatientFetch)
	add(UrgentFetch)
	cancelled := add(UrgentFetch)
	c.Assert(l.Cancel(cancelled), qt.IsTrue)
	l.Promote(promoted, UrgentFetch)
	now := epoch
	for range 4 {
		wait := l.StartTransfers(now)
		l.Finish(time.Millisecond)
		c.Assert(wait <= 51*time.Millisecond, qt.IsTrue, qt.Commentf("wait of %v", wait))
		now = now.Add(51 * time.Millisecond)
	}
	c.Assert(started, qt.DeepEquals, []Class{UrgentFetch, UrgentFetch, PatientFetch, Export})
	c.Assert(l.Cancel(promoted), qt.IsFalse)
}

func TestLinkPredictionCountsOnlyTransfersAhead(t *testing.T) {
	c := qt.New(t)
	l := NewLink(1000, epoch)
	l.Enqueue(&Transfer{Class: Export, Bytes: 1000})
	l.Enqueue(&Transfer{Class: PatientFetch, Bytes: 500})
	c.Assert(l.Predict(UrgentFetch, 1, 250, epoch), qt.Equals, 200*time.Millisecond)
	c.Assert(l.Predict(PatientFetch, 1, 250, epoch), qt.Equals, 700*time.Millisecond)
	c.Assert(l.Predict(Export, 1, 250, epoch), qt.Equals, 1700*time.Millisecond)
	c.Assert(l.Predict(UrgentFetch, 0, 0, epoch), qt.Equals, time.Duration(0))
}

func testChoiceInput() ChoiceInput {
	return ChoiceInput{
		Missing: 8, Available: 6, PieceBytes: 1 << 20, PiecePrefill: 50 * time.Millisecond,
		RestPrefill: 10 * time.Millisecond, PieceTokens: 1000, Deadline: time.Second,
		FetchTime: func(n int) time.Duration { return time.Duration(n) * 20 * time.Millisecond },
	}
}

func TestChooseFetchesOnlyWhenItIsFaster(t *testing.T) {
	c := qt.New(t)
	in := testChoiceInput()
	c.Assert(Choose(in), qt.DeepEquals, Choice{
		Pieces: 6, FetchTime: 120 * time.Millisecond, TTFT: 230 * time.Millisecond, Bytes: 6 << 20,
	})
	in.FetchTime = func(n int) time.Duration { return time.Duration(n) * 60 * time.Millisecond }
	c.Assert(Choose(in).Pieces, qt.Equals, 0)
	in.Queue = 200 * time.Millisecond // a fourth piece takes 40 ms beyond the queue time and saves 50
	c.Assert(Choose(in).Pieces, qt.Equals, 4)
	in.Patient = true
	c.Assert(Choose(in).Pieces, qt.Equals, 6)
	in.Deadline = 475 * time.Millisecond // six pieces take 470
	c.Assert(Choose(in).Pieces, qt.Equals, 6)
	in.Deadline = 455 * time.Millisecond // only four pieces, in 450, are in time
	c.Assert(Choose(in).Pieces, qt.Equals, 4)
	in.Deadline = 440 * time.Millisecond // no choice is in time, so the fastest is taken
	c.Assert(Choose(in).Pieces, qt.Equals, 4)
}

// For any link, an urgent choice is never slower than recomputing everything, and no choice misses a
// deadline that recomputing everything meets.
func TestChoiceIsNeverWorseThanRecomputing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testChoiceInput()
		in.Missing = rapid.IntRange(0, 10).Draw(t, "missing")
		in.Available = rapid.IntRange(0, 12).Draw(t, "available")
		in.Queue = time.Duration(rapid.IntRange(0, 500).Draw(t, "queue")) * time.Millisecond
		each := time.Duration(rapid.IntRange(0, 200).Draw(t, "fetch")) * time.Millisecond
		in.FetchTime = func(n int) time.Duration { return time.Duration(n) * each }
		in.Patient = rapid.Bool().Draw(t, "patient")
		chosen, recompute := Choose(in), in.predict(0)
		if chosen.Pieces > in.Missing || chosen.Pieces > in.Available {
			t.Fatalf("%d pieces of %d available and %d missing", chosen.Pieces, in.Available, in.Missing)
		}
		if !in.Patient && chosen.TTFT > recompute.TTFT {
			t.Fatalf("fetching takes %v, recomputing %v", chosen.TTFT, recompute.TTFT)
		}
		if recompute.TTFT <= in.Deadline && chosen.TTFT > in.Deadline {
			t.Fatalf("the choice misses a deadline that recomputing meets")
		}
	})
}

func TestReturnsAreEstimatedByOrganisation(t *testing.T) {
	c := qt.New(t)
	r := NewReturns()
	prompt := func(conversation, turns int) []piece.Name {
		names := make([]piece.Name, turns)
		for i := range names {
			names[i] = piece.Name{byte(conversation), byte(i + 1)}
		}
		return names
	}
	for i := range 50 {
		r.Observe("returns", prompt(i, 1))
		turn, _ := r.Observe("returns", prompt(i, 2))
		c.Assert(turn, qt.Equals, 1)
		r.Observe("leaves", prompt(100+i, 1))
	}
	_, frequent := r.Observe("returns", prompt(90, 1))
	_, rare := r.Observe("leaves", prompt(91, 1))
	c.Assert(frequent > 0.9, qt.IsTrue, qt.Commentf("return probability %v", frequent))
	c.Assert(rare < 0.1, qt.IsTrue, qt.Commentf("return probability %v", rare))
}

func TestExportsOrderByValueThenPosition(t *testing.T) {
	c := qt.New(t)
	e := NewExports()
	e.Offer(Candidate{Piece: piece.Name{1}, Position: 1, Value: 2})
	e.Offer(Candidate{Piece: piece.Name{2}, Position: 0, Value: 2})
	e.Offer(Candidate{Piece: piece.Name{3}, Position: 5, Value: 9})
	e.Offer(Candidate{Piece: piece.Name{4}, Value: minValue / 2})
	c.Assert(e.Dropped(), qt.Equals, uint64(1))
	for _, want := range []byte{3, 2, 1} {
		got, ok := e.Next()
		c.Assert(ok, qt.IsTrue)
		c.Assert(got.Piece[0], qt.Equals, want)
	}
	_, ok := e.Next()
	c.Assert(ok, qt.IsFalse)
}

func TestLeastValuablePieceIsEvictedAndValuesDecay(t *testing.T) {
	c := qt.New(t)
	l := NewLocations(epoch)
	add := func(id byte, store string, own bool, value float64, at time.Time) {
		l.Add(Location{Piece: piece.Name{id}, Store: store, Own: own}, value, at)
	}
	add(1, "a", true, 8, epoch)
	add(2, "a", true, 5, epoch.Add(2*valueHalfLife)) // worth 20 at the epoch
	add(3, "a", false, 1, epoch)
	add(4, "b", true, 1, epoch)
	victim, ok := l.Victim("a", 10, epoch)
	c.Assert(ok, qt.IsTrue)
	c.Assert(victim, qt.Equals, piece.Name{1})
	_, ok = l.Victim("a", 7, epoch)
	c.Assert(ok, qt.IsFalse)
	names := []piece.Name{{1}, {2}, {9}}
	c.Assert(l.Run(names), qt.Equals, 2)
	l.Remove(piece.Name{1})
	c.Assert(l.Run(names), qt.Equals, 0)
	c.Assert(l.Len(), qt.Equals, 3)
	for i := range maxLocations {
		name := piece.Name{0xff, byte(i), byte(i >> 8), byte(i >> 16)}
		dropped, ok := l.Add(Location{Piece: name}, 100, epoch)
		c.Assert(ok, qt.Equals, i >= maxLocations-3)
		if i == maxLocations-3 {
			c.Assert(dropped.Piece == piece.Name{3} || dropped.Piece == piece.Name{4}, qt.IsTrue)
		}
	}
	c.Assert(l.Len(), qt.Equals, maxLocations)
}
