// Package rendezvous ranks members for a key by highest random weight (Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", 1998). All processes with the same list of
// members compute the same ranking without communication, and a member that joins or leaves moves
// only its own keys. Placement, the location directory and other packages call it.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit hash of a member or key name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Weight returns the weight of a member for a key; the member with the highest weight ranks first.
// Both arguments are hashes. The mixing function is the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014).
func Weight(key, member uint64) uint64 {
	x := key ^ (member * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
