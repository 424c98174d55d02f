package agent

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// speedWeight is the weight of the latest run in the engine's measured slowness.
	speedWeight = 0.25
	// minSlowness and maxSlowness bound the measured slowness.
	minSlowness = 0.25
	maxSlowness = 16.0
	// minSpeedSample is the least estimated prompt work from which slowness is measured.
	minSpeedSample = 50 * time.Millisecond
)

// prompts predicts how long a prompt would wait in the engine. The engine has free slots while
// runs generate, but it computes one prompt after the other, urgent ones first, so free slots alone
// say little about the time to the first token. Only the control goroutine touches it.
type prompts struct {
	// begun holds the runs whose first token has not come, in the order of their start.
	begun []promptWork
	// computing is when the last first token came: the engine then went on to the next prompt.
	computing time.Time
	// reserved holds the work of probes that may still be dispatched.
	reserved map[admission.ReservationID]promptWork
	// slowness is the time that prompts take over the time estimated for them.
	slowness float64
}

// promptWork is the estimated time to compute a prompt.
type promptWork struct {
	attempt attempt.ID
	work    time.Duration
	patient bool
	sent    time.Time // to the engine; zero before
	until   time.Time // of a reservation
}

func newPrompts() *prompts {
	return &prompts{reserved: make(map[admission.ReservationID]promptWork), slowness: 1}
}

// begin takes a run that was started and may still wait for pieces.
func (p *prompts) begin(id attempt.ID, work time.Duration, urgency wire.Urgency) {
	p.begun = append(p.begun, promptWork{attempt: id, work: work, patient: isPatient(urgency)})
}

// sent takes a run that goes to the engine now, with the estimate of what is left to compute.
func (p *prompts) sent(id attempt.ID, work time.Duration, now time.Time) {
	for i := range p.begun {
		if p.begun[i].attempt == id {
			p.begun[i].work, p.begun[i].sent = work, now
		}
	}
}

// end takes the first token of a run, or its end without one. Tokens measure the engine's speed.
func (p *prompts) end(id attempt.ID, token bool, now time.Time) {
	for i, run := range p.begun {
		if run.attempt != id {
			continue
		}
		if token {
			p.measure(run, p.elapsed(run, now))
			p.computing = now
		}
		p.begun = append(p.begun[:i], p.begun[i+1:]...)
		return
	}
}

// measure learns from the time between two first tokens. The engine may have been busy with another
// prompt before that one was given up; such a time is bounded by maxSlowness.
func (p *prompts) measure(run promptWork, took time.Duration) {
	if run.work < minSpeedSample {
		return
	}
	sample := min(max(float64(took)/float64(run.work), minSlowness), maxSlowness)
	p.slowness += speedWeight * (sample - p.slowness)
}

// reserve counts work in later predictions until it is dispatched or ttl has passed.
func (p *prompts) reserve(id admission.ReservationID, work time.Duration, urgency wire.Urgency, until time.Time) {
	p.reserved[id] = promptWork{work: work, patient: isPatient(urgency), until: until}
}

// use ends a reservation.
func (p *prompts) use(id admission.ReservationID) { delete(p.reserved, id) }

// wait returns how long a prompt of the given urgency would wait if the engine received it now.
func (p *prompts) wait(urgency wire.Urgency, now time.Time) time.Duration {
	var ahead time.Duration
	for i, run := range p.begun {
		if i == 0 || isPatient(urgency) || !run.patient {
			ahead += run.work
		}
	}
	for id, probe := range p.reserved {
		if !now.Before(probe.until) {
			delete(p.reserved, id)
			continue
		}
		if isPatient(urgency) || !probe.patient {
			ahead += probe.work
		}
	}
	left := time.Duration(float64(ahead) * p.slowness)
	if len(p.begun) > 0 {
		first := time.Duration(float64(p.begun[0].work) * p.slowness)
		left -= min(first, p.elapsed(p.begun[0], now))
	}
	return left
}

// elapsed returns how long the engine may have computed a run.
func (p *prompts) elapsed(run promptWork, now time.Time) time.Duration {
	if run.sent.IsZero() {
		return 0
	}
	began := run.sent
	if p.computing.After(began) {
		began = p.computing
	}
	return max(0, now.Sub(began))
}

func isPatient(urgency wire.Urgency) bool { return urgency == wire.Urgency_URGENCY_PATIENT }
