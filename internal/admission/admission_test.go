package admission

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Several entries may probe the same idle queue before the first of them dispatches. A reservation must show the
// others the expected wait, so that not all of them pick this queue.
func TestReservationsPreventHerding(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultConfig(1))
	job := Job{Attempt: attempt(1), Organisation: "a", Work: 400}
	c.Assert(q.Predict(start, job), qt.Equals, time.Duration(0))
	c.Assert(q.Reserve(start, 7, job, 50*time.Millisecond), qt.IsTrue)
	c.Assert(q.Reserve(start, 7, job, 50*time.Millisecond), qt.IsFalse)
	other := Job{Attempt: attempt(2), Organisation: "b", Work: 400}
	c.Assert(q.Predict(start, other), qt.Equals, 400*time.Millisecond)

	// The attempt that uses the reservation does not wait for it.
	job.Reservation = 7
	c.Assert(q.Offer(start, job).Wait, qt.Equals, time.Duration(0))

	// An unused reservation expires.
	q.Remove(job.Attempt)
	q.Reserve(start, 8, job, 50*time.Millisecond)
	c.Assert(q.Predict(start.Add(50*time.Millisecond), other), qt.Equals, time.Duration(0))
}

// An organisation that reserves without limit must not raise another's predicted wait by more than one job.
func TestReservationsOfOneOrganisationHaveBoundedEffect(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(1)
	q := New(config)
	for id := range ReservationID(1000) {
		q.Reserve(start, id+1, Job{Organisation: "greedy", Work: 400}, time.Second)
	}
	wait := q.Predict(start, Job{Organisation: "small", Work: 400})
	c.Assert(wait <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("wait %v", wait))
}

func TestRefusalHasReasonAndRetryAfterFromTheQueue(t *testing.T) {
	c := qt.New(t)
	q := New(Config{Slots: 1, MaxQueued: 4, MaxQueuedPerOrganisation: 2, PatientAgeing: time.Second})
	q.Offer(start, Job{Attempt: attempt(1), Organisation: "a", Work: 1000})
	q.Next(start)

	// The running attempt ends at 1,000 ms; the first token takes another 200 ms.
	late := Job{
		Attempt: attempt(2), Organisation: "a", Work: 1000,
		FirstToken: 200 * time.Millisecond, Deadline: start.Add(700 * time.Millisecond),
	}
	c.Assert(q.Offer(start, late), qt.Equals, Verdict{
		Reason:     wire.RefusalReason_REFUSAL_REASON_DEADLINE,
		RetryAfter: 500 * time.Millisecond,
	})
	late.Deadline = start.Add(1200 * time.Millisecond)
	c.Assert(q.Offer(start, late).Accepted, qt.IsTrue)
	q.Offer(start, Job{Attempt: attempt(3), Organisation: "a", Work: 1000})
	full := q.Offer(start, Job{Attempt: attempt(4), Organisation: "a", Work: 1000})
	c.Assert(full.Reason, qt.Equals, wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL)
	c.Assert(full.RetryAfter, qt.Equals, 3*time.Second)

	// Another organisation is still accepted.
	c.Assert(q.Offer(start, Job{Attempt: attempt(5), Organisation: "b", Work: 1}).Accepted, qt.IsTrue)
}

func TestExpiredJobsAreRefusedBeforeAnyWork(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultConfig(1))
	q.Offer(start, Job{Attempt: attempt(1), Organisation: "a", Work: 100})
	q.Next(start)
	q.Offer(start, Job{Attempt: attempt(2), Organisation: "a", Work: 100, Deadline: start.Add(300 * time.Millisecond)})
	q.Offer(start, Job{Attempt: attempt(3), Organisation: "a", Work: 100, Deadline: start.Add(time.Minute)})
	at, ok := q.NextExpiry()
	c.Assert(ok, qt.IsTrue)
	c.Assert(at, qt.Equals, start.Add(300*time.Millisecond))
	c.Assert(q.Expired(at), qt.HasLen, 0)
	expired := q.Expired(at.Add(1))
	c.Assert(expired, qt.HasLen, 1)
	c.Assert(expired[0].Attempt, qt.Equals, attempt(2))
	q.Done(attempt(1), 400)
	job, ok := q.Next(at.Add(1))
	c.Assert(ok, qt.IsTrue)
	c.Assert(job.Attempt, qt.Equals, attempt(3))
}

// Runs that take far longer than estimated must not raise the correction of their kind above its bound. The
// corrections of other kinds must not change.
func TestEstimatesAreCorrectedWithinBounds(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultConfig(1))
	for i := range uint64(200) {
		q.Offer(start, Job{Attempt: attempt(i + 1), Organisation: "a", Kind: "trace", Work: 100})
		q.Next(start)
		q.Done(attempt(i+1), 1e9)
	}
	factor := q.correction.correct("trace", 1)
	c.Assert(factor > 3.9 && factor <= maxCorrection, qt.IsTrue, qt.Commentf("factor %v", factor))
	c.Assert(q.correction.correct("draft", 1), qt.Equals, 1.0)
}

func TestInvalidNumbersDoNotStallTheQueue(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultConfig(1))
	for i, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		verdict := q.Offer(start, Job{Attempt: attempt(uint64(i + 1)), Organisation: "a", Share: v, Work: v})
		c.Assert(verdict.Accepted, qt.IsTrue)
		job, ok := q.Next(start)
		c.Assert(ok, qt.IsTrue)
		q.Done(job.Attempt, v)
	}
}
