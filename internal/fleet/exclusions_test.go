package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Guards against prompts sent to engines that load weights: a former leader's heartbeat, held up by a freeze, ended their exclusion.
func TestHeartbeatOfAFormerLeaderEndsNoExclusion(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Self: self("a"), Log: newTestLog(c), Counters: NewCounters(tally.NoopScope)})
	f.dispatcher.SetServers([]backend.Server{{ID: "e1"}, {ID: "e2"}})
	excluded := func() (ids []string) {
		states := f.dispatcher.State(bootclock.Now())
		for i := range states {
			if states[i].ExcludedMS > 0 {
				ids = append(ids, states[i].ID)
			}
		}
		return ids
	}
	sequence := uint64(0)
	hear := func(from string, fence int64, excluded ...string) {
		sequence++
		peer := &wire.Peer{Instance: from, BeatAddress: from, ControlAddress: from, FailureDomain: "a"}
		f.handleBeat(&wire.Beat{From: peer, Incarnation: 1, Sequence: sequence, Fence: fence, Withheld: excluded}, bootclock.Now())
	}
	hear("former", 1, "e2")
	c.Assert(excluded(), qt.DeepEquals, []string{"e2"})
	hear("leader", 2, "e1")
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
	hear("former", 1, "e2")
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
	hear("next", 3)
	c.Assert(excluded(), qt.HasLen, 0)
}
