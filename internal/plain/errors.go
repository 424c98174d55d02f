package plain

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("plain")

// The error types of calls to plain services.
var (
	// ErrNotSent means that the service could not be reached; the call certainly has not run.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrOutcomeUnknown means that the call may have run and its response was lost.
	ErrOutcomeUnknown = namespace.NewType("outcome_unknown")
)
