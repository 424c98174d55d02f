package peers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/leaktest"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestMain(m *testing.M) { leaktest.VerifyMain(m) }

var start = time.Unix(1000, 0)

func peer(name, domain string) *wire.Peer {
	return &wire.Peer{Instance: name, BeatAddress: name + ":1", FailureDomain: domain}
}

func beat(name string, incarnation, sequence uint64) *wire.Beat {
	return &wire.Beat{From: peer(name, "a"), Incarnation: incarnation, Sequence: sequence}
}

func TestLateBeatsAreDropped(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(peer("me", "a"))
	c.Assert(m.Heard(beat("x", 1, 5), start), qt.IsNotNil)
	c.Assert(m.Heard(beat("x", 1, 4), start), qt.IsNil)
	c.Assert(m.Heard(beat("x", 2, 1), start), qt.IsNotNil, qt.Commentf("a new run counts from 1"))
	c.Assert(m.Heard(beat("me", 1, 1), start), qt.IsNil)
}

func TestSilentMembersDoNotCount(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(peer("me", "a"))
	m.Heard(beat("x", 1, 1), start)
	c.Assert(m.Live(start), qt.HasLen, 1)
	later := start.Add(SilentFor + time.Millisecond)
	c.Assert(m.Live(later), qt.HasLen, 0)
	c.Assert(m.Expire(later, start), qt.DeepEquals, []string{"x"})
	c.Assert(m.Expire(later.Add(time.Second), later), qt.HasLen, 0)
	c.Assert(m.Count(), qt.Equals, 2, qt.Commentf("it may be cut off and spend its part of a budget"))
	m.Expire(start.Add(forgetAfter+time.Second), later)
	c.Assert(m.Count(), qt.Equals, 1)
}

// Gateways learn of each other through a third one.
func TestIntroductions(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(peer("me", "a"))
	hello := beat("x", 1, 1)
	hello.Peers = []*wire.Peer{peer("y", "b"), peer("me", "a")}
	m.Heard(hello, start)
	c.Assert(m.Everyone(), qt.HasLen, 2)
}

func TestAheadIsTheOneThatKnowsMost(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(peer("me", "a"))
	for i, name := range []string{"x", "y", "z"} {
		b := beat(name, 1, 1)
		b.Known = []*wire.PrefixRevision{{Prefix: "op/", Revision: int64(i + 1)}}
		m.Heard(b, start)
	}
	c.Assert(m.Ahead("op/", 1, start).GetInstance(), qt.Equals, "z")
	c.Assert(m.Ahead("op/", 3, start), qt.IsNil)
}

func TestLinkCarriesBeats(t *testing.T) {
	c := qt.New(t)
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	heard := make(chan *wire.Beat, 1)
	link, err := Listen(address, func(b *wire.Beat) { heard <- b })
	c.Assert(err, qt.IsNil)
	c.Assert(link.Send(beat("x", 1, 9), []string{address}), qt.IsNil)
	select {
	case b := <-heard:
		c.Assert(b.GetSequence(), qt.Equals, uint64(9))
	case <-time.After(5 * time.Second):
		c.Fatal("no beat came")
	}
	c.Assert(link.Close(), qt.IsNil)
}

// A gateway's place counts the live gateways of its failure domain, and none that is leaving.
func TestPositionAmongTheLiveOfTheDomain(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(peer("g2", "a"))
	for _, other := range []*wire.Peer{peer("g1", "a"), peer("g3", "a"), peer("g0", "b"), peer("g4", "a")} {
		m.Heard(&wire.Beat{From: other, Incarnation: 1, Sequence: 1, Leaving: other.GetInstance() == "g4"}, start)
	}
	index, of := m.Position(start)
	c.Assert([]int{index, of}, qt.DeepEquals, []int{1, 3})
	index, of = m.Position(start.Add(SilentFor + time.Millisecond))
	c.Assert([]int{index, of}, qt.DeepEquals, []int{0, 1})
}
