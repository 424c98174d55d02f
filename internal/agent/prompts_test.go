package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	urgent  = wire.Urgency_URGENCY_URGENT
	patient = wire.Urgency_URGENCY_PATIENT
)

// start begins a run that goes to the engine at once.
func start(p *prompts, id attempt.ID, work time.Duration, urgency wire.Urgency, now time.Time) {
	p.begin(id, work, urgency)
	p.sent(id, work, now)
}

func TestPromptsAreComputedOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	p := newPrompts()
	now := time.Unix(1000, 0)
	c.Assert(p.wait(urgent, now), qt.Equals, time.Duration(0))
	start(p, attempt.ID{1}, time.Second, urgent, now)
	start(p, attempt.ID{2}, 2*time.Second, urgent, now)
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	c.Assert(p.wait(urgent, now.Add(400*time.Millisecond)), qt.Equals, 2600*time.Millisecond)
	c.Assert(p.wait(urgent, now.Add(9*time.Second)), qt.Equals, 2*time.Second)
	p.sent(attempt.ID{2}, time.Second, now) // its pieces were imported
	p.end(attempt.ID{1}, true, now.Add(time.Second))
	c.Assert(p.wait(urgent, now.Add(1500*time.Millisecond)), qt.Equals, 500*time.Millisecond)
	p.end(attempt.ID{2}, false, now)
	p.end(attempt.ID{2}, true, now)
	c.Assert(p.wait(urgent, now), qt.Equals, time.Duration(0))
}

func TestUrgentPromptsPassPatientOnesThatWait(t *testing.T) {
	c := qt.New(t)
	p := newPrompts()
	now := time.Unix(1000, 0)
	start(p, attempt.ID{1}, time.Second, patient, now)
	start(p, attempt.ID{2}, 4*time.Second, patient, now)
	start(p, attempt.ID{3}, 2*time.Second, urgent, now)
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	c.Assert(p.wait(patient, now), qt.Equals, 7*time.Second)
}

func TestReservedPromptsCountUntilTheyLapse(t *testing.T) {
	c := qt.New(t)
	p := newPrompts()
	now := time.Unix(1000, 0)
	p.reserve(1, time.Second, urgent, now.Add(time.Minute))
	p.reserve(2, 2*time.Second, urgent, now.Add(time.Second))
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	p.use(1)
	c.Assert(p.wait(urgent, now), qt.Equals, 2*time.Second)
	c.Assert(p.wait(urgent, now.Add(time.Second)), qt.Equals, time.Duration(0))
	c.Assert(p.reserved, qt.HasLen, 0)
}

func TestSlowEngineIsMeasured(t *testing.T) {
	c := qt.New(t)
	p := newPrompts()
	now := time.Unix(1000, 0)
	for i := range 40 {
		id := attempt.ID{byte(i)}
		start(p, id, time.Second, urgent, now)
		now = now.Add(3 * time.Second)
		p.end(id, true, now)
	}
	start(p, attempt.ID{99}, time.Second, urgent, now)
	got := p.wait(urgent, now)
	c.Assert(got > 2900*time.Millisecond && got <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", got))
}

// The time in which pieces are fetched is not the engine's.
func TestWaitingForPiecesDoesNotCountAsSlowness(t *testing.T) {
	c := qt.New(t)
	p := newPrompts()
	now := time.Unix(1000, 0)
	p.begin(attempt.ID{1}, 4*time.Second, urgent)
	now = now.Add(10 * time.Second)
	c.Assert(p.wait(urgent, now), qt.Equals, 4*time.Second)
	p.sent(attempt.ID{1}, time.Second, now)
	now = now.Add(time.Second)
	p.end(attempt.ID{1}, true, now)
	c.Assert(p.slowness, qt.Equals, 1.0)
}
