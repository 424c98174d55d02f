package agent

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// slowdownSmoothing is the smoothing factor of the slowdown: the weight of the latest run.
	slowdownSmoothing = 0.25
	// minSlowdown and maxSlowdown bound one sample of the slowdown.
	minSlowdown = 0.25
	maxSlowdown = 16.0
	// minSampleWork is the shortest estimated prompt work that is used as a sample of the slowdown.
	minSampleWork = 50 * time.Millisecond
)

// prefillQueue predicts how long a prompt would wait in the engine. The engine has free slots while
// runs generate, but it computes one prompt after the other, urgent ones first, so a free slot does not
// mean a short time to the first token. Only the control goroutine accesses it.
type prefillQueue struct {
	// started holds the runs that have not produced their first token, in the order of their start.
	started []prefillWork
	// lastFirstTokenAt is when a run last produced its first token: the engine then started on the next
	// prompt.
	lastFirstTokenAt time.Time
	// reserved holds the work of probes that may still be dispatched.
	reserved map[admission.ReservationID]prefillWork
	// slowdown is the smoothed ratio of the measured to the estimated time of a prompt.
	slowdown float64
}

// prefillWork is the estimated time to compute a prompt.
type prefillWork struct {
	attempt   attempt.ID
	work      time.Duration
	patient   bool
	sentAt    time.Time // to the engine; zero before
	expiresAt time.Time // of a reservation
}

func newPrefillQueue() *prefillQueue {
	return &prefillQueue{reserved: make(map[admission.ReservationID]prefillWork), slowdown: 1}
}

// add adds a started run, which may still wait for its piece fetch.
func (p *prefillQueue) add(id attempt.ID, work time.Duration, urgency wire.Urgency) {
	p.started = append(p.started, prefillWork{attempt: id, work: work, patient: isPatient(urgency)})
}

// markSent records that a run is sent to the engine now; work is the estimate of what is left to compute.
func (p *prefillQueue) markSent(id attempt.ID, work time.Duration, now time.Time) {
	for i := range p.started {
		if p.started[i].attempt == id {
			p.started[i].work, p.started[i].sentAt = work, now
		}
	}
}

// remove removes a run on its first token, or at its end without one. A first token updates the slowdown.
func (p *prefillQueue) remove(id attempt.ID, gotToken bool, now time.Time) {
	for i, run := range p.started {
		if run.attempt != id {
			continue
		}
		if gotToken {
			p.updateSlowdown(run, p.elapsed(run, now))
			p.lastFirstTokenAt = now
		}
		p.started = append(p.started[:i], p.started[i+1:]...)
		return
	}
}

// updateSlowdown adds the time between two first tokens as a sample. The engine may have computed
// another prompt before, whose run was then cancelled; maxSlowdown bounds such a sample.
func (p *prefillQueue) updateSlowdown(run prefillWork, took time.Duration) {
	if run.work < minSampleWork {
		return
	}
	sample := min(max(float64(took)/float64(run.work), minSlowdown), maxSlowdown)
	p.slowdown += slowdownSmoothing * (sample - p.slowdown)
}

// reserve counts work in later predictions until it is dispatched or expiresAt has passed.
func (p *prefillQueue) reserve(id admission.ReservationID, work time.Duration, urgency wire.Urgency, expiresAt time.Time) {
	p.reserved[id] = prefillWork{work: work, patient: isPatient(urgency), expiresAt: expiresAt}
}

// endReservation removes a reservation when its dispatch has arrived.
func (p *prefillQueue) endReservation(id admission.ReservationID) { delete(p.reserved, id) }

// wait returns how long a prompt of the given urgency would wait if the engine received it now.
func (p *prefillQueue) wait(urgency wire.Urgency, now time.Time) time.Duration {
	var ahead time.Duration
	for i, run := range p.started {
		if i == 0 || isPatient(urgency) || !run.patient {
			ahead += run.work
		}
	}
	for id, probe := range p.reserved {
		if !now.Before(probe.expiresAt) {
			delete(p.reserved, id)
			continue
		}
		if isPatient(urgency) || !probe.patient {
			ahead += probe.work
		}
	}
	remaining := time.Duration(float64(ahead) * p.slowdown)
	if len(p.started) > 0 {
		first := time.Duration(float64(p.started[0].work) * p.slowdown)
		remaining -= min(first, p.elapsed(p.started[0], now))
	}
	return remaining
}

// elapsed returns how long the engine may already have computed the prompt of a run.
func (p *prefillQueue) elapsed(run prefillWork, now time.Time) time.Duration {
	if run.sentAt.IsZero() {
		return 0
	}
	start := run.sentAt
	if p.lastFirstTokenAt.After(start) {
		start = p.lastFirstTokenAt
	}
	return max(0, now.Sub(start))
}

func isPatient(urgency wire.Urgency) bool { return urgency == wire.Urgency_URGENCY_PATIENT }
