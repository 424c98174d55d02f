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

// addSent adds a run that is sent to the engine at once.
func addSent(p *prefillQueue, id attempt.ID, work time.Duration, urgency wire.Urgency, now time.Time) {
	p.add(id, work, urgency)
	p.markSent(id, work, now)
}

func TestPromptsAreComputedOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	p := newPrefillQueue()
	now := time.Unix(1000, 0)
	c.Assert(p.wait(urgent, now), qt.Equals, time.Duration(0))
	addSent(p, attempt.ID{1}, time.Second, urgent, now)
	addSent(p, attempt.ID{2}, 2*time.Second, urgent, now)
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	c.Assert(p.wait(urgent, now.Add(400*time.Millisecond)), qt.Equals, 2600*time.Millisecond)
	// The first prompt takes longer than estimated, so the second has not started.
	c.Assert(p.wait(urgent, now.Add(9*time.Second)), qt.Equals, 2*time.Second)
	p.markSent(attempt.ID{2}, time.Second, now) // its pieces were imported
	p.remove(attempt.ID{1}, true, now.Add(time.Second))
	c.Assert(p.wait(urgent, now.Add(1500*time.Millisecond)), qt.Equals, 500*time.Millisecond)
	p.remove(attempt.ID{2}, false, now)
	p.remove(attempt.ID{2}, true, now)
	c.Assert(p.wait(urgent, now), qt.Equals, time.Duration(0))
}

func TestUrgentPromptsPassPatientOnesThatWait(t *testing.T) {
	c := qt.New(t)
	p := newPrefillQueue()
	now := time.Unix(1000, 0)
	addSent(p, attempt.ID{1}, time.Second, patient, now)
	addSent(p, attempt.ID{2}, 4*time.Second, patient, now)
	addSent(p, attempt.ID{3}, 2*time.Second, urgent, now)
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	c.Assert(p.wait(patient, now), qt.Equals, 7*time.Second)
}

func TestReservedPromptsCountUntilTheyExpire(t *testing.T) {
	c := qt.New(t)
	p := newPrefillQueue()
	now := time.Unix(1000, 0)
	p.reserve(1, time.Second, urgent, now.Add(time.Minute))
	p.reserve(2, 2*time.Second, urgent, now.Add(time.Second))
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	p.endReservation(1)
	c.Assert(p.wait(urgent, now), qt.Equals, 2*time.Second)
	c.Assert(p.wait(urgent, now.Add(time.Second)), qt.Equals, time.Duration(0))
	c.Assert(p.reserved, qt.HasLen, 0)
}

func TestSlowEngineIsMeasured(t *testing.T) {
	c := qt.New(t)
	p := newPrefillQueue()
	now := time.Unix(1000, 0)
	for i := range 40 {
		id := attempt.ID{byte(i)}
		addSent(p, id, time.Second, urgent, now)
		now = now.Add(3 * time.Second)
		p.remove(id, true, now)
	}
	addSent(p, attempt.ID{99}, time.Second, urgent, now)
	got := p.wait(urgent, now)
	c.Assert(got > 2900*time.Millisecond && got <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", got))
}

// A run waits for its piece fetch before it is sent to the engine. That wait must not count as slowdown
// of the engine.
func TestWaitingForPiecesDoesNotCountAsSlowness(t *testing.T) {
	c := qt.New(t)
	p := newPrefillQueue()
	now := time.Unix(1000, 0)
	p.add(attempt.ID{1}, 4*time.Second, urgent)
	now = now.Add(10 * time.Second)
	c.Assert(p.wait(urgent, now), qt.Equals, 4*time.Second)
	p.markSent(attempt.ID{1}, time.Second, now)
	now = now.Add(time.Second)
	p.remove(attempt.ID{1}, true, now)
	c.Assert(p.slowdown, qt.Equals, 1.0)
}
