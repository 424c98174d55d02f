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

// simulation drives a planner against fake engines in virtual time.
type simulation struct {
	now      time.Time
	planner  *Planner
	engines  map[string]*fakeEngine
	target   Target
	schedule *Schedule
	// maxLoading is the most engines in use that loaded at once.
	maxLoading int
	// loadTime is the time that a load takes.
	loadTime time.Duration
}

type fakeEngine struct {
	version         int64
	loadingVersion  int64
	loadEnds        time.Time
	orders          int64
	fence           int64
	loads           int
	unreachable     bool
	evacuated       bool
	reportedVersion int64
}

func newSimulation(n int, timeout time.Duration) *simulation {
	w := &simulation{now: start, planner: NewPlanner("leader", 7, 0), engines: make(map[string]*fakeEngine), schedule: NewSchedule(), loadTime: 1800 * time.Millisecond}
	for i := range n {
		w.engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{version: 1, reportedVersion: 1}
	}
	w.schedule.SetWithin(timeout)
	w.setTarget(2)
	return w
}

// setTarget makes a version the target now.
func (w *simulation) setTarget(version int64) {
	w.target = Target{Model: "m", Version: version}
	w.schedule.Add(TargetVersion{Model: "m", Version: version, SetAt: w.now})
}

func (w *simulation) targets() []Target {
	t := w.target
	for id, e := range w.engines {
		deadline, _ := w.schedule.Deadline("m", e.reportedVersion)
		t.Engines = append(t.Engines, Engine{Server: backend.Server{ID: id, Address: id}, Version: e.reportedVersion, Deadline: deadline, Evacuated: e.evacuated})
	}
	return []Target{t}
}

// step advances the time by 50 ms, ends the loads that are due and carries out the planner's steps.
// The response to an order is lost when loseReply returns true.
func (w *simulation) step(loseReply func(order *Order) bool) {
	w.now = w.now.Add(50 * time.Millisecond)
	loading := 0
	for _, e := range w.engines {
		if e.loadingVersion > 0 && !w.now.Before(e.loadEnds) {
			e.version, e.loadingVersion = e.loadingVersion, 0
		}
		if e.loadingVersion > 0 && !e.evacuated {
			loading++
		}
	}
	w.maxLoading = max(w.maxLoading, loading)
	for _, s := range w.planner.Next(w.now, w.targets()) {
		w.carryOut(s, loseReply)
	}
}

func (w *simulation) carryOut(s Step, loseReply func(order *Order) bool) {
	e := w.engines[s.Server]
	if s.Order == nil {
		report := backend.Report{Versions: map[string]int64{"m": e.version}, Loading: e.loadingVersion > 0, AcceptedOrders: e.orders}
		w.planner.RecordReport(w.now, s.Server, report, !e.unreachable)
		if !report.Loading && !e.unreachable {
			e.reportedVersion = e.version
		}
		return
	}
	outcome := e.order(s.Order, w.now, w.loadTime)
	if loseReply(s.Order) {
		outcome = Unknown
	}
	w.planner.RecordOutcome(w.now, s.Server, outcome)
}

func (e *fakeEngine) order(o *Order, now time.Time, loadTime time.Duration) Outcome {
	switch {
	case e.unreachable:
		return Unknown
	case o.Fence < e.fence:
		return Fenced
	case e.loadingVersion > 0 || o.Expected != e.orders:
		return Conflict
	case e.version == o.Version:
		return AlreadyLoaded
	}
	e.fence = o.Fence
	e.orders++
	e.loads++
	e.loadingVersion, e.loadEnds = o.Version, now.Add(loadTime)
	return Accepted
}

func (w *simulation) outdated() int {
	n := 0
	for _, e := range w.engines {
		if e.version < w.target.Version && !e.unreachable {
			n++
		}
	}
	return n
}

func loseNone(*Order) bool { return false }

