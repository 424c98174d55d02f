// Package peers implements membership and heartbeats between the gateways of a deployment. Each gateway sends
// heartbeats with its load, the revisions of the metadata store that it has and, from the leader, which servers are
// loading weights. Gateways discover each other by leased keys of the store, the seeds of the settings and each
// other's heartbeats.
//
// The gateway's control goroutine owns Members; the Link transfers datagrams on goroutines of its own.
package peers

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// BeatInterval is the time between two heartbeats to the same failure domain while there are few gateways.
	// Older load is of little use, because requests take some hundred milliseconds.
	BeatInterval = 200 * time.Millisecond
	// beatPerMember is added to the interval for each other gateway of the failure domain, so that the rate of
	// heartbeats that a gateway receives from there doesn't grow with their number.
	beatPerMember = 12 * time.Millisecond
	// distantPerMember is the time between two heartbeats to another failure domain, for each gateway in other
	// domains. It bounds the rate of heartbeats received from there. The gateways of other domains send few requests
	// to this domain's servers, and traffic between domains is charged.
	distantPerMember = 30 * time.Millisecond
	// SilenceTimeout is how long after its latest heartbeat a gateway is live and its load counts. In other failure
	// domains the timeout is at least silentBeats heartbeats.
	SilenceTimeout = 2500 * time.Millisecond
	silentBeats    = 3
	// removeAfter is how long a silent gateway is kept in Members and sent heartbeats.
	removeAfter = 30 * time.Second
	// includePeersEvery is the number of heartbeats of which one includes a list of other gateways.
	includePeersEvery = 8
	// maxIncludedPeers bounds the length of that list.
	maxIncludedPeers = 12
	// maxMembers bounds the other gateways that are known.
	maxMembers = 8192
)

// Member is the last known state of one other gateway.
type Member struct {
	*wire.Peer
	// LastBeatAt is when its latest heartbeat was received; zero before the first.
	LastBeatAt time.Time
	// sentAt is when that one was sent, as by SentAt.
	sentAt time.Time
	// addedAt is when it was added to Members.
	addedAt     time.Time
	incarnation uint64
	sequence    uint64
	// formerIncarnation is the one before incarnation, whose heartbeats may still arrive.
	formerIncarnation uint64
	// NewRun is set if the latest heartbeat was the first one of the gateway's run.
	NewRun bool
	// Restarted is set if, in addition, an earlier run of the gateway is known.
	Restarted bool
	// Positions are the positions of the metadata store up to which the gateway has all changes, by prefix.
	Positions map[string]metastore.Position
	// Configuration is the version of the configuration that the gateway has in force.
	Configuration int64
	// Retired are the retired shares of cached parts that the gateway has received.
	Retired []*wire.RetiredShare
	Fence   int64
	// LastLeaderBeatAt is when the latest heartbeat was received in which the gateway was the leader.
	LastLeaderBeatAt time.Time
	Leaving          bool
}

// Members is one gateway's view of the others. It is not safe for concurrent use.
type Members struct {
	self    *wire.Peer
	members map[string]*Member
	// delays are the estimates by gateway. They outlast the members: after a long freeze all of those are removed before the heartbeats
	// that waited are read.
	delays map[string]*delayEstimate
	// nearCount is the number of members in this gateway's failure domain.
	nearCount int
	beats     uint64
	// quorumOf is the number of gateways of which more than half are a quorum.
	quorumOf int
	// quorumCheckedAt is when the quorum was last checked, noQuorumAt when there was last none; zero if never.
	quorumCheckedAt, noQuorumAt time.Time
}

// NewMembers returns empty Members for the gateway self.
func NewMembers(self *wire.Peer) *Members {
	return &Members{self: self, members: make(map[string]*Member), delays: make(map[string]*delayEstimate)}
}

// Add adds another gateway that was found in the store, a seed or a heartbeat.
func (m *Members) Add(p *wire.Peer, now time.Time) {
	if p.GetInstance() == "" || p.GetInstance() == m.self.GetInstance() || p.GetBeatAddress() == "" {
		return
	}
	member := m.members[p.GetInstance()]
	if member == nil && len(m.members) >= maxMembers {
		return
	}
	if member == nil {
		m.members[p.GetInstance()] = &Member{Peer: p, addedAt: now, Positions: make(map[string]metastore.Position)}
		m.countNear()
		return
	}
	// The gateway's own heartbeats take precedence over what others report about it.
	if member.LastBeatAt.IsZero() {
		m.setPeer(member, p)
	}
}

func (m *Members) setPeer(member *Member, p *wire.Peer) {
	moved := member.GetFailureDomain() != p.GetFailureDomain()
	member.Peer = p
	if moved {
		m.countNear()
	}
}

