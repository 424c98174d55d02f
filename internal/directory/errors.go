package directory

import "github.com/joomcode/errorx"

// Unanswered lookups are frequent in an outage, so errors carry no stack trace.
var namespace = errorx.NewNamespace("directory").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Errors of the directory's client. Callers treat each as an empty answer.
var (
	// ErrNoHome means that no home is known for a piece.
	ErrNoHome = namespace.NewType("no_home", errorx.NotFound())
	// ErrUnavailable means that a home didn't answer in time.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
)
