package runtable

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// minCompaction is the number of removed queue items below which the queue is not compacted.
const minCompaction = 1024

// floors replace the records of the attempts that the table has removed. They never decrease.
type floors struct {
	// ran is the latest creation time of a removed attempt that may have run.
	ran time.Time
	// notRun is the latest creation time of a removed attempt that never ran.
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

type eligibility int

const (
	// neverSeen means that nothing about the attempt has arrived before.
	neverSeen eligibility = iota
	// mayHaveRun means that the attempt may have run.
	mayHaveRun
	// neverRuns means that the attempt did not run and will not be admitted.
	neverRuns
	// clockSkewed means that the attempt's time is too far in the future to be valid.
	clockSkewed
)

// eligibility classifies an attempt that has no record. Every attempt that ran and was removed was
// created at or before floors.ran, so an attempt created later has not run. If it was created at or
// before floors.notRun, it will never run.
func (t *Table) eligibility(now time.Time, id attempt.ID) eligibility {
	created := id.Time()
	switch {
	case created.After(now.Add(t.settings.MaxClockSkew)):
		return clockSkewed
	case !created.After(t.floors.ran):
		return mayHaveRun
	case !created.After(t.floors.notRun):
		return neverRuns
	default:
		return neverSeen
	}
}

// Expire removes the recordings of attempts that ended at least RecordingRetention ago and the attempts that
// ended at least Retention ago.
func (t *Table) Expire(now time.Time) {
	for t.ended.oldestRecordedBefore(now.Add(-t.settings.RecordingRetention)) {
		t.dropOldestRecording()
	}
	for t.ended.oldestBefore(now.Add(-t.settings.Retention)) {
		t.remove(t.ended.pop())
	}
}

func (t *Table) remove(id attempt.ID) {
	existing := t.records[id]
	t.dropRecording(existing)
	delete(t.records, id)
	t.counts.Removed++
	if existing.outcome() == wire.Outcome_OUTCOME_NOT_RUN {
		t.floors.raiseNotRun(id.Time())
		return
	}
	t.floors.raiseRan(id.Time())
}

// endedQueue holds ended attempts in the order of their ends. head is the index of the oldest attempt
// still in the table, recordingHead that of the oldest one whose recording may still be kept.
type endedQueue struct {
	items         []endedAttempt
	head          int
	recordingHead int
}

type endedAttempt struct {
	id attempt.ID
	at time.Time
}

func (q *endedQueue) push(id attempt.ID, at time.Time) {
	q.items = append(q.items, endedAttempt{id, at})
}

func (q *endedQueue) retained() int { return len(q.items) - q.head }

func (q *endedQueue) oldestBefore(limit time.Time) bool {
	return q.head < len(q.items) && !q.items[q.head].at.After(limit)
}

func (q *endedQueue) oldestRecordedBefore(limit time.Time) bool {
	return q.recordingHead < len(q.items) && !q.items[q.recordingHead].at.After(limit)
}

// popRecorded returns the oldest attempt whose recording may still be kept and advances recordingHead.
// It returns false when there is none.
func (q *endedQueue) popRecorded() (attempt.ID, bool) {
	if q.recordingHead >= len(q.items) {
		return attempt.ID{}, false
	}
	id := q.items[q.recordingHead].id
	q.recordingHead++
	return id, true
}

func (q *endedQueue) pop() attempt.ID {
	id := q.items[q.head].id
	q.head++
	q.recordingHead = max(q.recordingHead, q.head)
	if q.head >= minCompaction && q.head*2 >= len(q.items) {
		q.compact()
	}
	return id
}

func (q *endedQueue) compact() {
	kept := copy(q.items, q.items[q.head:])
	clear(q.items[kept:])
	q.items = q.items[:kept]
	q.recordingHead -= q.head
	q.head = 0
}
