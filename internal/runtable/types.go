package runtable

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Settings are the table's incarnation and bounds.
type Settings struct {
	// Incarnation is that of this process; dispatches for another one never run here.
	Incarnation uint64
	// MaxAttempts bounds the attempts in the table. When it is reached and no attempt ended at least
	// Retention ago, the table admits nothing.
	MaxAttempts int
	// Retention is how long an attempt stays in the table after its end.
	Retention time.Duration
	// MaxRecordedBytes bounds the recorded chunks of all attempts.
	MaxRecordedBytes int
	// RecordingRetention is how long recorded chunks are kept after the end of their attempt.
	RecordingRetention time.Duration
	// MaxClockSkew is how far the clock of an entry may run ahead of this process's clock.
	MaxClockSkew time.Duration
}

// Default bounds for an agent with one backend server.
const (
	DefaultMaxAttempts        = 65536
	DefaultRetention          = 15 * time.Minute
	DefaultMaxRecordedBytes   = 32 << 20
	DefaultRecordingRetention = 2 * time.Minute
	DefaultMaxClockSkew       = 10 * time.Second
)

// DefaultSettings returns the default bounds for an incarnation.
func DefaultSettings(incarnation uint64) Settings {
	return Settings{
		Incarnation:        incarnation,
		MaxAttempts:        DefaultMaxAttempts,
		Retention:          DefaultRetention,
		MaxRecordedBytes:   DefaultMaxRecordedBytes,
		RecordingRetention: DefaultRecordingRetention,
		MaxClockSkew:       DefaultMaxClockSkew,
	}
}

// Verdict is the table's decision about a dispatch.
type Verdict int

// The verdicts on a dispatch.
const (
	// VerdictNew admits the attempt: the caller queues it and later calls Start.
	VerdictNew Verdict = iota + 1
	// VerdictDuplicate is a further copy of an admitted attempt; Admission.Outcome is its state.
	VerdictDuplicate
	// VerdictRevoked is an attempt that was refused, cancelled or queried before; it never runs.
	VerdictRevoked
	// VerdictFull refuses and revokes the attempt because the table is full.
	VerdictFull
	// VerdictWrongIncarnation is an attempt for another incarnation; this table has no record of it.
	VerdictWrongIncarnation
	// VerdictTooOld is an attempt so old that an earlier copy may have run and been removed.
	VerdictTooOld
	// VerdictClockSkew is an attempt whose time of creation is more than MaxClockSkew in the future.
	VerdictClockSkew
)

// Dispatch holds the fields of a dispatch that the table uses.
type Dispatch struct {
	Attempt     attempt.ID
	Incarnation uint64
	// FirstSequence is the sequence number of the first chunk.
	FirstSequence uint32
	// Record requests that chunks are kept for Replay.
	Record bool
}

// Admission is the verdict on a dispatch with the outcome to report for the attempt.
type Admission struct {
	Verdict Verdict
	Outcome wire.Outcome
}

// Query requests the state of an attempt.
type Query struct {
	Attempt     attempt.ID
	Incarnation uint64
	// Replay requests the recorded chunks too.
	Replay bool
}

// QueryResult is the state of an attempt to report.
type QueryResult struct {
	Outcome wire.Outcome
	// Chunks is the sequence number after the last chunk so far.
	Chunks uint32
}

// Cancellation is the effect of a cancel.
type Cancellation struct {
	Outcome wire.Outcome
	// Stop is true when the attempt runs and the caller must now stop it at the backend server.
	Stop bool
}

// Replay is the recorded part of a response.
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
	Removed       int `json:"forgotten"`
	RefusedFull   int `json:"refused_full"`
}