// Without faults the rollout loads about a sixth of the engines at once, each one once, and ends in time.
func TestRolloutEndsInTimeWithFewLoadsAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(12, 20*time.Second)
	for w.outdated() > 0 && w.now.Before(start.Add(20*time.Second)) {
		w.step(loseNone)
	}
	c.Assert(w.outdated(), qt.Equals, 0)
	c.Assert(w.maxLoading <= 3, qt.IsTrue, qt.Commentf("%d loads at once", w.maxLoading))
	for id, e := range w.engines {
		c.Assert(e.loads, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

// When the time is short, more engines load at once.
func TestShortTimeLoadsMoreAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(12, 8*time.Second)
	for range 400 {
		w.step(loseNone)
	}
	c.Assert(w.outdated(), qt.Equals, 0)
	c.Assert(w.maxLoading > 2, qt.IsTrue)
	c.Assert(w.maxLoading <= 6, qt.IsTrue)
}

// A lost response to an order causes no second load, because the engine's report shows the outcome of the order.
func TestLostAnswersCauseNoSecondLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 8).Draw(t, "engines"), 20*time.Second)
		for range 1200 {
			w.step(func(*Order) bool { return rapid.IntRange(0, 1).Draw(t, "lost") == 0 })
		}
		if w.outdated() != 0 {
			t.Fatalf("%d engines still have old weights", w.outdated())
		}
		for id, e := range w.engines {
			if e.loads != 1 {
				t.Fatalf("engine %s loaded %d times", id, e.loads)
			}
		}
	})
}

// An engine that does not respond must not block the rollout of the others.
func TestUnreachableEngineDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(6, 20*time.Second)
	w.engines["e00"].unreachable = true
	for range 600 {
		w.step(loseNone)
	}
	c.Assert(w.outdated(), qt.Equals, 0)
	c.Assert(w.engines["e00"].version, qt.Equals, int64(1))
}

// When a newer target version is set during a rollout, engines that have neither of the two load the newer one
// directly.
func TestSupersededVersionIsSkipped(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(12, 20*time.Second)
	for range 60 {
		w.step(loseNone)
	}
	w.setTarget(3)
	loads := 0
	for range 800 {
		w.step(loseNone)
	}
	c.Assert(w.outdated(), qt.Equals, 0)
	for _, e := range w.engines {
		loads += e.loads
	}
	c.Assert(loads < 2*12, qt.IsTrue, qt.Commentf("%d loads", loads))
}

// Engines that have the oldest of three versions load first and in time, although a newer target leaves the others more time.
func TestEnginesDueFirstLoadFirst(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(12, 15*time.Second)
	firstDeadline := start.Add(15 * time.Second)
	for i := range 8 {
		e := w.engines[fmt.Sprintf("e%02d", i)]
		e.version, e.reportedVersion = 2, 2
	}
	for w.now.Before(start.Add(11500 * time.Millisecond)) {
		w.now = w.now.Add(50 * time.Millisecond)
	}
	w.setTarget(3)
	for w.now.Before(firstDeadline) {
		w.step(loseNone)
	}
	for id, e := range w.engines {
		c.Assert(e.version > 1, qt.IsTrue, qt.Commentf("engine %s", id))
	}
	c.Assert(w.maxLoading <= 6, qt.IsTrue)
}

// Guards against loads of engines that had just loaded: a new leader that didn't know it ordered these before the ones due first.
func TestEngineFoundWithNewerWeightsYieldsToThoseDueFirst(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		w := newSimulation(2, 15*time.Second)
		w.now = w.now.Add(4 * time.Second)
		w.setTarget(3)
		loaded, due := w.engines["e00"], w.engines["e01"]
		loaded.version = 2
		for loaded.loads+due.loads == 0 {
			w.step(loseNone)
		}
		c.Assert(due.loads, qt.Equals, 1)
	}
}

// A leader whose fence is outdated must release its lease when an engine refuses an order as fenced.
func TestFencedLeaderMustReleaseItsLease(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner("old", 7, 0)
	c.Assert(p.RecordOutcome(start, "e", Fenced), qt.IsTrue)
	c.Assert(p.RecordOutcome(start, "e", Accepted), qt.IsFalse)
}

