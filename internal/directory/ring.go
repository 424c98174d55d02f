// Package directory implements the location directory, which entries and agents query for the probable holders
// of pieces of KV cache. The agents of a region serve it to each other and to the region's entries. It contains
// only hints: a wrong or missing hint costs a probe or a recomputation, never an error. The table of an owner
// that restarts fills again as holders repeat their announcements.
//
// Ring maps pieces to their owners, Table keeps the holdings announced to an owner, and Announcer limits the
// rate of a holder's announcements to the owners. The three do no I/O and belong to the control goroutine.
// Server and Client connect them over gRPC.
package directory

import (
	"slices"
	"sort"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

// MaxOwners bounds the agents of a region that serve as owners, and so the connections that each entry and
// agent opens for the directory.
const MaxOwners = 256

// ownersPerKey is the number of owners of a key.
const ownersPerKey = 2

// ownerRankKey is the rendezvous key that ranks agents for serving as owners.
const ownerRankKey = 0x686f6d6573 // "homes"

// lookupStride is the ratio between consecutive lookup positions.
const lookupStride = 4

// Member is a live agent that can serve as an owner.
type Member struct {
	Instance      string
	FailureDomain string
	// Address is ip:port of the agent's control port.
	Address string

	hash uint64
}

// Ring maps keys to owners by rendezvous hashing. It is immutable.
type Ring struct {
	members []Member
}

// NewRing returns the Ring of the live agents of a region. All processes with the same agents compute the
// same owners.
func NewRing(live []Member) *Ring {
	members := append([]Member(nil), live...)
	for i := range members {
		members[i].hash = rendezvous.Hash(members[i].Instance)
	}
	sort.Slice(members, func(i, j int) bool {
		return outranks(ownerRankKey, &members[i], &members[j])
	})
	return &Ring{members: members[:min(len(members), MaxOwners)]}
}

// outranks reports whether a ranks before b for a key. Equal weights are ordered by instance.
func outranks(key uint64, a, b *Member) bool {
	x, y := rendezvous.Weight(key, a.hash), rendezvous.Weight(key, b.hash)
	if x != y {
		return x > y
	}
	return a.Instance < b.Instance
}

// Len returns the number of members, at most MaxOwners.
func (r *Ring) Len() int { return len(r.members) }

// Owners returns the owners of a key, highest rank first. The second is in another failure domain than the
// first unless there is only one domain. The result is empty when there are no members.
func (r *Ring) Owners(key piece.Name) []Member {
	first := r.best(key.Hash(), func(*Member) bool { return true })
	if first == nil {
		return nil
	}
	owners := make([]Member, 0, ownersPerKey)
	owners = append(owners, *first)
	second := r.best(key.Hash(), func(m *Member) bool { return m.FailureDomain != first.FailureDomain })
	if second == nil {
		second = r.best(key.Hash(), func(m *Member) bool { return m.Instance != first.Instance })
	}
	if second != nil {
		owners = append(owners, *second)
	}
	return owners
}

// best returns the highest-ranked member for a key for which accept returns true, or nil.
func (r *Ring) best(key uint64, accept func(*Member) bool) *Member {
	var best *Member
	for i := range r.members {
		m := &r.members[i]
		if accept(m) && (best == nil || outranks(key, m, best)) {
			best = m
		}
	}
	return best
}

// LookupIndex returns the lookup position for the piece at position i of a prompt: the name of the piece at
// that position determines the owners of piece i. Lookup positions are 0, 4, 16, 64 and so on. So a lookup of
// a complete prompt queries few owners, while the pieces of conversations that share only a short prefix are
// distributed over many.
func LookupIndex(i int) int {
	index := 0
	for next := lookupStride; next <= i; next *= lookupStride {
		index = next
	}
	return index
}

// Segment is a part of a prompt whose pieces have the same lookup piece and so the same owners.
type Segment struct {
	// Start is the position of the first piece in the prompt.
	Start int
	// LookupPiece is the key that determines the owners.
	LookupPiece piece.Name
	Pieces      []piece.Name
}

// Segments splits the pieces of a prompt from position start on by their lookup pieces.
func Segments(names []piece.Name, start int) []Segment {
	var segments []Segment
	for i := start; i < len(names); {
		lookupIndex := LookupIndex(i)
		end := i + 1
		for end < len(names) && LookupIndex(end) == lookupIndex {
			end++
		}
		segments = append(segments, Segment{Start: i, LookupPiece: names[lookupIndex], Pieces: names[i:end]})
		i = end
	}
	return segments
}

// OwnerCandidates returns the live agents of a region, the candidates for owners.
func OwnerCandidates(instances []metastore.Instance, region string) []Member {
	var members []Member
	for _, instance := range instances {
		if instance.Role != metastore.RoleAgent || instance.State != metastore.InstanceLive || instance.Region != region {
			continue
		}
		members = append(members, Member{
			Instance:      instance.ID,
			FailureDomain: instance.FailureDomain,
			Address:       instance.ControlAddress,
		})
	}
	return members
}

// Equal reports whether two rings have the same members at the same addresses.
func (r *Ring) Equal(other *Ring) bool { return slices.Equal(r.members, other.members) }
