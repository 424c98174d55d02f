package admission

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func attempt(n uint64) AttemptID {
	var id AttemptID
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

// queueModel runs a Queue next to a reference model that keeps plain lists.
type queueModel struct {
	queue       *Queue
	config      Config
	now         time.Time
	lastAttempt uint64
	waiting     []Job
	running     []Job
}

func (m *queueModel) offer(t *rapid.T) {
	m.lastAttempt++
	job := Job{
		Attempt:      attempt(m.lastAttempt),
		Organisation: fmt.Sprintf("org-%d", rapid.IntRange(0, 4).Draw(t, "organisation")),
		Share:        rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "share"),
		Kind:         rapid.SampledFrom([]string{"trace", "draft"}).Draw(t, "kind"),
		Urgency:      rapid.SampledFrom([]wire.Urgency{wire.Urgency_URGENCY_URGENT, wire.Urgency_URGENCY_PATIENT}).Draw(t, "urgency"),
		Work:         rapid.Float64Range(0, 5000).Draw(t, "work"),
		Reservation:  ReservationID(rapid.IntRange(0, 3).Draw(t, "reservation")),
	}
	if rapid.Bool().Draw(t, "deadline") {
		job.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
	}
	verdict := m.queue.Offer(m.now, job)
	if !verdict.Accepted {
		m.checkRefusal(t, job, verdict)
		return
	}
	if !job.Deadline.IsZero() && m.now.Add(verdict.Wait).After(job.Deadline) {
		t.Fatalf("accepted a job that is predicted to miss its deadline")
	}
	job.Enqueued = m.now
	m.waiting = append(m.waiting, job)
}

func (m *queueModel) checkRefusal(t *rapid.T, job Job, verdict Verdict) {
	if verdict.RetryAfter <= 0 {
		t.Fatalf("refusal without RetryAfter: %+v", verdict)
	}
	queued := 0
	for _, w := range m.waiting {
		if w.Organisation == job.Organisation {
			queued++
		}
	}
	if verdict.Reason == wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL && queued == 0 && len(m.waiting) < m.config.MaxQueued {
		t.Fatalf("refused an organisation with nothing waiting while the queue has free places")
	}
	if verdict.Reason == wire.RefusalReason_REFUSAL_REASON_DEADLINE && job.Deadline.IsZero() {
		t.Fatalf("deadline refusal without a deadline")
	}
}

func (m *queueModel) offerAgain(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	if !m.queue.Offer(m.now, m.waiting[0]).Accepted {
		t.Fatalf("refused an attempt that is already waiting")
	}
}

func (m *queueModel) dispatch(t *rapid.T) {
	m.expire(t)
	job, ok := m.queue.Next(m.now)
	free := m.config.Slots - len(m.running)
	if ok && (free == 0 || len(m.waiting) == 0) {
		t.Fatalf("Next returned a job with %d of %d slots busy and %d waiting", len(m.running), m.config.Slots, len(m.waiting))
	}
	if !ok && free > m.config.Headroom && len(m.waiting) > 0 {
		t.Fatalf("Next returned nothing with %d slots free, headroom %d and %d waiting", free, m.config.Headroom, len(m.waiting))
	}
	if !ok {
		return
	}
	i := m.waitingIndex(job)
	if i < 0 {
		t.Fatalf("attempt %x is not waiting", job.Attempt)
	}
	m.checkOrder(t, i)
	m.running = append(m.running, job)
	m.waiting = slices.Delete(m.waiting, i, i+1)
}

// checkOrder checks that the chosen job is the first of its flow and that a patient job does not start before an
// urgent one unless a patient job has aged.
func (m *queueModel) checkOrder(t *rapid.T, chosen int) {
	job := m.waiting[chosen]
	aged, urgentWaits := false, false
	for i, w := range m.waiting {
		if i < chosen && w.Organisation == job.Organisation && w.Urgency == job.Urgency {
			t.Fatalf("attempt %x started before the earlier %x of its own flow", job.Attempt, w.Attempt)
		}
		patient := w.Urgency == wire.Urgency_URGENCY_PATIENT
		aged = aged || patient && m.now.Sub(w.Enqueued) >= m.config.PatientAgeing
		urgentWaits = urgentWaits || !patient
	}
	if job.Urgency == wire.Urgency_URGENCY_PATIENT && urgentWaits && !aged {
		t.Fatalf("patient attempt started before urgent ones although no patient attempt had aged")
	}
}

