package weights

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/backend"
)

var start = time.Unix(1000, 0)

// world is a fleet of engines that carry out orders.
type world struct {
	now     time.Time
	planner *Planner
	engines map[string]*fakeEngine
	target  Target
	most    int
}

type fakeEngine struct {
	version  int64
	next     int64
	readyAt  time.Time
	orders   int64
	fence    int64
	loads    int
	silent   bool
	believed int64
}

func newWorld(n int, within time.Duration) *world {
	w := &world{now: start, planner: NewPlanner("leader", 7), engines: make(map[string]*fakeEngine)}
	for i := range n {
		w.engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{version: 1, believed: 1}
	}
	w.target = Target{Model: "m", Version: 2, Until: start.Add(within)}
	return w
}

func (w *world) targets() []Target {
	t := w.target
	for id, e := range w.engines {
		t.Engines = append(t.Engines, Engine{Server: backend.Server{ID: id, Address: id}, Version: e.believed})
	}
	return []Target{t}
}

// step plays 50 ms: engines finish their loads and the planner's steps are carried out.
func (w *world) step(lose func(order *Order) bool) {
	w.now = w.now.Add(50 * time.Millisecond)
	loading := 0
	for _, e := range w.engines {
		if e.next > 0 && !w.now.Before(e.readyAt) {
			e.version, e.next = e.next, 0
		}
		if e.next > 0 {
			loading++
		}
	}
	w.most = max(w.most, loading)
	for _, s := range w.planner.Next(w.now, w.targets()) {
		w.carryOut(s, lose)
	}
}

func (w *world) carryOut(s Step, lose func(order *Order) bool) {
	e := w.engines[s.Server]
	if s.Order == nil {
		report := backend.Report{Versions: map[string]int64{"m": e.version}, Loading: e.next > 0, Orders: e.orders}
		if w.planner.Reported(w.now, s.Server, report, !e.silent) {
			e.believed = e.version
		}
		return
	}
	outcome := e.order(s.Order, w.now)
	if lose(s.Order) {
		outcome = Unknown
	}
	w.planner.Ordered(w.now, s.Server, outcome)
}

func (e *fakeEngine) order(o *Order, now time.Time) Outcome {
	switch {
	case e.silent:
		return Unknown
	case o.Fence < e.fence:
		return Fenced
	case e.next > 0 || o.Expected != e.orders:
		return Conflict
	case e.version == o.Version:
		return Holds
	}
	e.fence = o.Fence
	e.orders++
	e.loads++
	e.next, e.readyAt = o.Version, now.Add(1800*time.Millisecond)
	return Accepted
}

func (w *world) left() int {
	n := 0
	for _, e := range w.engines {
		if e.version < w.target.Version && !e.silent {
			n++
		}
	}
	return n
}

func never(*Order) bool { return false }

// A calm rollout loads a sixth of the engines at once, each one once, within its time.
func TestRolloutEndsInTimeWithFewLoadsAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12, 20*time.Second)
	for w.left() > 0 && w.now.Before(w.target.Until) {
		w.step(never)
	}
	c.Assert(w.left(), qt.Equals, 0)
	c.Assert(w.most <= 3, qt.IsTrue, qt.Commentf("%d loads at once", w.most))
	for id, e := range w.engines {
		c.Assert(e.loads, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

// When time is short more load at once.
func TestShortTimeLoadsMoreAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12, 8*time.Second)
	for range 400 {
		w.step(never)
	}
	c.Assert(w.left(), qt.Equals, 0)
	c.Assert(w.most > 2, qt.IsTrue)
	c.Assert(w.most <= 6, qt.IsTrue)
}

// Answers that are lost lead to no second load: the report tells what became of the order.
func TestLostAnswersCauseNoSecondLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 8).Draw(t, "engines"), 20*time.Second)
		for range 1200 {
			w.step(func(*Order) bool { return rapid.IntRange(0, 1).Draw(t, "lost") == 0 })
		}
		if w.left() != 0 {
			t.Fatalf("%d engines still have old weights", w.left())
		}
		for id, e := range w.engines {
			if e.loads != 1 {
				t.Fatalf("engine %s loaded %d times", id, e.loads)
			}
		}
	})
}

// An engine that doesn't answer holds up no other.
func TestSilentEngineHoldsUpNobody(t *testing.T) {
	c := qt.New(t)
	w := newWorld(6, 20*time.Second)
	w.engines["e00"].silent = true
	for range 600 {
		w.step(never)
	}
	c.Assert(w.left(), qt.Equals, 0)
	c.Assert(w.engines["e00"].version, qt.Equals, int64(1))
}

// A newer version that is named on the way is loaded at once by those that have none of the two.
func TestSupersededVersionIsSkipped(t *testing.T) {
	c := qt.New(t)
	w := newWorld(12, 20*time.Second)
	for range 60 {
		w.step(never)
	}
	w.target.Version, w.target.Until = 3, w.now.Add(20*time.Second)
	loads := 0
	for range 800 {
		w.step(never)
	}
	c.Assert(w.left(), qt.Equals, 0)
	for _, e := range w.engines {
		loads += e.loads
	}
	c.Assert(loads < 2*12, qt.IsTrue, qt.Commentf("%d loads", loads))
}

// A leader whose fence was overtaken learns it from the engine.
func TestFencedLeaderGivesUp(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner("old", 7)
	c.Assert(p.Ordered(start, "e", Fenced), qt.IsTrue)
	c.Assert(p.Ordered(start, "e", Accepted), qt.IsFalse)
}
