package peers

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

// quorumWithin is how recently a gateway must have been heard to count towards a quorum. It is shorter than removeAfter, so that
// a gateway that is cut off finds no quorum any more before the others forget it and replace it.
const quorumWithin = 20 * time.Second

// quorumSettleTime is how long a gateway must have had a quorum before it counts. Others may have replaced a gateway that was without
// one, and go on using its replacement until they hear it again, within some heartbeats.
const quorumSettleTime = SilenceTimeout

// quorumCheckInterval is how long the quorum may go unchecked before a heartbeat is handled. It is longer than the interval at which
// gateways check it; only one that was frozen exceeds it.
const quorumCheckInterval = time.Second

// Known returns the members that aren't leaving, live or not, in no order.
func (m *Members) Known() []*Member {
	known := make([]*Member, 0, len(m.members))
	for _, member := range m.members {
		if !member.Leaving {
			known = append(known, member)
		}
	}
	return known
}

// PermanentOwner returns the gateway with the greatest weight for a key among the known ones, nil for this one, which counts only
// if eligible is set. A silent gateway keeps what it owns until it is forgotten, because one that is cut off may go on using it.
func (m *Members) PermanentOwner(key string, eligible bool) (owner *Member) {
	hash, best := rendezvous.Hash(key), uint64(0)
	if eligible {
		best = rendezvous.Weight(hash, rendezvous.Hash(m.self.GetInstance()))
	}
	for _, member := range m.Known() {
		if weight := rendezvous.Weight(hash, rendezvous.Hash(member.GetInstance())); weight > best {
			owner, best = member, weight
		}
	}
	return owner
}

// Quorum reports whether this gateway has heard more than half of the gateways within quorumWithin, itself included, for
// quorumSettleTime. A gateway without a quorum may have been replaced by another one. It then keeps counting the gateways that it has
// forgotten since, until it hears more than half of them again or the metadata store lists the gateways anew. It must be called more
// often than every quorumCheckInterval.
func (m *Members) Quorum(now time.Time) bool {
	m.quorumCheckedAt = now
	if !m.hearsQuorum(now) {
		m.noQuorumAt = now
		return false
	}
	return m.noQuorumAt.IsZero() || now.Sub(m.noQuorumAt) >= quorumSettleTime
}

// checkMissedQuorum notices the loss of the quorum while this gateway was frozen, before the heartbeats that arrived in that time
// hide it.
func (m *Members) checkMissedQuorum(now time.Time) {
	if !m.quorumCheckedAt.IsZero() && now.Sub(m.quorumCheckedAt) > quorumCheckInterval {
		m.Quorum(now)
	}
}

// hearsQuorum reports whether this gateway has heard more than half of the gateways within quorumWithin, itself included.
func (m *Members) hearsQuorum(now time.Time) bool {
	heard, all := m.countHeard(func(member *Member) bool { return now.Sub(member.LastBeatAt) <= quorumWithin })
	m.quorumOf = max(m.quorumOf, all)
	if 2*heard <= m.quorumOf {
		return false
	}
	m.quorumOf = all
	return true
}

// countHeard returns the number of gateways that this one has heard, and of all, itself included.
func (m *Members) countHeard(isHeard func(*Member) bool) (heard, all int) {
	known := m.Known()
	heard = 1
	for _, member := range known {
		if isHeard(member) {
			heard++
		}
	}
	return heard, len(known) + 1
}

// HearsMajority reports whether this gateway has heard what more than half of the gateways, itself included, sent no longer than d ago.
// It counts them as Quorum does.
func (m *Members) HearsMajority(now time.Time, d time.Duration) bool {
	heard, all := m.countHeard(func(member *Member) bool { return now.Sub(member.sentAt) <= d })
	return 2*heard > max(m.quorumOf, all)
}

// Listed records that the gateways that the metadata store lists have been added.
func (m *Members) Listed() { m.quorumOf = len(m.Known()) + 1 }
