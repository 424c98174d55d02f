package attempt

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("attempt")

// The error types of the package.
var (
	// ErrInvalidID means that bytes are not a UUID of version 7.
	ErrInvalidID = namespace.NewType("invalid_id")
	// ErrNoEntropy means that the system's random source failed.
	ErrNoEntropy = namespace.NewType("no_entropy")
)
