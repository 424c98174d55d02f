package httpclient

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("httpclient")

// Errors of this layer.
var (
	// ErrNotSent means that no byte of the request reached the peer.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrInterrupted means that the request may have reached the peer and its answer did not come whole.
	ErrInterrupted = namespace.NewType("interrupted")
)
