package engine

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("engine")

// The error types of the package.
var (
	// ErrUnreachable means that the engine could not be reached; the call certainly has not started.
	ErrUnreachable = namespace.NewType("unreachable", errorx.Temporary())
	// ErrInterrupted means that the connection ended, or the response was malformed, after the call may
	// have started.
	ErrInterrupted = namespace.NewType("cut")
	// ErrCancelled means that the engine ended the run on a cancel call.
	ErrCancelled = namespace.NewType("cancelled")
	// ErrVersionNotLoaded means that the engine lacks the weight version or adapter; the run has not started.
	ErrVersionNotLoaded = namespace.NewType("version_not_loaded")
	// ErrRefused means that the engine refused the call with an HTTP error; the call has not started.
	ErrRefused = namespace.NewType("refused")
	// ErrFenced means that the engine refused an order because it has received a newer fencing token.
	ErrFenced = namespace.NewType("fenced")
	// ErrNotCached means that the engine does not hold the piece.
	ErrNotCached = namespace.NewType("not_cached", errorx.NotFound())
)
