package runtable

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
)

// recording holds the chunks of one attempt; first is the sequence number of chunks[0].
type recording struct {
	first  uint32
	chunks [][]byte
	bytes  int
}

// Append records the next chunk of a running attempt. It returns ErrUnknownAttempt, ErrNotAllowed when
// the attempt is not running, and ErrSequence when sequence does not follow the last chunk. The table
// keeps data; the caller must not change it afterwards.
func (t *Table) Append(_ time.Time, id attempt.ID, sequence uint32, data []byte) error {
	existing, ok := t.records[id]
	if !ok {
		return ErrUnknownAttempt.New("attempt %s is not in the table", id)
	}
	if existing.state != stateRunning && existing.state != stateStopping {
		return ErrNotAllowed.New("attempt %s is %s and cannot have further chunks", id, attempts.StateName(existing.state))
	}
	if sequence != existing.nextSequence {
		return ErrSequence.New("attempt %s: chunk %d follows chunk %d", id, sequence, int64(existing.nextSequence)-1)
	}
	existing.nextSequence++
	t.keep(existing, data)
	return nil
}

// keep adds a chunk to a recording. To stay within MaxRecordedBytes it first drops the recordings of
// ended attempts, in the order of their ends, and if none is left, that of the running attempt itself.
func (t *Table) keep(existing *record, data []byte) {
	if existing.recording == nil {
		return
	}
	existing.recording.chunks = append(existing.recording.chunks, data)
	existing.recording.bytes += len(data)
	t.counts.RecordedBytes += len(data)
	for t.counts.RecordedBytes > t.settings.MaxRecordedBytes {
		if !t.dropOldestRecording() {
			t.dropRecording(existing)
			t.counts.Evicted++
			return
		}
	}
}

// dropOldestRecording drops the recording of the attempt that ended first. It returns false when no
// ended attempt is left.
func (t *Table) dropOldestRecording() bool {
	id, ok := t.ended.popRecorded()
	if !ok {
		return false
	}
	if existing := t.records[id]; existing.recording != nil {
		t.dropRecording(existing)
		t.counts.Evicted++
	}
	return true
}

func (t *Table) dropRecording(existing *record) {
	if existing.recording == nil {
		return
	}
	t.counts.RecordedBytes -= existing.recording.bytes
	existing.recording = nil
}

// Replay returns the recorded chunks of an attempt from sequence number from on, and its end if it has
// ended. It returns ErrUnknownAttempt, ErrNoRecording when the chunks are not kept, or ErrSequence when
// from is outside the recorded chunks.
func (t *Table) Replay(id attempt.ID, from uint32) (Replay, error) {
	existing, ok := t.records[id]
	if !ok {
		return Replay{}, ErrUnknownAttempt.New("attempt %s is not in the table", id)
	}
	kept := existing.recording
	if kept == nil {
		return Replay{}, ErrNoRecording.New("chunks of attempt %s are not kept", id)
	}
	if from < kept.first || from > existing.nextSequence {
		return Replay{}, ErrSequence.New("attempt %s has chunks %d to %d, not %d", id, kept.first, existing.nextSequence, from)
	}
	return Replay{
		First:  from,
		Chunks: slices.Clone(kept.chunks[from-kept.first:]),
		End:    existing.end,
	}, nil
}
