package runtable

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestCommittedPromelaMatchesTheChart(t *testing.T) {
	c := qt.New(t)
	committed, err := os.ReadFile("../../spec/attempt.pml")
	c.Assert(err, qt.IsNil)
	c.Assert(string(committed), qt.Equals, attempts.Promela("attempt.json"))
}

func admit(t *Table, now time.Time, id attempt.ID) Verdict {
	return t.Admit(now, Dispatch{Attempt: id, Incarnation: testIncarnation, Record: true}).Verdict
}

func ask(t *Table, now time.Time, id attempt.ID, replay bool) wire.Outcome {
	return t.Ask(now, Query{Attempt: id, Incarnation: testIncarnation, Replay: replay}).Outcome
}

func done() *wire.Done { return &wire.Done{Outcome: wire.Outcome_OUTCOME_DONE} }

func TestReplayReturnsTheCompleteResponse(t *testing.T) {
	c := qt.New(t)
	table := New(testSettings())
	id := idAt(testStart, 1)
	first := Dispatch{Attempt: id, Incarnation: testIncarnation, FirstSequence: 3, Record: true}
	c.Assert(table.Admit(testStart, first).Verdict, qt.Equals, VerdictNew)
	c.Assert(table.Start(testStart, id), qt.IsNil)
	c.Assert(table.Append(testStart, id, 3, []byte("a")), qt.IsNil)
	c.Assert(errorx.IsOfType(table.Append(testStart, id, 5, []byte("c")), ErrSequence), qt.IsTrue)
	c.Assert(table.Append(testStart, id, 4, []byte("b")), qt.IsNil)
	c.Assert(table.Finish(testStart, id, done()), qt.IsNil)
	c.Assert(errorx.IsOfType(table.Append(testStart, id, 5, []byte("c")), ErrNotAllowed), qt.IsTrue)

	replay, err := table.Replay(id, 4)
	c.Assert(err, qt.IsNil)
	c.Assert(replay.First, qt.Equals, uint32(4))
	c.Assert(replay.Chunks, qt.DeepEquals, [][]byte{[]byte("b")})
	c.Assert(replay.End.GetOutcome(), qt.Equals, wire.Outcome_OUTCOME_DONE)
	_, err = table.Replay(id, 2)
	c.Assert(errorx.IsOfType(err, ErrSequence), qt.IsTrue)
}

// A query for a replay whose recorded chunks were removed must get UNKNOWN, although the outcome is still recorded.
func TestEvictedRecordingIsUnknownToAReplay(t *testing.T) {
	c := qt.New(t)
	table := New(testSettings())
	old, recent := idAt(testStart, 1), idAt(testStart, 2)
	for _, id := range []attempt.ID{old, recent} {
		c.Assert(admit(table, testStart, id), qt.Equals, VerdictNew)
		c.Assert(table.Start(testStart, id), qt.IsNil)
		c.Assert(table.Append(testStart, id, 0, make([]byte, 10)), qt.IsNil)
		c.Assert(table.Finish(testStart, id, done()), qt.IsNil)
	}
	c.Assert(ask(table, testStart, old, true), qt.Equals, wire.Outcome_OUTCOME_UNKNOWN)
	c.Assert(ask(table, testStart, old, false), qt.Equals, wire.Outcome_OUTCOME_DONE)
	c.Assert(ask(table, testStart, recent, true), qt.Equals, wire.Outcome_OUTCOME_DONE)

	later := testStart.Add(testSettings().RecordingRetention)
	c.Assert(ask(table, later, recent, true), qt.Equals, wire.Outcome_OUTCOME_UNKNOWN)
	c.Assert(ask(table, later, recent, false), qt.Equals, wire.Outcome_OUTCOME_DONE)
	c.Assert(table.Counts().RecordedBytes, qt.Equals, 0)
}

