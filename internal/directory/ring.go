// Package directory tells entries and agents where pieces of KV cache probably live. Agents of a
// region serve it to each other and to the region's entries. It holds hints only: a wrong or
// missing hint costs a probe or a recomputation, never an error, and a home that restarts fills
// again as holders announce their pieces anew.
//
// Ring maps pieces to their homes, Table is a home's memory, Announcer paces what a holder tells
// the homes; the three are pure and belong to the control goroutine. Server and Client carry them
// over gRPC.
package directory

import (
	"slices"
	"sort"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

// MaxHomes bounds the agents of a region that serve as homes, and so the connections that each
// entry and agent opens for the directory.
const MaxHomes = 256

// homesPerKey is the number of homes of a key.
const homesPerKey = 2

// homeRankKey ranks agents for serving as homes.
const homeRankKey = 0x686f6d6573 // "homes"

// anchorStride is the ratio between the depths of consecutive anchors.
const anchorStride = 4

// Member is a live agent that can serve as a home.
type Member struct {
	Instance      string
	FailureDomain string
	// Address is ip:port of the control port.
	Address string

	hash uint64
}

// Ring maps keys to homes. It is immutable.
type Ring struct {
	members []Member
}

// NewRing returns the Ring over the live agents of a region. All processes that know the same
// agents choose the same homes.
func NewRing(live []Member) *Ring {
	members := append([]Member(nil), live...)
	for i := range members {
		members[i].hash = rendezvous.Hash(members[i].Instance)
	}
	sort.Slice(members, func(i, j int) bool {
		return outranks(homeRankKey, &members[i], &members[j])
	})
	return &Ring{members: members[:min(len(members), MaxHomes)]}
}

// outranks orders members for a key. Instances break ties.
func outranks(key uint64, a, b *Member) bool {
	x, y := rendezvous.Weight(key, a.hash), rendezvous.Weight(key, b.hash)
	if x != y {
		return x > y
	}
	return a.Instance < b.Instance
}

// Len returns the number of homes.
func (r *Ring) Len() int { return len(r.members) }

// Homes returns the homes of a key, the first in rank first. The second is in another failure
// domain than the first unless there is only one domain. The result is empty when there are no
// members.
func (r *Ring) Homes(key piece.Name) []Member {
	first := r.best(key.Hash(), func(*Member) bool { return true })
	if first == nil {
		return nil
	}
	homes := make([]Member, 0, homesPerKey)
	homes = append(homes, *first)
	second := r.best(key.Hash(), func(m *Member) bool { return m.FailureDomain != first.FailureDomain })
	if second == nil {
		second = r.best(key.Hash(), func(m *Member) bool { return m.Instance != first.Instance })
	}
	if second != nil {
		homes = append(homes, *second)
	}
	return homes
}

// best returns the member that ranks highest for a key among those that accept takes, or nil.
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

// AnchorIndex returns the position whose name chooses the homes of the piece at position i of a
// prompt. Anchors stand at positions 0, 4, 16, 64 and so on: a lookup of a whole prompt asks a few
// homes, while the pieces of conversations that share only a short prefix spread over many.
func AnchorIndex(i int) int {
	anchor := 0
	for next := anchorStride; next <= i; next *= anchorStride {
		anchor = next
	}
	return anchor
}

// Segment is a part of a prompt whose pieces share their homes.
type Segment struct {
	// Start is the position of the first piece.
	Start int
	// Anchor chooses the homes.
	Anchor piece.Name
	Pieces []piece.Name
}

// Segments splits the pieces of a prompt from position start on by their anchors.
func Segments(names []piece.Name, start int) []Segment {
	var segments []Segment
	for i := start; i < len(names); {
		anchor := AnchorIndex(i)
		end := i + 1
		for end < len(names) && AnchorIndex(end) == anchor {
			end++
		}
		segments = append(segments, Segment{Start: i, Anchor: names[anchor], Pieces: names[i:end]})
		i = end
	}
	return segments
}

// Homes returns the live agents of a region, which serve the directory.
func Homes(instances []metastore.Instance, region string) []Member {
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

// Equal reports whether two rings have the same homes at the same addresses.
func (r *Ring) Equal(other *Ring) bool { return slices.Equal(r.members, other.members) }