// evacuate sets whether the first n engines are evacuated.
func (w *simulation) evacuate(n int, evacuated bool) {
	for i := range n {
		w.engines[fmt.Sprintf("e%02d", i)].evacuated = evacuated
	}
}

// Guards against a rollout that counts evacuated engines as capacity: too many of the engines in use would load at once, and the
// evacuated ones, which get no requests, would wait for their turn.
func TestEvacuatedEnginesLoadAtOnceAndAreNoCapacity(t *testing.T) {
	for _, test := range []struct{ evacuated, maxLoading int }{{8, 2}, {16, 1}, {24, 0}} {
		c := qt.New(t)
		w := newSimulation(24, 60*time.Second)
		w.evacuate(test.evacuated, true)
		for range 10 {
			w.step(loseNone)
		}
		for id, e := range w.engines {
			c.Check(!e.evacuated || e.loads == 1, qt.IsTrue, qt.Commentf("evacuated engine %s hasn't loaded", id))
		}
		for w.outdated() > 0 && w.now.Before(start.Add(60*time.Second)) {
			w.step(loseNone)
		}
		c.Check(w.outdated(), qt.Equals, 0)
		c.Check(w.maxLoading <= test.maxLoading, qt.IsTrue, qt.Commentf("%d of the engines in use load at once, %d evacuated", w.maxLoading, test.evacuated))
	}
}

// Guards against engines that get no requests after the end of their evacuation because all of them wait for their turn to load,
// and against loads that aren't counted because they began during the evacuation.
func TestEndOfEvacuationCountsItsEnginesAgain(t *testing.T) {
	const limit = 3 // an eighth of 24 engines
	for steps := 1; steps < 60; steps++ {
		c := qt.New(t)
		w := newSimulation(24, 60*time.Second)
		w.evacuate(8, true)
		for range steps {
			w.step(loseNone)
		}
		w.evacuate(8, false)
		orders := func() (n int) {
			for _, e := range w.engines {
				n += e.loads
			}
			return n
		}
		before, loading := orders(), 0
		for _, e := range w.engines {
			if e.loadingVersion > 0 {
				loading++
			}
		}
		w.step(loseNone)
		c.Assert(len(w.planner.Excluded()) <= loading+limit, qt.IsTrue, qt.Commentf("%d without requests beside %d loads after %d steps", len(w.planner.Excluded()), loading, steps))
		c.Assert(loading <= limit || orders() == before, qt.IsTrue, qt.Commentf("an order beside %d loads", loading))
		for w.outdated() > 0 && w.now.Before(start.Add(60*time.Second)) {
			w.step(loseNone)
		}
		c.Assert(w.outdated(), qt.Equals, 0)
	}
}

// Guards against a new leader that loads too few engines at once, because it expects loads to be shorter than they are.
func TestNewLeaderPlansWithTheLoadTimeOfTheFormer(t *testing.T) {
	c := qt.New(t)
	const loadTime = 4 * time.Second
	loadsAtOnce := func(known time.Duration) int {
		w := newSimulation(12, 10*time.Second)
		w.planner = NewPlanner("next", 8, known)
		for range 10 {
			w.step(loseNone)
		}
		return w.maxLoading
	}
	former := newSimulation(12, 10*time.Second)
	former.loadTime = loadTime
	for range 400 {
		former.step(loseNone)
	}
	measured := former.planner.LoadTime()
	c.Assert((measured-loadTime).Abs() < time.Second, qt.IsTrue, qt.Commentf("%s measured", measured))
	c.Assert(NewPlanner("next", 8, 0).LoadTime(), qt.Equals, initialLoadTime)
	c.Assert(loadsAtOnce(0), qt.Equals, 4)
	c.Assert(loadsAtOnce(measured), qt.Equals, 6)
}
