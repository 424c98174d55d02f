package config

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("config")

// The error types of the package.
var (
	// ErrInvalid means that a manifest or a document was rejected; the cause lists the faults.
	ErrInvalid = namespace.NewType("invalid")
	// ErrCorrupt means that the content of a document does not match its digest or cannot be decoded.
	ErrCorrupt = namespace.NewType("corrupt")
	// ErrIncomplete means that documents are missing. The property "missing" lists their digests.
	ErrIncomplete = namespace.NewType("incomplete")
	// ErrConflict means that the version in force was offered with another digest: two contents have one version.
	ErrConflict = namespace.NewType("conflict")
	// ErrRaceLost means that another change was written first on top of the same base version.
	ErrRaceLost = namespace.NewType("race_lost")
	// ErrNotFound means that a version or document is not, or no longer, in the service.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrUnavailable means that the service or a peer could not be reached and nothing changed.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown means that a change may have taken effect.
	ErrOutcomeUnknown = namespace.NewType("outcome_unknown")
)

var missingProperty = errorx.RegisterProperty("missing")

func newIncomplete(digests []string) error {
	return ErrIncomplete.New("%d documents are missing", len(digests)).
		WithProperty(missingProperty, digests)
}
