package httpclient

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("httpclient")

// The error types of the package.
var (
	// ErrNotSent means that no byte of the request reached the peer.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// ErrInterrupted means that the request may have reached the peer and no complete response arrived.
	ErrInterrupted = namespace.NewType("interrupted")
	// ErrTooLarge means ErrInterrupted by a response with more bytes than its limit, or than the memory for responses.
	ErrTooLarge = ErrInterrupted.NewSubtype("too_large")
)

// errUnframed is the cause of ErrInterrupted for a response that may have broken off unnoticed.
var errUnframed = ErrInterrupted.New("response with neither a length nor chunks")