// HandleBeat updates the sender's Member from a heartbeat and returns it. It returns nil for heartbeats that are out of
// order or of the sender's previous run, and for those of the gateway itself.
func (m *Members) HandleBeat(beat *wire.Beat, now time.Time) *Member {
	m.checkMissedQuorum(now)
	from := beat.GetFrom()
	m.Add(from, now)
	member := m.members[from.GetInstance()]
	if member == nil {
		return nil
	}
	member.NewRun = member.incarnation != beat.GetIncarnation()
	member.Restarted = member.NewRun && !member.LastBeatAt.IsZero()
	switch beat.GetIncarnation() {
	case member.incarnation:
		if beat.GetSequence() <= member.sequence {
			return nil
		}
	case member.formerIncarnation:
		return nil
	default:
		member.formerIncarnation = member.incarnation
		clear(member.Positions)
	}
	m.setPeer(member, from)
	member.incarnation, member.sequence = beat.GetIncarnation(), beat.GetSequence()
	member.LastBeatAt, member.sentAt = now, m.SentAt(beat, now)
	member.Retired = beat.GetRetired()
	member.Fence, member.Leaving = beat.GetFence(), beat.GetLeaving()
	if member.Fence > 0 {
		member.LastLeaderBeatAt = now
	}
	for _, k := range beat.GetKnown() {
		position := metastore.Position{Era: metastore.Era(k.GetEra()), Revision: metastore.Revision(k.GetRevision())}
		if position.Compare(member.Positions[k.GetPrefix()]) > 0 {
			member.Positions[k.GetPrefix()] = position
		}
	}
	member.Configuration = beat.GetConfiguration()
	for _, p := range beat.GetPeers() {
		m.Add(p, now)
	}
	return member
}

// near reports whether a member is in this gateway's failure domain.
func (m *Members) near(member *Member) bool {
	return member.GetFailureDomain() == m.self.GetFailureDomain()
}

// countNear sets nearCount after a member was added, removed or moved.
func (m *Members) countNear() {
	m.nearCount = 0
	for _, member := range m.members {
		if m.near(member) {
			m.nearCount++
		}
	}
}

// Interval returns the time to the next heartbeat.
func (m *Members) Interval() time.Duration {
	return BeatInterval + time.Duration(m.nearCount)*beatPerMember
}

// distantInterval returns the time between two heartbeats to the same gateway of another failure domain.
func (m *Members) distantInterval() time.Duration {
	return max(m.Interval(), time.Duration(len(m.members)-m.nearCount)*distantPerMember)
}

// silenceTimeout returns how long after its latest heartbeat a member is live.
func (m *Members) silenceTimeout(member *Member) time.Duration {
	if m.near(member) {
		return SilenceTimeout
	}
	return max(SilenceTimeout, silentBeats*m.distantInterval())
}

// Expected returns the members that are live or were added no longer than SilenceTimeout ago, in the order of their
// names.
func (m *Members) Expected(now time.Time) []*Member {
	var expected []*Member
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		if member := m.members[name]; m.IsLive(name, now) || member.LastBeatAt.IsZero() && now.Sub(member.addedAt) <= SilenceTimeout {
			expected = append(expected, member)
		}
	}
	return expected
}

// IsLive reports whether the gateway with the name is a member that isn't silent.
func (m *Members) IsLive(name string, now time.Time) bool {
	member := m.members[name]
	return member != nil && now.Sub(member.LastBeatAt) <= m.silenceTimeout(member)
}

// Live returns the members that aren't silent, in the order of their names.
func (m *Members) Live(now time.Time) []*Member {
	var live []*Member
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		if member := m.members[name]; now.Sub(member.LastBeatAt) <= m.silenceTimeout(member) {
			live = append(live, member)
		}
	}
	return live
}

// Position returns this gateway's index among the live gateways of its failure domain, in the order of their
// names, and the number of these gateways. Gateways that are leaving don't count.
func (m *Members) Position(now time.Time) (index, count int) {
	count = 1
	for name, member := range m.members {
		if member.Leaving || now.Sub(member.LastBeatAt) > SilenceTimeout || member.GetFailureDomain() != m.self.GetFailureDomain() {
			continue
		}
		count++
		if name < m.self.GetInstance() {
			index++
		}
	}
	return index, count
}

// Leader returns the live member that leads by its latest heartbeat, the one with the highest fencing token if several do, or nil.
func (m *Members) Leader(now time.Time) (leader *Member) {
	for _, member := range m.Live(now) {
		if member.Fence > 0 && (leader == nil || member.Fence > leader.Fence) {
			leader = member
		}
	}
	return leader
}

// Retired returns the retired shares that a gateway has reported; none if it isn't known.
func (m *Members) Retired(gateway string) []*wire.RetiredShare {
	if member := m.members[gateway]; member != nil {
		return member.Retired
	}
	return nil
}

