package gateway

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("gateway")

// Errors of the package.
var (
	// ErrBadRequest means that a caller's request can't be read as one request.
	ErrBadRequest = namespace.NewType("bad_request")
	// ErrTooLarge means that a body exceeds the configured limit.
	ErrTooLarge = namespace.NewType("too_large")
	// ErrListen means that an address can't be listened on.
	ErrListen = namespace.NewType("listen")
	// ErrNotSent means that no byte of a request reached the server.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrBroken means that a server's answer broke off or can't be read; the request may have run.
	ErrBroken = namespace.NewType("broken")
	// ErrCallerGone means that the caller closed its connection.
	ErrCallerGone = namespace.NewType("caller_gone")
)
