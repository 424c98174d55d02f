package load

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("load")

// Errors of the load tool.
var (
	// ErrSettings means that a run can't be made with its settings.
	ErrSettings = namespace.NewType("settings")
	// ErrReport means that a report or chart could not be written.
	ErrReport = namespace.NewType("report")
	// errMalformed means that an answer of an entry could not be read.
	errMalformed = namespace.NewType("malformed")
)
