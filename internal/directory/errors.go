package directory

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("directory")

// Errors of the directory's client. Callers treat each as an empty answer.
var (
	// ErrNoHome means that no home is known for a piece.
	ErrNoHome = namespace.NewType("no_home", errorx.NotFound())
	// ErrUnavailable means that a home didn't answer in time.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
)
