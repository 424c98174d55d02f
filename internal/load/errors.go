package load

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("load")

// The error types of the package.
var (
	// ErrSettings means that the settings of a run are invalid.
	ErrSettings = namespace.NewType("settings")
	// ErrReport means that a report or chart could not be written.
	ErrReport = namespace.NewType("report")
	// errMalformed means that a response of an entry or a /proc file could not be parsed.
	errMalformed = namespace.NewType("malformed")
)
