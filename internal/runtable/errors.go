package runtable

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("runtable")

// The error types of the package.
var (
	// ErrNotAllowed means that the attempt's state does not allow the step; nothing has changed.
	ErrNotAllowed = namespace.NewType("not_allowed")
	// ErrUnknownAttempt means that the table has no record of the attempt.
	ErrUnknownAttempt = namespace.NewType("unknown_attempt", errorx.NotFound())
	// ErrSequence means that a chunk does not follow the last one of its attempt.
	ErrSequence = namespace.NewType("sequence")
	// ErrNoRecording means that the chunks of an attempt were not recorded or were evicted.
	ErrNoRecording = namespace.NewType("no_recording", errorx.NotFound())
)
