package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	domains   = 4
	perDomain = 5
)

func id(domain, n int) string { return fmt.Sprintf("replica-%d-%d", domain, n) }

// newFleetTracker returns a Tracker with 20 replicas of one service in four failure domains.
func newFleetTracker() *Tracker {
	t := New(DefaultConfig())
	for d := range domains {
		for n := range perDomain {
			t.Add(Replica{ID: id(d, n), Service: "assistant", FailureDomain: fmt.Sprintf("lake-%d", d)})
		}
	}
	return t
}

// run sends ten requests a second to every replica that the tracker allows, and evaluates once a second. sample
// returns the result of a request at a replica. run returns the time at its end and the changes of all evaluations.
func run(t *Tracker, now time.Time, seconds int, sample func(domain, n int) Sample) (time.Time, []Change) {
	var changes []Change
	for range seconds {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			for d := range domains {
				for n := range perDomain {
					if t.Allow(now, id(d, n)) {
						t.Record(now, id(d, n), sample(d, n))
					}
				}
			}
		}
		changes = append(changes, t.Evaluate(now)...)
	}
	return now, changes
}

func unusableCount(t *Tracker, now time.Time) int {
	count := 0
	for d := range domains {
		for n := range perDomain {
			if !t.Usable(now, id(d, n)) {
				count++
			}
		}
	}
	return count
}

var successful = Sample{Ratio: 1}

func TestOutlierIsEjectedAndReadmittedAfterTrials(t *testing.T) {
	for name, bad := range map[string]Sample{"failing": {Failed: true}, "slow": {Ratio: 4}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := newFleetTracker()
			faulty := true
			sample := func(d, n int) Sample {
				if faulty && d == 0 && n == 0 {
					return bad
				}
				return successful
			}
			now, changes := run(tracker, start, 2, sample)
			c.Assert(changes, qt.HasLen, 1)
			c.Assert(changes[0].ID, qt.Equals, id(0, 0))
			c.Assert(tracker.Allow(now, id(0, 0)), qt.IsFalse)

			faulty = false
			now, _ = run(tracker, now, 5, sample)
			c.Assert(unusableCount(tracker, now), qt.Equals, 0)
			for range 10 {
				c.Assert(tracker.Allow(now, id(0, 0)), qt.IsTrue)
			}
		})
	}
}

func TestTrialsAreLimitedAndEjectionTimeDoubles(t *testing.T) {
	c := qt.New(t)
	tracker := newFleetTracker()
	sample := func(d, n int) Sample { return Sample{Failed: d == 0 && n == 0, Ratio: 1} }
	now, _ := run(tracker, start, 2, sample)
	now = now.Add(DefaultConfig().BaseEjection)
	for range DefaultConfig().TrialRequests {
		c.Assert(tracker.Allow(now, id(0, 0)), qt.IsTrue)
	}
	c.Assert(tracker.Allow(now, id(0, 0)), qt.IsFalse)
	tracker.Record(now, id(0, 0), Sample{Failed: true})
	c.Assert(tracker.Usable(now.Add(DefaultConfig().BaseEjection), id(0, 0)), qt.IsFalse)
	c.Assert(tracker.Usable(now.Add(2*DefaultConfig().BaseEjection), id(0, 0)), qt.IsTrue)
}

func TestFleetWideFaultEjectsNoReplica(t *testing.T) {
	samples := map[string]Sample{"failing": {Failed: true}, "slow": {Ratio: 10}}
	for name, bad := range samples {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tracker := newFleetTracker()
			now, _ := run(tracker, start, 10, func(int, int) Sample { return successful })
			_, changes := run(tracker, now, 60, func(int, int) Sample { return bad })
			c.Assert(changes, qt.HasLen, 0)
		})
	}
}

