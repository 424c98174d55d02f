package runtable

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
)

// recording holds the chunks of one attempt, the first of which has sequence number first.
type recording struct {
	first  uint32
	chunks [][]byte
	bytes  int
}

// Append notes the next chunk of a running attempt. It returns ErrSequence when sequence does not
// follow the last chunk. The table keeps data; the caller must not change it afterwards.
func (t *Table) Append(_ time.Time, id attempt.ID, sequence uint32, data []byte) error {
	known, ok := t.records[id]
	if !ok {
		return ErrUnknownAttempt.New("attempt %s is not in the table", id)
	}
	if known.state != stateRunning && known.state != stateStopping {
		return ErrNotAllowed.New("attempt %s is %s and sends no chunks", id, attempts.StateName(known.state))
	}
	if sequence != known.next {
		return ErrSequence.New("attempt %s: chunk %d follows chunk %d", id, sequence, int64(known.next)-1)
	}
	known.next++
	t.keep(known, data)
	return nil
}

// Keeps a chunk. To stay below the bound the recordings of ended attempts go first, oldest end
// first; when none is left the running attempt loses its own.
func (t *Table) keep(known *record, data []byte) {
	if known.recording == nil {
		return
	}
	known.recording.chunks = append(known.recording.chunks, data)
	known.recording.bytes += len(data)
	t.counts.RecordedBytes += len(data)
	for t.counts.RecordedBytes > t.settings.MaxRecordedBytes {
		if !t.dropOldestRecording() {
			t.dropRecording(known)
			t.counts.Evicted++
			return
		}
	}
}

// Drops the recording of the attempt that ended first. It returns false when no ended attempt is
// left to look at.
func (t *Table) dropOldestRecording() bool {
	id, ok := t.ended.popRecorded()
	if !ok {
		return false
	}
	if known := t.records[id]; known.recording != nil {
		t.dropRecording(known)
		t.counts.Evicted++
	}
	return true
}

func (t *Table) dropRecording(known *record) {
	if known.recording == nil {
		return
	}
	t.counts.RecordedBytes -= known.recording.bytes
	known.recording = nil
}

// Replay returns the recorded chunks of an attempt from sequence number from, and its end if it has
// ended. It returns ErrUnknownAttempt, or ErrNoRecording when the chunks are not kept.
func (t *Table) Replay(id attempt.ID, from uint32) (Replay, error) {
	known, ok := t.records[id]
	if !ok {
		return Replay{}, ErrUnknownAttempt.New("attempt %s is not in the table", id)
	}
	kept := known.recording
	if kept == nil {
		return Replay{}, ErrNoRecording.New("chunks of attempt %s are not kept", id)
	}
	if from < kept.first || from > known.next {
		return Replay{}, ErrSequence.New("attempt %s has chunks %d to %d, not %d", id, kept.first, known.next, from)
	}
	return Replay{
		First:  from,
		Chunks: slices.Clone(kept.chunks[from-kept.first:]),
		End:    known.end,
	}, nil
}
