package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/weights"
)

// A newer target weight version doesn't extend the time for which engines may keep weights from before an earlier one.
func TestEachTargetWeightVersionBindsEnginesFromItsOwnTime(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(4)
	d.SetVersion(start, "e01", "m", 2)
	d.AddTargetWeightVersion(weights.TargetVersion{Model: "m", Version: 2, SetAt: start})
	d.AddTargetWeightVersion(weights.TargetVersion{Model: "m", Version: 3, SetAt: start.Add(11 * time.Second)})
	due := start.Add(15*time.Second - overdueMargin)
	used := make(map[string]bool)
	for i := range 40 {
		used[mustPlace(c, d, prompt(fmt.Sprint("early", i), 500), due.Add(-time.Second)).Server] = true
	}
	c.Assert(used["e00"], qt.IsTrue)
	for i := range 40 {
		p, refusal := d.Place(due.Add(time.Millisecond), prompt(fmt.Sprint("s", i), 500))
		c.Assert(refusal, qt.IsNil)
		c.Assert(p.Server, qt.Equals, "e01")
	}
	_, refusal := d.Place(due.Add(11*time.Second+time.Millisecond), prompt("late", 500))
	c.Assert(refusal, qt.IsNotNil)
}

// Guards against a prompt that waited at its engine for longer than the margin and began on overdue weights.
func TestPromptThatWouldWaitForOverdueWeightsIsNotPlaced(t *testing.T) {
	c := qt.New(t)
	const model = "m"
	place := func(before time.Duration) (p Placement, refusal *Refusal) {
		d := newDispatcher(1)
		d.AddTargetWeightVersion(weights.TargetVersion{Model: model, Version: 2, SetAt: start})
		r := prompt("waits", 20_000)
		r.TargetLatency = 3 * time.Second
		d.SetPeer("other", map[string]PeerLoad{"e00": {Running: 4, WaitingTokens: 40_000}})
		return d.Place(start.Add(15*time.Second-overdueMargin-before), r)
	}
	p, refusal := place(10 * time.Second)
	c.Assert(refusal, qt.IsNil)
	predicted := p.PredictedTTFB
	c.Assert(predicted > 500*time.Millisecond && predicted < 2*time.Second, qt.IsTrue, qt.Commentf("%s predicted", predicted))
	_, refusal = place(predicted + time.Millisecond)
	c.Assert(refusal, qt.IsNil)
	_, refusal = place(predicted - time.Millisecond)
	c.Assert(refusal, qt.IsNotNil)
	c.Assert(refusal.Reason, qt.Equals, AllLoading)
}

// However the target versions and their times become known, a request starts on an engine's weights exactly as long as no
// newer target version has been set for too long.
func TestOverdueWeightsFollowFromAllTargetVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDispatcher(2)
		setAt := make(map[int64]time.Time)
		now := start
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "pause_ms")) * time.Millisecond)
			version := rapid.Int64Range(1, 8).Draw(rt, "version")
			at := now.Add(-time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "age_ms")) * time.Millisecond)
			d.AddTargetWeightVersion(weights.TargetVersion{Model: "m", Version: version, SetAt: at})
			if earlier, ok := setAt[version]; !ok || at.Before(earlier) {
				setAt[version] = at
			}
			s := d.servers["e00"]
			for s.weightVersion["m"] = 1; s.weightVersion["m"] <= 8; s.weightVersion["m"]++ {
				overdue := false
				for v, at := range setAt {
					overdue = overdue || v > s.weightVersion["m"] && now.Sub(at) > 15*time.Second-overdueMargin
				}
				if d.overdue(now, s, "m") != overdue {
					rt.Fatalf("version %d is overdue: %t, with target versions set at %v", s.weightVersion["m"], !overdue, setAt)
				}
			}
		}
	})
}
