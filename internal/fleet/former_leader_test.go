package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// fleetWithEngines returns a Fleet that has two engines and isn't started, and a function that lists those that are excluded.
func fleetWithEngines(c *qt.C) (f *Fleet, excluded func() []string) {
	f = New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), Counters: NewCounters(tally.NoopScope)})
	f.dispatcher.SetServers([]backend.Server{{ID: "e1"}, {ID: "e2"}})
	return f, func() (ids []string) {
		states := f.dispatcher.State(bootclock.Now())
		for i := range states {
			if states[i].ExcludedMS > 0 {
				ids = append(ids, states[i].ID)
			}
		}
		return ids
	}
}

func hearLeader(f *Fleet, sequence uint64, from string, fence int64, excluded ...string) {
	peer := &wire.Peer{Instance: from, BeatAddress: from, ControlAddress: from, FailureDomain: "a"}
	f.handleBeat(&wire.Beat{From: peer, Incarnation: 1, Sequence: sequence, Fence: fence, Withheld: excluded}, bootclock.Now())
}

// Guards against prompts sent to engines that load weights: a former leader's heartbeat, held up by a freeze, ended their exclusion.
func TestHeartbeatOfAFormerLeaderEndsNoExclusion(t *testing.T) {
	c := qt.New(t)
	f, excluded := fleetWithEngines(c)
	hearLeader(f, 1, "former", 1, "e2")
	c.Assert(excluded(), qt.DeepEquals, []string{"e2"})
	hearLeader(f, 2, "leader", 2, "e1")
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
	hearLeader(f, 3, "former", 1, "e2")
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
	hearLeader(f, 4, "next", 3)
	c.Assert(excluded(), qt.HasLen, 0)
}

// Guards against prompts sent to engines that load weights: a leader that had been frozen ended the exclusions of the next one.
func TestFormerLeaderKeepsTheExclusionsOfTheNextOne(t *testing.T) {
	c := qt.New(t)
	f, excluded := fleetWithEngines(c)
	f.lead = leadership{fence: 1, planner: weights.NewPlanner("a", 1, 0)}
	f.latestFence = 1
	hearLeader(f, 1, "leader", 2, "e1")
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
	f.excludeServers(bootclock.Now())
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
	f.endLeadership()
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
}

// Guards against a new leader that plans with the default time of a load, though the one before measured it.
func TestLoadTimeOfTheLatestLeaderIsKept(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Self: self("a"), Log: newTestLog(c), Counters: NewCounters(tally.NoopScope)})
	for i, leader := range []struct {
		name   string
		fence  int64
		loadMS uint32
		kept   time.Duration
	}{{"former", 1, 2000, 2 * time.Second}, {"leader", 2, 4000, 4 * time.Second}, {"former", 1, 2000, 4 * time.Second}, {"follower", 0, 0, 4 * time.Second}} {
		peer := &wire.Peer{Instance: leader.name, BeatAddress: leader.name, ControlAddress: leader.name, FailureDomain: "a"}
		f.handleBeat(&wire.Beat{From: peer, Incarnation: 1, Sequence: uint64(i + 1), Fence: leader.fence, LoadMs: leader.loadMS}, bootclock.Now())
		c.Assert(f.formerLoadTime, qt.Equals, leader.kept)
	}
}
