// Package manifesttest helps tests to write manifests.
package manifesttest

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest returns the digest of a bearer key as a manifest lists it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