func TestEjectionsAreCappedPerFailureDomain(t *testing.T) {
	c := qt.New(t)
	tracker := newFleetTracker()
	_, changes := run(tracker, start, 5, func(d, n int) Sample { return Sample{Failed: d == 0 && n < 3, Ratio: 1} })
	ejected := make(map[string]bool)
	for _, change := range changes {
		ejected[change.ID] = true
	}
	c.Assert(ejected, qt.HasLen, 1, qt.Commentf("%v", changes))
}

func TestCutFailureDomainIsReportedInsteadOfItsReplicas(t *testing.T) {
	c := qt.New(t)
	tracker := newFleetTracker()
	cut := true
	sample := func(d, _ int) Sample { return Sample{Failed: cut && d == 2, Ratio: 1} }
	now, changes := run(tracker, start, 3, sample)
	c.Assert(changes, qt.DeepEquals, []Change{{
		Replica: Replica{Service: "assistant", FailureDomain: "lake-2"},
		State:   domainCutState,
	}})
	c.Assert(tracker.DomainCut("assistant", "lake-2"), qt.IsTrue)
	c.Assert(tracker.DomainCut("assistant", "lake-1"), qt.IsFalse)
	cut = false
	_, changes = run(tracker, now, 30, sample)
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].State, qt.Equals, domainRestoredState)
	c.Assert(tracker.DomainCut("assistant", "lake-2"), qt.IsFalse)
}

func TestTooFewPeersEjectNoReplica(t *testing.T) {
	c := qt.New(t)
	tracker := New(DefaultConfig())
	for n := range 2 {
		tracker.Add(Replica{ID: id(0, n), Service: "assistant", FailureDomain: "lake-0"})
	}
	_, changes := run(tracker, start, 30, func(_, n int) Sample { return Sample{Failed: n == 0, Ratio: 1} })
	c.Assert(changes, qt.HasLen, 0)
}

// TestOverloadDoesNotCascade sends 1.5 times the load that 20 replicas can serve to random allowed
// replicas. Requests above a replica's capacity in a second fail. Ejections must stay within the
// cap of each domain and must not reduce the served share by more than that cap.
func TestOverloadDoesNotCascade(t *testing.T) {
	c := qt.New(t)
	tracker := newFleetTracker()
	rng := rand.New(rand.NewPCG(1, 2))
	const capacity, offered = 10, 1.5 * 10 * domains * perDomain
	now, served := start, 0
	maxUnusable := 0
	for range 120 {
		load := make(map[string]int)
		for range int(offered) {
			target := id(rng.IntN(domains), rng.IntN(perDomain))
			for tries := 0; !tracker.Allow(now, target) && tries < 20; tries++ {
				target = id(rng.IntN(domains), rng.IntN(perDomain))
			}
			load[target]++
			tracker.Record(now, target, Sample{Failed: load[target] > capacity, Ratio: 1})
		}
		for _, count := range load {
			served += min(count, capacity)
		}
		now = now.Add(time.Second)
		tracker.Evaluate(now)
		maxUnusable = max(maxUnusable, unusableCount(tracker, now))
	}
	c.Assert(maxUnusable <= domains, qt.IsTrue, qt.Commentf("%d replicas ejected", maxUnusable))
	share := float64(served) / (120 * capacity * domains * perDomain)
	c.Assert(share >= 0.75, qt.IsTrue, qt.Commentf("served %.2f of the capacity", share))
	t.Logf("at most %d of 20 ejected, served %.3f of the capacity", maxUnusable, share)
}

// TestSlowCallersDoNotEjectAReplica sends one replica a few requests whose callers read slowly, so that
// they take a hundred times as long. They must not eject the replica.
func TestSlowCallersDoNotEjectAReplica(t *testing.T) {
	c := qt.New(t)
	tracker := newFleetTracker()
	count := 0
	_, changes := run(tracker, start, 20, func(d, n int) Sample {
		if d == 0 && n == 0 {
			count++
			if count%10 == 0 {
				return Sample{Ratio: 100}
			}
		}
		return successful
	})
	c.Assert(changes, qt.HasLen, 0)
}
