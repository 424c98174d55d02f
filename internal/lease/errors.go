package lease

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("lease")

// The error types of the package.
var (
	// ErrHeld means that another process holds the lease.
	ErrHeld = namespace.NewType("held")
	// ErrLost means that the lease has expired.
	ErrLost = namespace.NewType("lost")
	// ErrUnavailable means that the metadata store could not be reached.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
)
