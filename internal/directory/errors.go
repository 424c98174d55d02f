package directory

import "github.com/joomcode/errorx"

// Lookups without a reply are frequent during an outage, so errors have no stack trace.
var namespace = errorx.NewNamespace("directory").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The error types of the package. Callers of Client.Lookup treat each as an empty result.
var (
	// ErrNoOwner means that a piece has no owner, because no live agent serves the directory.
	ErrNoOwner = namespace.NewType("no_home", errorx.NotFound())
	// ErrUnavailable means that an owner could not be reached or did not reply in time.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
)
