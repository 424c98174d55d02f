package config

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("config")

// Errors of the package.
var (
	// ErrInvalid means that a manifest or a document was refused; the cause lists the faults.
	ErrInvalid = namespace.NewType("invalid")
	// ErrCorrupt means that a document does not have the digest it is named by.
	ErrCorrupt = namespace.NewType("corrupt")
	// ErrIncomplete means that documents are missing. Missing lists their digests.
	ErrIncomplete = namespace.NewType("incomplete")
	// ErrConflict means that two contents claim the same version.
	ErrConflict = namespace.NewType("conflict")
	// ErrRaceLost means that another change was written on top of the base version first.
	ErrRaceLost = namespace.NewType("race_lost")
	// ErrNotFound means that a version is not, or no longer, in the service.
	ErrNotFound = namespace.NewType("not_found", errorx.NotFound())
	// ErrUnavailable means that the service could not be reached and nothing changed.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown means that a change may have taken effect.
	ErrOutcomeUnknown = namespace.NewType("outcome_unknown")
)

var missingProperty = errorx.RegisterProperty("missing")

func newIncomplete(digests []string) error {
	return ErrIncomplete.New("%d documents are missing", len(digests)).
		WithProperty(missingProperty, digests)
}
