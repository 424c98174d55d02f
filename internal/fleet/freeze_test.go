package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Guards against prompts sent to loading engines in the moments after a freeze, before the leader's heartbeat.
func TestExclusionsMayBeOldAfterAFreezeUntilTheLeaderIsHeard(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	start := bootclock.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	leader := &wire.Peer{Instance: "b", BeatAddress: "b", ControlAddress: "b", FailureDomain: "a"}
	sequence := uint64(0)
	hear := func(sentMS, receivedMS int) {
		sequence++
		f.handleBeat(&wire.Beat{From: leader, Incarnation: 1, Sequence: sequence, SentNs: at(sentMS).UnixNano(), Fence: 1}, at(receivedMS))
	}
	f.tickedAt = start
	hear(0, 0)
	hear(100, 100)
	c.Check(f.exclusionsMayBeOld(at(200)), qt.IsFalse)
	c.Check(f.exclusionsMayBeOld(at(3000)), qt.IsTrue)
	f.recordTick(at(3000))
	hear(300, 3001)
	c.Check(f.exclusionsMayBeOld(at(3002)), qt.IsTrue)
	hear(3003, 3003)
	c.Check(f.exclusionsMayBeOld(at(3004)), qt.IsFalse)
	f.recordTick(at(3250))
	f.recordTick(at(6000))
	c.Check(f.exclusionsMayBeOld(at(6000).Add(leaderWait-1)), qt.IsTrue)
	c.Check(f.exclusionsMayBeOld(at(6000).Add(leaderWait)), qt.IsFalse)
	f.lead = leadership{fence: 2, until: at(6100)}
	c.Check(f.exclusionsMayBeOld(at(6099)), qt.IsFalse)
	c.Check(f.exclusionsMayBeOld(at(6100)), qt.IsTrue)
}

// Guards against prompts sent to loading engines by their leader: its own exclusions expired in a freeze shorter than its lease.
func TestLeaderThatWakesHasItsExclusions(t *testing.T) {
	c := qt.New(t)
	f, excluded := fleetWithEngines(c)
	now := bootclock.Now()
	frozenAt := now.Add(-2 * time.Second)
	f.tickedAt = frozenAt
	f.lead = leadership{fence: 1, until: now.Add(time.Minute), planner: weights.NewPlanner("a", 1, 0), excluded: []string{"e1"}}
	f.dispatcher.SetExcluded(f.lead.excluded, frozenAt)
	c.Assert(excluded(), qt.HasLen, 0)
	c.Assert(f.exclusionsMayBeOld(now), qt.IsTrue)
	f.recordTick(now)
	c.Assert(f.exclusionsMayBeOld(now), qt.IsFalse)
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
}

func TestPromptAfterAFreezeWaitsForTheLeader(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.loop.Run(ctx) })
	defer running.Wait()
	defer stop()
	wake := func(at time.Time) {
		f.loop.Call(func() { f.awakeSince, f.tickedAt = at, at.Add(time.Hour) })
	}
	place := func(ctx context.Context, model string) {
		_, refusal := f.Place(ctx, &dispatch.Request{Service: "s", Model: model}, nil)
		c.Check(refusal, qt.IsNotNil)
	}
	awake := bootclock.Now()
	wake(awake)
	place(ctx, "m")
	c.Check(bootclock.Now().Sub(awake) >= leaderWait, qt.IsTrue)

	// From here on the wait doesn't end by itself.
	awake = bootclock.Now().Add(time.Hour)
	wake(awake)
	place(ctx, "")
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	place(cancelled, "m")
	placed := make(chan struct{})
	running.Go(func() {
		place(ctx, "m")
		close(placed)
	})
	select {
	case <-placed:
		c.Fatal("the prompt hasn't waited")
	case <-time.After(5 * leaderCheckInterval):
	}
	f.loop.Call(func() { hearLeader(f, 1, "leader", 1) })
	select {
	case <-placed:
		c.Fatal("the prompt hasn't waited for a heartbeat sent since the freeze")
	case <-time.After(5 * leaderCheckInterval):
	}
	leader := &wire.Peer{Instance: "leader", BeatAddress: "leader", ControlAddress: "leader", FailureDomain: "a"}
	f.loop.Call(func() { f.handleBeat(&wire.Beat{From: leader, Incarnation: 1, Sequence: 2, Fence: 1}, awake) })
	select {
	case <-placed:
	case <-time.After(10 * time.Second):
		c.Fatal("the prompt still waits")
	}
}

// Guards against prompts that wait for as long as the control goroutine is behind.
func TestPromptIsPlacedWhileTheControlGoroutineIsBehind(t *testing.T) {
	c := qt.New(t)
	_, f := startWithServers(c, "s1")
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	var work func()
	work = func() {
		time.Sleep(10 * time.Millisecond)
		if ctx.Err() == nil {
			f.loop.TryPost(work)
		}
	}
	for range 80 {
		f.loop.TryPost(work)
	}
	time.Sleep(2 * time.Second)
	_, _ = f.Place(ctx, &dispatch.Request{Service: "s", Model: "m"}, nil)
	c.Check(ctx.Err(), qt.IsNil)
}