// A dispatch that arrives after the table has removed the attempt's record must not be admitted as new.
func TestRemovedAttemptNeverRunsAgain(t *testing.T) {
	c := qt.New(t)
	table := New(testSettings())
	ran, revoked := idAt(testStart, 1), idAt(testStart.Add(time.Second), 2)
	c.Assert(admit(table, testStart, ran), qt.Equals, VerdictNew)
	c.Assert(table.Start(testStart, ran), qt.IsNil)
	c.Assert(table.Finish(testStart, ran, done()), qt.IsNil)
	c.Assert(ask(table, testStart, revoked, false), qt.Equals, wire.Outcome_OUTCOME_NOT_RUN)

	later := testStart.Add(testSettings().Retention)
	c.Assert(admit(table, later, ran), qt.Equals, VerdictTooOld)
	c.Assert(admit(table, later, revoked), qt.Equals, VerdictRevoked)
	c.Assert(table.Counts().Attempts, qt.Equals, 0)
	c.Assert(admit(table, later, idAt(later, 3)), qt.Equals, VerdictNew)
}

// A full table reports a new attempt as NOT_RUN without a record of it, so it must not admit that attempt later.
func TestFullTableRefusesPermanently(t *testing.T) {
	c := qt.New(t)
	table := New(testSettings())
	for serial := range testSettings().MaxAttempts {
		c.Assert(admit(table, testStart, idAt(testStart, uint32(serial))), qt.Equals, VerdictNew)
	}
	late := idAt(testStart.Add(time.Millisecond), 99)
	admission := table.Admit(testStart, Dispatch{Attempt: late, Incarnation: testIncarnation})
	c.Assert(admission, qt.Equals, Admission{VerdictFull, wire.Outcome_OUTCOME_NOT_RUN})

	c.Assert(table.Refuse(testStart, idAt(testStart, 0), testIncarnation), qt.Equals, wire.Outcome_OUTCOME_NOT_RUN)
	later := testStart.Add(testSettings().Retention)
	c.Assert(admit(table, later, late), qt.Equals, VerdictRevoked)
	c.Assert(admit(table, later, idAt(later, 100)), qt.Equals, VerdictNew)
}

func TestAttemptFromTheFutureIsNeverReportedNotRun(t *testing.T) {
	c := qt.New(t)
	table := New(testSettings())
	id := idAt(testStart.Add(testSettings().MaxClockSkew+time.Millisecond), 1)
	c.Assert(admit(table, testStart, id), qt.Equals, VerdictClockSkew)
	c.Assert(table.Refuse(testStart, id, testIncarnation), qt.Equals, wire.Outcome_OUTCOME_UNKNOWN)
	c.Assert(ask(table, testStart, id, false), qt.Equals, wire.Outcome_OUTCOME_UNKNOWN)
}

func TestCancelStopsOnlyARunningAttemptAndOnce(t *testing.T) {
	c := qt.New(t)
	table := New(testSettings())
	queued, running := idAt(testStart, 1), idAt(testStart, 2)
	c.Assert(admit(table, testStart, queued), qt.Equals, VerdictNew)
	c.Assert(admit(table, testStart, running), qt.Equals, VerdictNew)
	c.Assert(table.Start(testStart, running), qt.IsNil)

	c.Assert(table.Cancel(testStart, queued, testIncarnation), qt.Equals, Cancellation{wire.Outcome_OUTCOME_NOT_RUN, false})
	c.Assert(errorx.IsOfType(table.Start(testStart, queued), ErrNotAllowed), qt.IsTrue)
	c.Assert(table.Cancel(testStart, running, testIncarnation), qt.Equals, Cancellation{wire.Outcome_OUTCOME_RUNNING, true})
	c.Assert(table.Cancel(testStart, running, testIncarnation), qt.Equals, Cancellation{wire.Outcome_OUTCOME_RUNNING, false})
	c.Assert(table.Refuse(testStart, running, testIncarnation), qt.Equals, wire.Outcome_OUTCOME_RUNNING)
}
