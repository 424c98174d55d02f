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

func TestPromptsAreComputedOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	p := newPrompts()
	now := time.Unix(1000, 0)
	c.Assert(p.wait(urgent, now), qt.Equals, time.Duration(0))
	p.begin(attempt.ID{1}, time.Second, urgent, now)
	p.begin(attempt.ID{2}, 2*time.Second, urgent, now)
	c.Assert(p.wait(urgent, now), qt.Equals, 3*time.Second)
	c.Assert(p.wait(urgent, now.Add(400*time.Millisecond)), qt.Equals, 2600*time.Millisecond)
	c.Assert(p.wait(urgent, now.Add(9*time.Second)), qt.Equals, 2*time.Second)
	p.begin(attempt.ID{2}, time.Second, urgent, now) // its pieces were imported
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
	p.begin(attempt.ID{1}, time.Second, patient, now)
	p.begin(attempt.ID{2}, 4*time.Second, patient, now)
	p.begin(attempt.ID{3}, 2*time.Second, urgent, now)
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
		p.begin(id, time.Second, urgent, now)
		now = now.Add(3 * time.Second)
		p.end(id, true, now)
	}
	p.begin(attempt.ID{99}, time.Second, urgent, now)
	got := p.wait(urgent, now)
	c.Assert(got > 2900*time.Millisecond && got <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", got))
}
