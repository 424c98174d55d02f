package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/peers"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const heldUp = 3 * time.Second

// hearHeldUp lets f hear a heartbeat that waited while f was frozen, and returns when it was sent.
func hearHeldUp(f *Fleet, beat *wire.Beat) (sentAt time.Time) {
	from := &wire.Peer{Instance: "b", BeatAddress: "b", ControlAddress: "b", FailureDomain: "a"}
	frozenAt := bootclock.Now().Add(-heldUp)
	f.tickedAt = frozenAt
	f.members.Add(from, frozenAt)
	f.handleBeat(&wire.Beat{From: from, Incarnation: 1, Sequence: 1, SentNs: frozenAt.UnixNano()}, frozenAt)
	beat.From, beat.Incarnation, beat.Sequence, beat.SentNs = from, 1, 2, frozenAt.UnixNano()
	f.handleBeat(beat, frozenAt.Add(heldUp))
	return frozenAt
}

// Guards against requests that crash servers going on to more of them: a response from before the crash released their part.
func TestHeldUpHeartbeatReleasesNoPart(t *testing.T) {
	for _, only := range []bool{false, true} {
		c := qt.New(t)
		f, _ := fleetWithEngines(c)
		part := quarantine.Part{Scope: "m", ID: "p"}
		crashedAt := bootclock.Now().Add(-time.Second)
		f.quarantine.MergeHold(bootclock.Now(), quarantine.Hold{Part: part, CrashedAt: crashedAt, Crashes: 2, Length: time.Minute})
		hearHeldUp(f, &wire.Beat{OnlyEvidence: only, ServedParts: []*wire.ServedPart{{Part: requestPart(part)}}})
		_, held := f.quarantine.Held(bootclock.Now(), []quarantine.Part{part}, false)
		c.Assert(held, qt.IsTrue)
	}
}

// Guards against the same after a freeze that removed the sender from the members before its heartbeats were read.
func TestHeartbeatHeldUpByALongFreezeReleasesNoPart(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	part := quarantine.Part{Scope: "m", ID: "p"}
	now := bootclock.Now()
	frozenAt := now.Add(-40 * time.Second)
	from := &wire.Peer{Instance: "b", BeatAddress: "b", ControlAddress: "b", FailureDomain: "a"}
	hear := func(sequence uint64, at time.Time, served ...*wire.ServedPart) {
		f.handleBeat(&wire.Beat{From: from, Incarnation: 1, Sequence: sequence, SentNs: frozenAt.UnixNano(), ServedParts: served}, at)
	}
	hear(1, frozenAt)
	hear(2, frozenAt)
	f.evaluateServers(frozenAt)
	f.quarantine.MergeHold(now, quarantine.Hold{Part: part, CrashedAt: now.Add(-5 * time.Second), Crashes: 2, Length: time.Minute})
	f.evaluateServers(now)
	hear(3, now, &wire.ServedPart{Part: requestPart(part)})
	_, held := f.quarantine.Held(now, []quarantine.Part{part}, false)
	c.Assert(held, qt.IsTrue)
}

// Guards against crashes that count twice: a held-up report of one was dated after this gateway's own.
func TestHeldUpHeartbeatReportsNoSecondCrash(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	part := quarantine.Part{Scope: "m", ID: "p"}
	at := bootclock.Now().Add(-heldUp)
	suspect := quarantine.Suspect{Part: part, Request: 1, SentAt: at.Add(-time.Second)}
	f.quarantine.RecordCrash(bootclock.Now(), quarantine.Crash{Server: "e1", At: at, Suspects: []quarantine.Suspect{suspect}})
	reported := &wire.CrashSuspect{Part: requestPart(part), Request: 2, SentBeforeMs: 1000}
	hearHeldUp(f, &wire.Beat{Crashes: []*wire.ServerCrash{{Server: "e1", Suspects: []*wire.CrashSuspect{reported}}}})
	crashes := f.quarantine.Report(at.Add(time.Second)).Crashes
	c.Assert(crashes, qt.HasLen, 1)
	c.Assert(crashes[0].Suspects, qt.HasLen, 2)
}

// Guards against requests beyond a server's limit: an earlier statement replaced the latest one.
func TestHeldUpHeartbeatReplacesNoLaterLimit(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	f.dispatcher.SetLimit(dispatch.ServerLimit{ID: "e1", Stated: true, PerSecond: 2, At: bootclock.Now().Add(-time.Second)})
	hearHeldUp(f, &wire.Beat{ServerLimits: []*wire.ServerLimit{{Server: "e1", Stated: true, PerSecond: 9}}})
	perSecond, _ := f.dispatcher.Limit("e1")
	c.Assert(perSecond, qt.Equals, 2.0)
}

