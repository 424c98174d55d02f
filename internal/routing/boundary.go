package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Prefixes of cache isolation boundaries. Organisations share the empty boundary while none is isolated.
const (
	ownBoundaryPrefix    = "own:"
	sharedBoundaryPrefix = "shared:"
)

// boundaryDigestBytes is the length of the digest in the name of a shared boundary.
const boundaryDigestBytes = 8

// CacheBoundary returns the cache isolation boundary of the requests of an organisation; an empty name stands for requests on
// public routes. Requests use only KV cache of their boundary. An organisation that the configuration doesn't have gets a
// boundary of its own.
//
// Invariant: the KV cache of a shared boundary was made by requests of organisations that aren't isolated in any configuration
// with that boundary. It needs no memory of earlier configurations: organisations share another boundary whenever other
// organisations are isolated, and the same one again when the same are.
func (t *Table) CacheBoundary(organisation string) string {
	o := t.byName[organisation]
	if o == nil && organisation != "" || o != nil && o.Isolated {
		return OwnBoundary(organisation)
	}
	return t.sharedBoundary
}

// OwnBoundary returns the cache isolation boundary that an organisation shares with no other.
func OwnBoundary(organisation string) string { return ownBoundaryPrefix + organisation }

// sharedBoundary returns the boundary of the organisations that aren't isolated. Its name depends on which ones are.
func sharedBoundary(organisations []Organisation) string {
	var isolated []string
	for i := range organisations {
		if organisations[i].Isolated {
			isolated = append(isolated, organisations[i].Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	// Names don't contain NUL, so that no two sets give the same text.
	digest := sha256.Sum256([]byte(strings.Join(isolated, "\x00")))
	return sharedBoundaryPrefix + hex.EncodeToString(digest[:boundaryDigestBytes])
}
