// Package peers keeps the gateways of a deployment in touch. Each one sends beats with its load, what it
// knows of the metadata store and, from the leader, which servers are loading weights. Gateways find each
// other by leased keys of the store, by the seeds of the settings and by each other's beats.
//
// The gateway's control goroutine owns Members; the Link carries datagrams on goroutines of its own.
package peers

import (
	"maps"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// BeatEvery is the time between two beats to the same failure domain while there are few gateways.
	// Load that is older says little: requests take some hundred milliseconds.
	BeatEvery = 200 * time.Millisecond
	// beatSpread is added for each gateway, so that the beats that one receives don't grow with their number.
	beatSpread = 12 * time.Millisecond
	// distantShare is one beat to another failure domain for so many gateways: in large deployments the
	// gateways of other domains send few requests to this one's servers, and their traffic is charged.
	distantShare = 8
	// SilentFor is how long a gateway may be silent before its load no longer counts: a few beats to
	// another failure domain.
	SilentFor = 2500 * time.Millisecond
	// forgetAfter is how long a silent gateway is still sent beats.
	forgetAfter = 30 * time.Second
	// introduceEvery is how many beats go without a list of other gateways.
	introduceEvery = 8
	// introduceMost bounds that list.
	introduceMost = 12
)

// Member is one other gateway.
type Member struct {
	*wire.Peer
	// HeardAt is when its latest beat came; zero before the first.
	HeardAt time.Time
	// addedAt is when it was first heard of.
	addedAt     time.Time
	incarnation uint64
	sequence    uint64
	Known       map[string]int64
	// Retired are the retired shares of cached parts that the gateway knows of.
	Retired []*wire.RetiredShare
	Fence   int64
	// LedAt is when the gateway was last heard as the leader.
	LedAt   time.Time
	Leaving bool
}

// Members is what one gateway knows of the others. It is not safe for concurrent use.
type Members struct {
	self    *wire.Peer
	members map[string]*Member
	beats   uint64
}

// NewMembers returns Members of a gateway that knows no other.
func NewMembers(self *wire.Peer) *Members {
	return &Members{self: self, members: make(map[string]*Member)}
}

// Learn takes the address of another gateway from the store, a seed or a beat.
func (m *Members) Learn(p *wire.Peer, now time.Time) {
	if p.GetInstance() == "" || p.GetInstance() == m.self.GetInstance() || p.GetBeatAddress() == "" {
		return
	}
	known := m.members[p.GetInstance()]
	if known == nil {
		m.members[p.GetInstance()] = &Member{Peer: p, addedAt: now, Known: make(map[string]int64)}
		return
	}
	// What the gateway says of itself goes before what others say.
	if known.HeardAt.IsZero() {
		known.Peer = p
	}
}

// Heard takes a beat. It returns nil for beats that are late or from an earlier run.
func (m *Members) Heard(beat *wire.Beat, now time.Time) *Member {
	from := beat.GetFrom()
	m.Learn(from, now)
	member := m.members[from.GetInstance()]
	if member == nil {
		return nil
	}
	if member.incarnation == beat.GetIncarnation() && beat.GetSequence() <= member.sequence {
		return nil
	}
	member.Peer = from
	member.incarnation, member.sequence = beat.GetIncarnation(), beat.GetSequence()
	member.HeardAt = now
	member.Retired = beat.GetRetired()
	member.Fence, member.Leaving = beat.GetFence(), beat.GetLeaving()
	if member.Fence > 0 {
		member.LedAt = now
	}
	for _, k := range beat.GetKnown() {
		member.Known[k.GetPrefix()] = max(member.Known[k.GetPrefix()], k.GetRevision())
	}
	for _, p := range beat.GetPeers() {
		m.Learn(p, now)
	}
	return member
}

// Live returns the members that were heard from lately, in the order of their names.
func (m *Members) Live(now time.Time) []*Member {
	var live []*Member
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		if member := m.members[name]; now.Sub(member.HeardAt) <= SilentFor {
			live = append(live, member)
		}
	}
	return live
}

// Position returns this gateway's place among the live gateways of its failure domain, in the order of their
// names, and how many they are. Those that are leaving don't count.
func (m *Members) Position(now time.Time) (index, of int) {
	of = 1
	for name, member := range m.members {
		if member.Leaving || now.Sub(member.HeardAt) > SilentFor || member.GetFailureDomain() != m.self.GetFailureDomain() {
			continue
		}
		of++
		if name < m.self.GetInstance() {
			index++
		}
	}
	return index, of
}

// Within returns the members that were heard from, or first heard of, no longer than d ago.
func (m *Members) Within(now time.Time, d time.Duration) []*Member {
	var found []*Member
	for _, member := range m.members {
		if now.Sub(member.HeardAt) <= d || now.Sub(member.addedAt) <= d {
			found = append(found, member)
		}
	}
	return found
}

// Expire forgets members that have been silent for long and returns those that fell silent since the
// last call.
func (m *Members) Expire(now time.Time, before time.Time) (silent []string) {
	for name, member := range m.members {
		last := member.HeardAt
		if last.IsZero() {
			last = member.addedAt
		}
		if now.Sub(last) > forgetAfter {
			delete(m.members, name)
		}
		if now.Sub(last) > SilentFor && before.Sub(last) <= SilentFor {
			silent = append(silent, name)
		}
	}
	return silent
}

// Count returns how many gateways there may be, this one included: those heard from in the last half
// minute or listed in the store.
func (m *Members) Count() int { return len(m.members) + 1 }

// Interval returns the time to the next beat.
func (m *Members) Interval() time.Duration {
	return BeatEvery + time.Duration(len(m.members))*beatSpread
}

// Receivers returns the addresses that get the next beat, and whether it introduces other gateways.
func (m *Members) Receivers() (addresses []string, introduce bool) {
	m.beats++
	distantEvery := 1 + uint64(len(m.members)/distantShare)
	for _, member := range m.members {
		near := member.GetFailureDomain() == m.self.GetFailureDomain()
		if near || member.HeardAt.IsZero() || m.beats%distantEvery == 0 {
			addresses = append(addresses, member.GetBeatAddress())
		}
	}
	slices.Sort(addresses)
	return addresses, m.beats%introduceEvery == 0
}

// Everyone returns the addresses of all members.
func (m *Members) Everyone() []string {
	addresses := make([]string, 0, len(m.members))
	for _, member := range m.members {
		addresses = append(addresses, member.GetBeatAddress())
	}
	return addresses
}

// Introduced returns some members that were heard from lately, for others that may not know them.
func (m *Members) Introduced(now time.Time) []*wire.Peer {
	var list []*wire.Peer
	for _, member := range m.Live(now) {
		if len(list) < introduceMost {
			list = append(list, member.Peer)
		}
	}
	return list
}

// Ahead returns a live member that knows more of a prefix than this gateway, or nil.
func (m *Members) Ahead(prefix string, revision int64, now time.Time) *Member {
	var best *Member
	for _, member := range m.Live(now) {
		if member.Known[prefix] > revision && (best == nil || member.Known[prefix] > best.Known[prefix]) {
			best = member
		}
	}
	return best
}
