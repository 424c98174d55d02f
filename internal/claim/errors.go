package claim

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("claim")

// The error types of the package.
var (
	// ErrInvalidKey means that a key is not a UUID of version 7. No claim was made under it.
	ErrInvalidKey = namespace.NewType("invalid_key")
	// ErrFutureKey means that a key's time is more than MaxClockSkew in the future.
	ErrFutureKey = namespace.NewType("future_key")
	// ErrExpiredKey means that a key is too old: an attempt that ran under it may no longer be recorded.
	ErrExpiredKey = namespace.NewType("expired_key")
	// ErrKeyReused means that the key is bound to another request. This request was never run.
	ErrKeyReused = namespace.NewType("key_reused", errorx.Duplicate())
	// ErrUnavailable means that the platform's service did not confirm the claim. The claim's attempt
	// must not be dispatched; another attempt may have run under the key.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrUnreadable means that a stored claim cannot be decoded; its request may have run.
	ErrUnreadable = namespace.NewType("unreadable")
)
