// Package runtable is the register of attempts of one agent incarnation. The agent's control
// goroutine owns the table and calls it for each dispatch, refusal, start, chunk, end, cancel and
// question. The transitions are those of attempt.json.
//
// Invariants:
//   - Start succeeds at most once for an attempt id, whatever copies of its frames arrive.
//   - An attempt that was ever called NOT_RUN never starts afterwards.
//
// Both have to outlast the table's memory, which is bounded. Attempt ids carry their time of
// creation; when the table forgets an attempt it raises a floor to that time and admits nothing at
// or below the floor any more. So no clock and no bound on message delay is needed for the
// invariants; clocks decide only how long the table can still tell the outcome.
package runtable

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/chart"
	"balsamyoke.example/balsamyoke/internal/wire"
)

type record struct {
	state chart.State
	next  uint32
	// recording is nil when chunks are not recorded or no longer kept.
	recording *recording
	end       *wire.Done
}

func (r *record) outcome() wire.Outcome { return outcomes[r.state] }

// Table is the register. It is not safe for concurrent use.
type Table struct {
	settings Settings
	records  map[attempt.ID]*record
	ended    endedQueue
	floors   floors
	counts   Counts
}

// New returns an empty table.
func New(settings Settings) *Table {
	return &Table{settings: settings, records: make(map[attempt.ID]*record)}
}

// Admit registers a dispatch. Only VerdictNew lets the caller queue the attempt.
func (t *Table) Admit(now time.Time, d Dispatch) Admission {
	t.Expire(now)
	if d.Incarnation != t.settings.Incarnation {
		return Admission{VerdictWrongIncarnation, wire.Outcome_OUTCOME_UNKNOWN}
	}
	if known, ok := t.records[d.Attempt]; ok {
		return repeated(known)
	}
	switch t.standing(now, d.Attempt) {
	case standingSkewed:
		return Admission{VerdictClockSkew, wire.Outcome_OUTCOME_UNKNOWN}
	case standingForgotten:
		return Admission{VerdictForgotten, wire.Outcome_OUTCOME_UNKNOWN}
	case standingNeverRuns:
		return Admission{VerdictPoisoned, wire.Outcome_OUTCOME_NOT_RUN}
	}
	if t.full() {
		t.floors.raiseNotRun(d.Attempt.Time())
		t.counts.RefusedFull++
		return Admission{VerdictFull, wire.Outcome_OUTCOME_NOT_RUN}
	}
	admitted := t.insert(d.Attempt, eventDispatch)
	admitted.next = d.FirstSequence
	if d.Record {
		admitted.recording = &recording{first: d.FirstSequence}
	}
	return Admission{VerdictNew, admitted.outcome()}
}

func repeated(known *record) Admission {
	outcome := known.outcome()
	if outcome == wire.Outcome_OUTCOME_NOT_RUN {
		return Admission{VerdictPoisoned, outcome}
	}
	return Admission{VerdictDuplicate, outcome}
}

// Refuse gives up an attempt that has not started and poisons it, whether its dispatch was admitted
// or not. It returns what may be said about the attempt: NOT_RUN only when that is and stays true.
func (t *Table) Refuse(now time.Time, id attempt.ID, incarnation uint64) wire.Outcome {
	return t.giveUp(now, id, incarnation, eventRefuse).Outcome
}

// Cancel stops an attempt on behalf of its entry. An attempt that has not started never will.
func (t *Table) Cancel(now time.Time, id attempt.ID, incarnation uint64) Cancellation {
	return t.giveUp(now, id, incarnation, eventCancel)
}

// Ask tells the state of an attempt. An attempt that was never dispatched here is poisoned and
// answered NOT_RUN. A queued attempt stays queued.
func (t *Table) Ask(now time.Time, q Question) Answer {
	outcome := t.giveUp(now, q.Attempt, q.Incarnation, eventAsk).Outcome
	known, ok := t.records[q.Attempt]
	if !ok || q.Incarnation != t.settings.Incarnation {
		return Answer{Outcome: outcome}
	}
	if q.Replay && outcome != wire.Outcome_OUTCOME_NOT_RUN && known.recording == nil {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return Answer{Outcome: outcome, Chunks: known.next}
}

// Applies an event that poisons unseen attempts.
func (t *Table) giveUp(now time.Time, id attempt.ID, incarnation uint64, event chart.Event) Cancellation {
	t.Expire(now)
	if incarnation != t.settings.Incarnation {
		return Cancellation{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	}
	if known, ok := t.records[id]; ok {
		before := known.state
		// A refused event means that the attempt has started: its outcome says so.
		_ = t.fire(now, id, known, event)
		return Cancellation{
			Outcome: known.outcome(),
			Stop:    before == stateRunning && known.state == stateStopping,
		}
	}
	switch t.standing(now, id) {
	case standingSkewed, standingForgotten:
		return Cancellation{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	case standingFresh:
		t.poison(now, id, event)
	}
	return Cancellation{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
}

// Remembers that an unseen attempt must never run. Without room the floor remembers it.
func (t *Table) poison(now time.Time, id attempt.ID, event chart.Event) {
	if t.full() {
		t.floors.raiseNotRun(id.Time())
		return
	}
	t.insert(id, event)
	t.ended.push(id, now)
}

// Start marks the moment before the first byte goes to the backend server. It returns ErrNotAllowed
// or ErrUnknownAttempt when the attempt must not run.
func (t *Table) Start(now time.Time, id attempt.ID) error {
	return t.step(now, id, eventStart)
}

// Unsent takes back a Start of which the backend server has certainly received nothing, e.g. when
// no connection could be opened. The attempt is then NOT_RUN and never starts again.
func (t *Table) Unsent(now time.Time, id attempt.ID) error {
	return t.step(now, id, eventUnsent)
}

// Finish records the end of a run. The outcome of end selects the state: DONE or FAILED.
func (t *Table) Finish(now time.Time, id attempt.ID, end *wire.Done) error {
	event := eventFail
	if end.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		event = eventFinish
	}
	if err := t.step(now, id, event); err != nil {
		return err
	}
	t.records[id].end = end
	return nil
}

func (t *Table) step(now time.Time, id attempt.ID, event chart.Event) error {
	known, ok := t.records[id]
	if !ok {
		return ErrUnknownAttempt.New("attempt %s is not in the table", id)
	}
	if err := t.fire(now, id, known, event); err != nil {
		return ErrNotAllowed.Wrap(err, "attempt %s", id)
	}
	return nil
}

func (t *Table) fire(now time.Time, id attempt.ID, known *record, event chart.Event) error {
	next, err := attempts.Next(known.state, event)
	if err != nil {
		return err
	}
	ends := attempts.Final(next) && !attempts.Final(known.state)
	known.state = next
	if ends {
		t.ended.push(id, now)
	}
	return nil
}

// Adds a record whose first event is event.
func (t *Table) insert(id attempt.ID, event chart.Event) *record {
	state, err := attempts.Next(attempts.Initial(), event)
	if err != nil {
		panic(err)
	}
	added := &record{state: state}
	t.records[id] = added
	return added
}

func (t *Table) full() bool { return len(t.records) >= t.settings.MaxAttempts }

// Counts returns the table's counters.
func (t *Table) Counts() Counts {
	counts := t.counts
	counts.Attempts = len(t.records)
	counts.Live = len(t.records) - t.ended.remembered()
	return counts
}
