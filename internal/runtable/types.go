package runtable

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Settings bound the table.
type Settings struct {
	// Incarnation of this process; dispatches that name another one never run here.
	Incarnation uint64
	// MaxAttempts bounds the attempts that the table remembers. When all are younger than
	// RememberFor the table admits nothing.
	MaxAttempts int
	// RememberFor is how long an attempt is remembered after its end.
	RememberFor time.Duration
	// MaxRecordedBytes bounds the recorded chunks of all attempts.
	MaxRecordedBytes int
	// RecordFor is how long chunks are kept after the end of their attempt.
	RecordFor time.Duration
	// MaxClockSkew is how far the clock of an entry may run ahead of this process's clock.
	MaxClockSkew time.Duration
}

// Bounds that suit one agent before one backend server.
const (
	DefaultMaxAttempts      = 65536
	DefaultRememberFor      = 15 * time.Minute
	DefaultMaxRecordedBytes = 32 << 20
	DefaultRecordFor        = 2 * time.Minute
	DefaultMaxClockSkew     = 10 * time.Second
)

// DefaultSettings returns the default bounds for an incarnation.
func DefaultSettings(incarnation uint64) Settings {
	return Settings{
		Incarnation:      incarnation,
		MaxAttempts:      DefaultMaxAttempts,
		RememberFor:      DefaultRememberFor,
		MaxRecordedBytes: DefaultMaxRecordedBytes,
		RecordFor:        DefaultRecordFor,
		MaxClockSkew:     DefaultMaxClockSkew,
	}
}

// Verdict says what becomes of a dispatch.
type Verdict int

// The verdicts on a dispatch.
const (
	// VerdictNew admits the attempt: the caller queues it and later calls Start.
	VerdictNew Verdict = iota + 1
	// VerdictDuplicate is a further copy of an admitted attempt; Admission.Outcome tells its state.
	VerdictDuplicate
	// VerdictPoisoned is an attempt that was refused, cancelled or asked about before; it never runs.
	VerdictPoisoned
	// VerdictFull refuses the attempt, and poisons it, for lack of room to remember it.
	VerdictFull
	// VerdictWrongIncarnation is an attempt for another incarnation; nothing is known about it here.
	VerdictWrongIncarnation
	// VerdictForgotten is an attempt so old that an earlier copy may have run and been forgotten.
	VerdictForgotten
	// VerdictClockSkew is an attempt from too far in the future.
	VerdictClockSkew
)

// Dispatch is what the table needs to know of a dispatch.
type Dispatch struct {
	Attempt     attempt.ID
	Incarnation uint64
	// FirstSequence is the sequence number of the first chunk.
	FirstSequence uint32
	// Record keeps the chunks for Replay.
	Record bool
}

// Admission is the verdict on a dispatch with what may be said about the attempt from now on.
type Admission struct {
	Verdict Verdict
	Outcome wire.Outcome
}

// Question asks for the state of an attempt.
type Question struct {
	Attempt     attempt.ID
	Incarnation uint64
	// Replay says that the asker also needs the recorded chunks.
	Replay bool
}

// Answer is what may be said about an attempt.
type Answer struct {
	Outcome wire.Outcome
	// Chunks is the sequence number after the last chunk so far.
	Chunks uint32
}

// Cancellation is the effect of a cancel.
type Cancellation struct {
	Outcome wire.Outcome
	// Stop says that the attempt runs and its backend server must now be told to stop.
	Stop bool
}

// Replay is the recorded part of an answer.
type Replay struct {
	// First is the sequence number of Chunks[0].
	First  uint32
	Chunks [][]byte
	// End is nil while the attempt runs.
	End *wire.Done
}

// Counts describes the table for metrics and dumps.
type Counts struct {
	Attempts      int `json:"attempts"`
	Live          int `json:"live"`
	RecordedBytes int `json:"recorded_bytes"`
	Evicted       int `json:"evicted"`
	Forgotten     int `json:"forgotten"`
	RefusedFull   int `json:"refused_full"`
}
