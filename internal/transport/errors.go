package transport

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("transport")

// The error types of the package.
var (
	// ErrListen means that an address could not be listened on.
	ErrListen = namespace.NewType("listen")
	// ErrDial means that a peer could not be reached; nothing was sent.
	ErrDial = namespace.NewType("dial", errorx.Temporary())
	// ErrClosed means that the connection is closed; the message may or may not have been sent.
	ErrClosed = namespace.NewType("closed")
	// ErrOverflow means that a frame is too large, or that the peer reads too slowly and the connection
	// was closed.
	ErrOverflow = namespace.NewType("overflow")
	// ErrMalformed means that received bytes are not a valid message.
	ErrMalformed = namespace.NewType("malformed")
)