func (m *queueModel) waitingIndex(job Job) int {
	return slices.IndexFunc(m.waiting, func(w Job) bool { return w.Attempt == job.Attempt })
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "run")
	actual := rapid.Float64Range(0, 50000).Draw(t, "actual")
	if !m.queue.Done(m.running[i].Attempt, actual) {
		t.Fatalf("running attempt is unknown")
	}
	if m.queue.Done(m.running[i].Attempt, actual) {
		t.Fatalf("Done accepted the end of an attempt twice")
	}
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *queueModel) remove(t *rapid.T) {
	if len(m.running) > 0 && m.queue.Remove(m.running[0].Attempt) {
		t.Fatalf("removed a running attempt")
	}
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiting")
	if !m.queue.Remove(m.waiting[i].Attempt) {
		t.Fatalf("waiting attempt is unknown")
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
}

func (m *queueModel) expire(t *rapid.T) {
	for _, job := range m.queue.Expired(m.now) {
		i := m.waitingIndex(job)
		if i < 0 {
			t.Fatalf("expired attempt %x was not waiting", job.Attempt)
		}
		if !m.waiting[i].Deadline.Before(m.now) {
			t.Fatalf("expired attempt %x could still start", job.Attempt)
		}
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
	for _, w := range m.waiting {
		if !w.Deadline.IsZero() && w.Deadline.Before(m.now) {
			t.Fatalf("attempt %x is still waiting after its deadline", w.Attempt)
		}
	}
}

func (m *queueModel) reserve(t *rapid.T) {
	id := ReservationID(rapid.IntRange(0, 3).Draw(t, "id"))
	work := rapid.Float64Range(1, 1000).Draw(t, "work")
	m.queue.Reserve(m.now, id, Job{Organisation: "org-0", Work: work}, time.Second)
}

func (m *queueModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *queueModel) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) || m.queue.Running() != len(m.running) {
		t.Fatalf("queue has %d waiting and %d running, want %d and %d",
			m.queue.Len(), m.queue.Running(), len(m.waiting), len(m.running))
	}
	if len(m.waiting) > m.config.MaxQueued {
		t.Fatalf("%d waiting exceed the limit %d", len(m.waiting), m.config.MaxQueued)
	}
	counts := make(map[string]int)
	for _, w := range m.waiting {
		counts[w.Organisation]++
	}
	for name, count := range counts {
		if count > m.config.MaxQueuedPerOrganisation {
			t.Fatalf("%s has %d waiting, limit %d", name, count, m.config.MaxQueuedPerOrganisation)
		}
	}
}

// TestQueueAgainstReference checks that no attempt is lost, duplicated or run after a refusal, that a
// free slot outside the headroom does not stay idle, that flows are first in first out and that limits and ageing hold.
func TestQueueAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Slots:                    rapid.IntRange(1, 5).Draw(t, "slots"),
			Headroom:                 rapid.IntRange(0, 1).Draw(t, "headroom"),
			MaxQueued:                12,
			MaxQueuedPerOrganisation: 5,
			PatientAgeing:            4 * time.Second,
		}
		m := &queueModel{queue: New(config), config: config, now: start}
		t.Repeat(map[string]func(*rapid.T){
			"offer":      m.offer,
			"offerAgain": m.offerAgain,
			"dispatch":   m.dispatch,
			"finish":     m.finish,
			"remove":     m.remove,
			"expire":     m.expire,
			"reserve":    m.reserve,
			"advance":    m.advance,
			"":           m.check,
		})
	})
}
