package peers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestSentAtTellsHowLongAHeartbeatWasHeldUp(t *testing.T) {
	const (
		run     = 7
		ms      = time.Millisecond
		transit = 3 * ms
		boot    = 90 * time.Hour // by which the sender's clock is behind
	)
	start := time.Unix(1_000_000, 0)
	type heartbeat struct {
		incarnation  uint64
		sent, heldUp time.Duration
		want         time.Duration
		unstated     bool
	}
	for name, heartbeats := range map[string][]heartbeat{
		"held up":            {{run, 0, 0, 0, false}, {run, 200 * ms, 5000 * ms, 5000 * ms, false}, {run, 400 * ms, 4800 * ms, 4800 * ms, false}, {run, 5300 * ms, 0, 0, false}},
		"first held up":      {{run, 0, 800 * ms, 0, false}, {run, 200 * ms, 900 * ms, 100 * ms, false}, {run, 1200 * ms, 0, 0, false}, {run, 1400 * ms, 50 * ms, 50 * ms, false}},
		"unstated":           {{run, 0, 0, 0, false}, {run, 200 * ms, 900 * ms, 0, true}},
		"another run":        {{run, 0, 0, 0, false}, {run + 1, 200 * ms, 900 * ms, 0, false}, {run, 300 * ms, 900 * ms, 0, false}, {run + 1, 1200 * ms, 100 * ms, 0, false}},
		"after a long pause": {{run, 0, 0, 0, false}, {run, 200 * ms, 5 * time.Minute, 5 * time.Minute, false}, {run, 400 * ms, 5*time.Minute - 100*ms, 5*time.Minute - 100*ms, false}},
		"a longer way":       {{run, 0, 0, 0, false}, {run, time.Second, 40 * ms, 40 * ms, false}, {run, 32 * time.Second, 40 * ms, 40 * ms, false}, {run, 64 * time.Second, 40 * ms, 0, false}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := NewMembers(&wire.Peer{Instance: "a"})
			from := &wire.Peer{Instance: "b", BeatAddress: "b"}
			m.Add(from, start)
			for i, h := range heartbeats {
				beat := &wire.Beat{From: from, Incarnation: h.incarnation, Sequence: uint64(i + 1), SentNs: start.Add(h.sent - boot).UnixNano()}
				if h.unstated {
					beat.SentNs = 0
				}
				now := start.Add(h.sent + transit + h.heldUp)
				c.Check(now.Sub(m.SentAt(beat, now)), qt.Equals, h.want, qt.Commentf("heartbeat %d", i))
				m.HandleBeat(beat, now)
			}
		})
	}
}

// Guards against heartbeats that look new because a long freeze of the receiver has removed their sender.
func TestHeartbeatHeldUpUntilItsSenderIsRemovedLooksOld(t *testing.T) {
	c := qt.New(t)
	m := NewMembers(peer("me", "a"))
	hear := func(sequence uint64, sent, received time.Duration) time.Time {
		held := beat("x", 1, sequence)
		held.SentNs = start.Add(sent).UnixNano()
		sentAt := m.SentAt(held, start.Add(received))
		m.HandleBeat(held, start.Add(received))
		return sentAt
	}
	hear(1, 0, 0)
	hear(2, time.Second, time.Second)
	awake := 2*time.Second + removeAfter
	m.Expire(start.Add(awake), start.Add(time.Second))
	c.Assert(m.Count(), qt.Equals, 1)
	c.Assert(hear(3, 2*time.Second, awake), qt.Equals, start.Add(2*time.Second))
	m.Expire(start.Add(awake+2*keepDelays), start.Add(awake))
	c.Assert(m.delays, qt.HasLen, 0)
}
