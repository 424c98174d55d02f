package gateway

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("gateway")

// The error types of the package.
var (
	// ErrBadRequest means that a caller's bytes can't be parsed as exactly one request.
	ErrBadRequest = namespace.NewType("bad_request")
	// ErrTooLarge means that a header or body exceeds its limit.
	ErrTooLarge = namespace.NewType("too_large")
	// ErrNoMemory means that there is no memory for the body of a request.
	ErrNoMemory = namespace.NewType("no_memory", errorx.Temporary())
	// ErrListen means that the gateway can't listen on an address.
	ErrListen = namespace.NewType("listen")
	// ErrNotSent means that no byte of a request reached the server.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrConnRefused means that a server's address accepts no connections, as after the end of its process.
	ErrConnRefused = ErrNotSent.NewSubtype("connection_refused")
	// ErrBroken means that a server's response broke off or is invalid; the request may have run.
	ErrBroken = namespace.NewType("broken")
	// ErrCallerDisconnected means that the caller closed its connection.
	ErrCallerDisconnected = namespace.NewType("caller_gone")
)
