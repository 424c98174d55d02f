package rollout

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("rollout")

// The error types of the package.
var (
	// ErrUnavailable means that the key-value service or a replica could not be reached.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrRefused means that the backend server refused an order and did not carry it out.
	ErrRefused = namespace.NewType("refused")
)
