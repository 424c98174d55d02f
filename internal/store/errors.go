package store

import "github.com/joomcode/errorx"

// Misses are frequent and expected, so errors carry no stack trace.
var namespace = errorx.NewNamespace("store").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The error types of the store client. Each of them means a cache miss for the request.
var (
	// ErrMiss means that the store doesn't have the piece.
	ErrMiss = namespace.NewType("miss", errorx.NotFound())
	// ErrDamaged means that the store's copy is incomplete, altered or of another piece.
	ErrDamaged = namespace.NewType("damaged")
	// ErrFull means that the store has no free space for the piece.
	ErrFull = namespace.NewType("full")
	// ErrUnavailable means that the store didn't respond, or responded with an unexpected status.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrSuspended means that the store failed recently and wasn't called.
	ErrSuspended = namespace.NewType("suspended", errorx.Temporary())
)