// Expire removes members that have been silent for longer than removeAfter. It returns the names of those that
// have become silent since the previous call.
func (m *Members) Expire(now time.Time, previous time.Time) (silent []string) {
	defer m.countNear()
	m.expireDelays(now)
	for name, member := range m.members {
		last := member.LastBeatAt
		if last.IsZero() {
			last = member.addedAt
		}
		timeout := m.silenceTimeout(member)
		if now.Sub(last) > max(removeAfter, 2*timeout) {
			delete(m.members, name)
		}
		if now.Sub(last) > timeout && previous.Sub(last) <= timeout {
			silent = append(silent, name)
		}
	}
	return silent
}

// ReachableShare returns the part of the gateways that this one reaches, itself included: the live ones among all that aren't
// leaving. The shares of groups of gateways that can't reach each other add up to no more than 1.
func (m *Members) ReachableShare(now time.Time) float64 {
	reachable, all := 1, 1
	for name, member := range m.members {
		if member.Leaving {
			continue
		}
		all++
		if m.IsLive(name, now) {
			reachable++
		}
	}
	return float64(reachable) / float64(all)
}

// Count returns how many gateways there may be, including this one: those that sent a heartbeat in the last half
// minute or are listed in the store.
func (m *Members) Count() int { return len(m.members) + 1 }

// Receivers returns the addresses that get the next heartbeat, and whether it includes a list of other gateways. The
// gateways of other failure domains get it in turn, each once in distantInterval. All gateways get each heartbeat of
// the leader, so that no other one tries to lead.
func (m *Members) Receivers(leader bool) (addresses []string, includePeers bool) {
	m.beats++
	turns := uint64((m.distantInterval() + m.Interval() - 1) / m.Interval())
	for i, name := range slices.Sorted(maps.Keys(m.members)) {
		member := m.members[name]
		if leader || m.near(member) || member.LastBeatAt.IsZero() || (m.beats+uint64(i))%turns == 0 {
			addresses = append(addresses, member.GetBeatAddress())
		}
	}
	return addresses, m.beats%includePeersEvery == 0
}

// Incarnations returns all members, including silent ones, by their names, with the incarnations of their latest runs; 0 before the first
// heartbeat.
func (m *Members) Incarnations() map[string]uint64 {
	incarnations := make(map[string]uint64, len(m.members))
	for name, member := range m.members {
		incarnations[name] = member.incarnation
	}
	return incarnations
}

// Peers returns all members.
func (m *Members) Peers() []*wire.Peer {
	list := make([]*wire.Peer, 0, len(m.members))
	for _, member := range m.members {
		list = append(list, member.Peer)
	}
	return list
}

// BeatAddresses returns the heartbeat addresses of all members.
func (m *Members) BeatAddresses() []string {
	addresses := make([]string, 0, len(m.members))
	for _, member := range m.members {
		addresses = append(addresses, member.GetBeatAddress())
	}
	return addresses
}

// RecentPeers returns up to maxIncludedPeers live members, for gateways that may not have discovered them.
func (m *Members) RecentPeers(now time.Time) []*wire.Peer {
	var list []*wire.Peer
	for _, member := range m.Live(now) {
		if len(list) < maxIncludedPeers {
			list = append(list, member.Peer)
		}
	}
	return list
}

// Ahead returns a live member that has a later position of a prefix than position, or nil. failed reports whether a call to a
// gateway has failed recently. Members for which it doesn't are preferred, then those with the latest position, then those
// of this failure domain. Of several such members one is picked at random, so that not all gateways ask the same one.
func (m *Members) Ahead(prefix string, position metastore.Position, now time.Time, failed func(instance string) bool) *Member {
	return m.pick(now, failed, func(member *Member) (metastore.Position, bool) {
		known := member.Positions[prefix]
		return known, known.Compare(position) > 0
	})
}

// WithLaterConfiguration returns a live member that has a later configuration in force than version, or nil. It picks
// among them as Ahead does. After the metadata store has come back from a copy, the other gateways may have a
// configuration that the store has lost.
func (m *Members) WithLaterConfiguration(version int64, now time.Time, failed func(instance string) bool) *Member {
	return m.pick(now, failed, func(member *Member) (metastore.Position, bool) {
		return metastore.Position{}, member.Configuration > version
	})
}

func (m *Members) pick(now time.Time, failed func(instance string) bool, eligible func(*Member) (metastore.Position, bool)) *Member {
	type candidate struct {
		member   *Member
		position metastore.Position
		failed   bool
	}
	var candidates []candidate
	for _, member := range m.Live(now) {
		if position, ok := eligible(member); ok {
			candidates = append(candidates, candidate{member, position, failed(member.GetInstance())})
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(a.failed, b.failed), b.position.Compare(a.position), compareBool(!m.near(a.member), !m.near(b.member)))
	})
	return best.member
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
