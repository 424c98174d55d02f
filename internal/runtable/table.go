// Package runtable holds the run table: the attempts of one agent incarnation and their states. The
// agent's control goroutine owns the table and calls it for each dispatch, refusal, start, chunk, end,
// cancel and state query. The transitions are those of attempt.json.
//
// Invariants:
//   - Start succeeds at most once for an attempt id, no matter which copies of its frames arrive.
//   - An attempt that has been reported as NOT_RUN never starts afterwards.
//
// Both must also hold for attempts that the table has removed, since its size is bounded. Attempt ids
// carry their time of creation; when the table removes an attempt it raises a floor to that time, and
// it admits nothing at or below the floor. So the invariants depend neither on clocks nor on a bound
// on message delay; clocks determine only how long the table can still report the outcome.
package runtable

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/chart"
	"balsamyoke.example/balsamyoke/internal/wire"
)

type record struct {
	state        chart.State
	nextSequence uint32
	// recording is nil when chunks are not recorded or no longer kept.
	recording *recording
	end       *wire.Done
}

func (r *record) outcome() wire.Outcome { return outcomes[r.state] }

// Table is the run table. It is not safe for concurrent use.
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

// Admit registers a dispatch. The caller may queue the attempt only on VerdictNew.
func (t *Table) Admit(now time.Time, d Dispatch) Admission {
	t.Expire(now)
	if d.Incarnation != t.settings.Incarnation {
		return Admission{VerdictWrongIncarnation, wire.Outcome_OUTCOME_UNKNOWN}
	}
	if existing, ok := t.records[d.Attempt]; ok {
		return duplicateDispatch(existing)
	}
	switch t.eligibility(now, d.Attempt) {
	case clockSkewed:
		return Admission{VerdictClockSkew, wire.Outcome_OUTCOME_UNKNOWN}
	case mayHaveRun:
		return Admission{VerdictTooOld, wire.Outcome_OUTCOME_UNKNOWN}
	case neverRuns:
		return Admission{VerdictRevoked, wire.Outcome_OUTCOME_NOT_RUN}
	}
	if t.full() {
		t.floors.raiseNotRun(d.Attempt.Time())
		t.counts.RefusedFull++
		return Admission{VerdictFull, wire.Outcome_OUTCOME_NOT_RUN}
	}
	admitted := t.insert(d.Attempt, eventDispatch)
	admitted.nextSequence = d.FirstSequence
	if d.Record {
		admitted.recording = &recording{first: d.FirstSequence}
	}
	return Admission{VerdictNew, admitted.outcome()}
}

func duplicateDispatch(existing *record) Admission {
	outcome := existing.outcome()
	if outcome == wire.Outcome_OUTCOME_NOT_RUN {
		return Admission{VerdictRevoked, outcome}
	}
	return Admission{VerdictDuplicate, outcome}
}

// Refuse revokes an attempt that has not started, whether its dispatch was admitted or not. It returns
// the attempt's outcome: NOT_RUN only if the attempt has not run and never will.
func (t *Table) Refuse(now time.Time, id attempt.ID, incarnation uint64) wire.Outcome {
	return t.applyOrRevoke(now, id, incarnation, eventRefuse).Outcome
}

// Cancel stops an attempt on behalf of its entry. An attempt that has not started never starts afterwards.
func (t *Table) Cancel(now time.Time, id attempt.ID, incarnation uint64) Cancellation {
	return t.applyOrRevoke(now, id, incarnation, eventCancel)
}

// Ask returns the state of an attempt. An attempt that was never dispatched here is revoked and
// reported as NOT_RUN. A queued attempt stays queued.
func (t *Table) Ask(now time.Time, q Query) QueryResult {
	outcome := t.applyOrRevoke(now, q.Attempt, q.Incarnation, eventAsk).Outcome
	existing, ok := t.records[q.Attempt]
	if !ok || q.Incarnation != t.settings.Incarnation {
		return QueryResult{Outcome: outcome}
	}
	if q.Replay && outcome != wire.Outcome_OUTCOME_NOT_RUN && existing.recording == nil {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	return QueryResult{Outcome: outcome, Chunks: existing.nextSequence}
}

// applyOrRevoke applies a refuse, cancel or ask event. An attempt that was never seen is revoked.
func (t *Table) applyOrRevoke(now time.Time, id attempt.ID, incarnation uint64, event chart.Event) Cancellation {
	t.Expire(now)
	if incarnation != t.settings.Incarnation {
		return Cancellation{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	}
	if existing, ok := t.records[id]; ok {
		before := existing.state
		// The event is refused when the attempt has started; its outcome then shows that.
		_ = t.fire(now, id, existing, event)
		return Cancellation{
			Outcome: existing.outcome(),
			Stop:    before == stateRunning && existing.state == stateStopping,
		}
	}
	switch t.eligibility(now, id) {
	case clockSkewed, mayHaveRun:
		return Cancellation{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	case neverSeen:
		t.revoke(now, id, event)
	}
	return Cancellation{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
}

// revoke records that an attempt that was never seen must not run. In a full table it raises the floor
// instead.
func (t *Table) revoke(now time.Time, id attempt.ID, event chart.Event) {
	if t.full() {
		t.floors.raiseNotRun(id.Time())
		return
	}
	t.insert(id, event)
	t.ended.push(id, now)
}

// Start must be called before the first byte is sent to the backend server. It returns ErrNotAllowed
// or ErrUnknownAttempt when the attempt must not run.
func (t *Table) Start(now time.Time, id attempt.ID) error {
	return t.step(now, id, eventStart)
}

// Unsent reverts Start when the backend server has certainly received nothing, e.g. when no connection
// could be opened. The attempt is then NOT_RUN and never starts again.
func (t *Table) Unsent(now time.Time, id attempt.ID) error {
	return t.step(now, id, eventUnsent)
}

// Finish records the end of a run. The new state is done or failed, depending on the outcome of end.
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
	existing, ok := t.records[id]
	if !ok {
		return ErrUnknownAttempt.New("attempt %s is not in the table", id)
	}
	if err := t.fire(now, id, existing, event); err != nil {
		return ErrNotAllowed.Wrap(err, "attempt %s", id)
	}
	return nil
}

func (t *Table) fire(now time.Time, id attempt.ID, existing *record, event chart.Event) error {
	next, err := attempts.Next(existing.state, event)
	if err != nil {
		return err
	}
	ends := attempts.Final(next) && !attempts.Final(existing.state)
	existing.state = next
	if ends {
		t.ended.push(id, now)
	}
	return nil
}

// insert adds a record whose first event is event.
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
	counts.Live = len(t.records) - t.ended.retained()
	return counts
}
