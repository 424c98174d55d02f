package agent

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// prefillBacklog estimates the prompt work that started runs still have before them. An engine
// computes one prompt at a time, so a run that gets a free slot still waits for them. The control
// goroutine owns it.
type prefillBacklog struct {
	runs map[attempt.ID]prefill
	// since is when the engine began with the run that it computes now.
	since time.Time
}

// prefill is the estimated prompt work of one run.
type prefill struct {
	work    time.Duration
	patient bool
}

func newPrefillBacklog() *prefillBacklog {
	return &prefillBacklog{runs: make(map[attempt.ID]prefill)}
}

// begin adds a run that starts at now.
func (b *prefillBacklog) begin(id attempt.ID, p prefill, now time.Time) {
	if len(b.runs) == 0 {
		b.since = now
	}
	b.runs[id] = p
}

// end removes a run that has sent its first token or has ended. Others may be repeated.
func (b *prefillBacklog) end(id attempt.ID, now time.Time) {
	if _, ok := b.runs[id]; !ok {
		return
	}
	delete(b.runs, id)
	b.since = now
}

// left returns the time until the engine could begin with the prompt of a new run. An urgent run
// goes before the patient ones that have not begun, of which the longest may be under way.
func (b *prefillBacklog) left(patient bool, now time.Time) time.Duration {
	var urgentWork, patientWork, longest time.Duration
	for _, p := range b.runs {
		if p.patient {
			patientWork += p.work
			longest = max(longest, p.work)
		} else {
			urgentWork += p.work
		}
	}
	work := urgentWork + longest
	if patient {
		work = urgentWork + patientWork
	}
	return max(0, work-now.Sub(b.since))
}

// prefillOf estimates the prompt work of a job, with the pieces that are being fetched counted as
// cached.
func (a *Agent) prefillOf(j *job, now time.Time) prefill {
	cached := a.cachedPieces(j.dispatch, now)
	if j.fetch != nil {
		cached = max(cached, j.prompt.Cached+j.fetch.Wanted())
	}
	tokens := j.dispatch.GetPromptTokens()
	tokens -= min(tokens, uint32(cached*a.pieceTokens()))
	return prefill{
		work:    time.Duration(tokens) * time.Duration(a.settings.PrefillMicrosPerToken) * time.Microsecond,
		patient: j.dispatch.GetUrgency() == wire.Urgency_URGENCY_PATIENT,
	}
}

// prefillWait returns how long the engine will be busy with other prompts before that of d.
func (a *Agent) prefillWait(d *wire.Dispatch, now time.Time) time.Duration {
	return a.state.backlog.left(d.GetUrgency() == wire.Urgency_URGENCY_PATIENT, now)
}
