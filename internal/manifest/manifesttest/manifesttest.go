// Package manifesttest provides helpers for tests that write manifests.
package manifesttest

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest returns the digest of a bearer key in the form that a manifest contains.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
