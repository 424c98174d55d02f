package runtable

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// minCompaction is the number of forgotten queue places below which the queue is not compacted.
const minCompaction = 1024

// floors stand for the attempts that the table has forgotten. Both only rise.
type floors struct {
	// ran is the latest creation time of a forgotten attempt that may have run.
	ran time.Time
	// notRun is the latest creation time of a forgotten attempt that never ran.
	notRun time.Time
}

func (f *floors) raiseRan(created time.Time) {
	if created.After(f.ran) {
		f.ran = created
	}
}

func (f *floors) raiseNotRun(created time.Time) {
	if created.After(f.notRun) {
		f.notRun = created
	}
}

type standing int

const (
	// standingFresh means that no copy of the attempt was ever seen.
	standingFresh standing = iota
	// standingForgotten means that the attempt may have run.
	standingForgotten
	// standingNeverRuns means that the attempt did not run and will not be admitted.
	standingNeverRuns
	// standingSkewed means that the attempt's time is not to be believed.
	standingSkewed
)

// Judges an attempt that has no record. Every attempt that ran and was forgotten was created at or
// before floors.ran, so one created after it has not run; at or before floors.notRun it never will.
func (t *Table) standing(now time.Time, id attempt.ID) standing {
	created := id.Time()
	switch {
	case created.After(now.Add(t.settings.MaxClockSkew)):
		return standingSkewed
	case !created.After(t.floors.ran):
		return standingForgotten
	case !created.After(t.floors.notRun):
		return standingNeverRuns
	default:
		return standingFresh
	}
}

// Expire drops recordings older than RecordFor and attempts that ended longer than RememberFor ago.
func (t *Table) Expire(now time.Time) {
	for t.ended.oldestRecordedBefore(now.Add(-t.settings.RecordFor)) {
		t.dropOldestRecording()
	}
	for t.ended.oldestBefore(now.Add(-t.settings.RememberFor)) {
		t.forget(t.ended.pop())
	}
}

func (t *Table) forget(id attempt.ID) {
	known := t.records[id]
	t.dropRecording(known)
	delete(t.records, id)
	t.counts.Forgotten++
	if known.outcome() == wire.Outcome_OUTCOME_NOT_RUN {
		t.floors.raiseNotRun(id.Time())
		return
	}
	t.floors.raiseRan(id.Time())
}

// endedQueue holds ended attempts in the order of their ends. Two cursors walk it: recorded stands
// at the oldest attempt whose recording may still be kept, head at the oldest one remembered.
type endedQueue struct {
	items    []endedAttempt
	head     int
	recorded int
}

type endedAttempt struct {
	id attempt.ID
	at time.Time
}

func (q *endedQueue) push(id attempt.ID, at time.Time) {
	q.items = append(q.items, endedAttempt{id, at})
}

func (q *endedQueue) remembered() int { return len(q.items) - q.head }

func (q *endedQueue) oldestBefore(limit time.Time) bool {
	return q.head < len(q.items) && !q.items[q.head].at.After(limit)
}

func (q *endedQueue) oldestRecordedBefore(limit time.Time) bool {
	return q.recorded < len(q.items) && !q.items[q.recorded].at.After(limit)
}

// Returns the oldest attempt whose recording may be kept and moves the cursor past it.
func (q *endedQueue) popRecorded() (attempt.ID, bool) {
	if q.recorded >= len(q.items) {
		return attempt.ID{}, false
	}
	id := q.items[q.recorded].id
	q.recorded++
	return id, true
}

func (q *endedQueue) pop() attempt.ID {
	id := q.items[q.head].id
	q.head++
	q.recorded = max(q.recorded, q.head)
	if q.head >= minCompaction && q.head*2 >= len(q.items) {
		q.compact()
	}
	return id
}

func (q *endedQueue) compact() {
	kept := copy(q.items, q.items[q.head:])
	clear(q.items[kept:])
	q.items = q.items[:kept]
	q.recorded -= q.head
	q.head = 0
}