// Guards against engines that serve overdue weights: a version counted from the receipt of a held-up heartbeat.
func TestHeldUpHeartbeatDatesATargetVersion(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	sentAt := hearHeldUp(f, &wire.Beat{TargetVersions: []*wire.TargetVersion{{Model: "m", Version: 2, AgeMs: 300}}})
	binding := f.dispatcher.Targets().Binding("m", bootclock.Now())
	c.Assert(binding, qt.HasLen, 1)
	c.Assert(binding[0].SetAt.Equal(sentAt.Add(-300*time.Millisecond)), qt.IsTrue)
}

// Guards against requests refused after a freeze because of engines that had loaded long before.
func TestHeldUpHeartbeatExcludesNoServer(t *testing.T) {
	c := qt.New(t)
	f, excluded := fleetWithEngines(c)
	frozenAt := hearHeldUp(f, &wire.Beat{Fence: 1, Withheld: []string{"e1"}})
	c.Assert(excluded(), qt.HasLen, 0)
	now := bootclock.Now()
	f.recordTick(now)
	leader := &wire.Peer{Instance: "b", BeatAddress: "b", ControlAddress: "b", FailureDomain: "a"}
	f.handleBeat(&wire.Beat{From: leader, Incarnation: 1, Sequence: 3, SentNs: frozenAt.UnixNano(), Fence: 1, Withheld: []string{"e1"}}, now)
	c.Assert(excluded(), qt.HasLen, 0)
}

// Guards against requests sent to loading engines because the heartbeats of the leader have come to take longer than an exclusion lasts.
func TestHeartbeatOnASlowLinkExcludesServers(t *testing.T) {
	c := qt.New(t)
	f, excluded := fleetWithEngines(c)
	leader := &wire.Peer{Instance: "b", BeatAddress: "b", ControlAddress: "b", FailureDomain: "a"}
	now := bootclock.Now()
	for i, takes := range []time.Duration{0, 0, 2 * time.Second} {
		sentNS := now.Add(-takes).UnixNano()
		f.handleBeat(&wire.Beat{From: leader, Incarnation: 1, Sequence: uint64(i + 1), SentNs: sentNS, Fence: 1, Withheld: []string{"e1"}}, now)
	}
	c.Assert(excluded(), qt.DeepEquals, []string{"e1"})
}

// Guards against requests sent to loading engines by a gateway that was frozen, until the leader's next heartbeat.
func TestLeaderTellsAGatewayThatIsBackWhichServersAreExcluded(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	f.lead.fence, f.lead.planner, f.lead.excluded = 1, weights.NewPlanner("a", 1, 0), []string{"e1"}
	listen := func(receive func(*wire.Beat)) (*peers.Link, string) {
		address, err := loopback.FreeAddress()
		c.Assert(err, qt.IsNil)
		link, err := peers.Listen(address, receive)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { c.Check(link.Close(), qt.IsNil) })
		return link, address
	}
	received := make(chan *wire.Beat, 8)
	f.link, _ = listen(func(*wire.Beat) {})
	_, address := listen(func(beat *wire.Beat) { received <- beat })
	from := &wire.Peer{Instance: "b", BeatAddress: address, ControlAddress: address, FailureDomain: "a"}
	now := bootclock.Now()
	for i, at := range []time.Time{now, now.Add(time.Second), now.Add(time.Minute)} {
		f.handleBeat(&wire.Beat{From: from, Incarnation: 1, Sequence: uint64(i + 1)}, at)
		if i == 1 {
			continue // It was not away.
		}
		select {
		case beat := <-received:
			c.Assert(beat.GetWithheld(), qt.DeepEquals, []string{"e1"})
		case <-time.After(5 * time.Second):
			c.Fatalf("nothing received after heartbeat %d", i)
		}
	}
	time.Sleep(100 * time.Millisecond)
	c.Assert(received, qt.HasLen, 0)
}

// Guards against a configuration that counts as in force after a freeze because of what the others had before it.
func TestHeldUpHeartbeatsConfirmNoConfiguration(t *testing.T) {
	c := qt.New(t)
	f, _ := fleetWithEngines(c)
	f.table.Store(routing.NewTable(routing.Configuration{Version: 1}))
	now := bootclock.Now()
	frozenAt := now.Add(-2 * configurationTTL)
	hear := func(sequence uint64, sentAt, at time.Time) {
		for _, name := range []string{"b", "c"} {
			from := &wire.Peer{Instance: name, BeatAddress: name, ControlAddress: name, FailureDomain: "a"}
			f.handleBeat(&wire.Beat{From: from, Incarnation: 1, Sequence: sequence, SentNs: sentAt.UnixNano(), Configuration: 1}, at)
		}
	}
	hear(1, frozenAt, frozenAt)
	hear(2, frozenAt, frozenAt)
	f.confirmConfiguration(frozenAt)
	f.evaluateServers(frozenAt)
	hear(3, frozenAt, now)
	f.evaluateServers(now)
	c.Assert(f.IsConfigurationConfirmed(), qt.IsFalse)
	hear(4, now, now)
	f.evaluateServers(now)
	c.Assert(f.IsConfigurationConfirmed(), qt.IsTrue)
}
