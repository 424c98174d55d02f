package metastore

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("metastore")

// The error types of the package.
var (
	// ErrNotFound means that a key is absent.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrUnavailable means that the service could not be reached and a write did not take effect.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrTooLarge means ErrUnavailable because a reply is larger than the client reads.
	ErrTooLarge = ErrUnavailable.NewSubtype("too_large")
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = namespace.NewType("outcome_unknown")
	// ErrLeaseNotFound means that a lease has expired or was revoked.
	ErrLeaseNotFound = namespace.NewType("lease_not_found", errorx.NotFound())
	// ErrCompacted means that the history after a position is no longer available.
	ErrCompacted = namespace.NewType("compacted")
	// ErrInvalid means that the service refused a call as malformed.
	ErrInvalid = namespace.NewType("invalid")
)
