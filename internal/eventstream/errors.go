package eventstream

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("eventstream")

// The error types of the package.
var (
	// ErrNotNext means that a run doesn't go on where the caller's events end.
	ErrNotNext = namespace.NewType("not_next")
	// ErrNoEvent means that a body of events holds something else.
	ErrNoEvent = namespace.NewType("no_event")
)
