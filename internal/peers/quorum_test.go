package peers

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// newQuorumMembers returns the Members of a gateway that has heard two others, and a function that handles the next heartbeat of
// both.
func newQuorumMembers(now time.Time) (m *Members, beats func(at time.Time)) {
	m = NewMembers(peer("self", "d0"))
	sequence := uint64(0)
	beats = func(at time.Time) {
		sequence++
		for i := range 2 {
			m.HandleBeat(beat(fmt.Sprint("g", i), 1, sequence), at)
		}
	}
	beats(now)
	m.Listed()
	return m, beats
}

// Guards against a gateway that was frozen, wakes, handles the heartbeats that arrived meanwhile and grants at once, while the others
// have replaced it and don't know yet that it is back.
func TestFrozenGatewayHasNoQuorumAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	m, beats := newQuorumMembers(now)
	c.Assert(m.Quorum(now), qt.IsTrue)
	now = now.Add(removeAfter + quorumWithin)
	beats(now)
	c.Assert(m.Quorum(now), qt.IsFalse)
	beats(now.Add(SilenceTimeout / 2))
	c.Assert(m.Quorum(now.Add(SilenceTimeout/2)), qt.IsFalse)
	c.Assert(m.Quorum(now.Add(SilenceTimeout)), qt.IsTrue)
}

// Guards against two owners in the first moments after a gateway that was cut off hears the others again.
func TestGatewayThatWasCutOffHasNoQuorumAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	m, beats := newQuorumMembers(now)
	c.Assert(m.Quorum(now), qt.IsTrue)
	for end := now.Add(removeAfter + quorumWithin); now.Before(end); now = now.Add(time.Second / 2) {
		m.Quorum(now)
		m.Expire(now, now)
	}
	beats(now)
	c.Assert(m.Quorum(now), qt.IsFalse)
	c.Assert(m.Quorum(now.Add(SilenceTimeout)), qt.IsTrue)
}

// Guards against a minority that is cut off and, once the others are forgotten, counts as a majority.
func TestMinorityStaysOneWhenTheOthersAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := NewMembers(&wire.Peer{Instance: "a", BeatAddress: "a"})
	sequence := uint64(0)
	beat := func(names ...string) {
		sequence++
		for _, name := range names {
			m.HandleBeat(&wire.Beat{From: &wire.Peer{Instance: name, BeatAddress: name}, Incarnation: 1, Sequence: sequence}, now)
		}
	}
	beat("b", "c", "d")
	c.Check(m.Quorum(now), qt.IsTrue)
	c.Check(m.HearsMajority(now, time.Second), qt.IsTrue)
	for silentSince := now; now.Sub(silentSince) <= 2*removeAfter; now = now.Add(quorumCheckInterval) {
		beat("b")
		m.Quorum(now)
		m.Expire(now, now.Add(-quorumCheckInterval))
		if now.Sub(silentSince) > time.Second {
			c.Check(m.HearsMajority(now, time.Second), qt.IsFalse, qt.Commentf("after %s", now.Sub(silentSince)))
		}
	}
	c.Check(m.Count(), qt.Equals, 2)
	beat("b", "c")
	c.Check(m.HearsMajority(now, time.Second), qt.IsTrue)
}
