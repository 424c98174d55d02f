package rollout

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Holders stop, or pause and resume after their lease has expired; agents and replicas restart; messages are
// late or lost; and the key-value service has outages. There must never be more loads at once than allowed
// and never a load by a holder's order after a later holder's scan. After the faults every replica must reach
// the target.
func TestLoadsStayBoundedAcrossHoldersAndTheRolloutEnds(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			const limit = 2
			w := newSimulation(seed, 10, limit)
			const faultySteps, changes = 1800, 6
			version := "w1"
			for i := range faultySteps {
				if i%(faultySteps/changes) == 0 {
					version = fmt.Sprintf("w%d", 2+i)
					w.setTarget(version)
				}
				if len(w.holders) == 0 || w.chance(0.004) {
					w.addHolder(version)
				}
				w.step()
				c.Assert(w.maxLoading <= limit, qt.IsTrue, qt.Commentf("%d loads at once at %v", w.maxLoading, w.now))
			}
			c.Assert(w.staleLoads, qt.Equals, 0)
			w.endFaults(version)
			// Ten replicas load two at a time for up to four seconds each, after the unknown ones have settled.
			const recoverySteps = int((5*simLongestLoad + 4*simMaxLoadTime + 20*time.Second) / simStep)
			for range recoverySteps {
				w.step()
				c.Assert(w.maxLoading <= limit, qt.IsTrue)
			}
			c.Assert(w.serving(version), qt.Equals, len(w.replicas), qt.Commentf("%+v", w.holders[0].session.Report(w.now)))
		})
	}
}

// runWithoutFaults advances a simulation without faults by d.
func runWithoutFaults(w *simulation, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func TestOtherReplicasLoadWhenOneStopsDuringItsLoad(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, 6, 2)
	w.faults = false
	w.addHolder("w2")
	for w.serving("w2") == 0 {
		w.step()
	}
	for _, replica := range w.replicas {
		if replica.loading != "" {
			replica.stopped, replica.loading = true, ""
			break
		}
	}
	runWithoutFaults(w, 3*simLongestLoad+simMaxLoadTime)
	c.Assert(w.serving("w2"), qt.Equals, 5)
	c.Assert(w.maxLoading <= 2, qt.IsTrue)
}

func TestDesiredNumberIsLoadedAndAStoppedReplicaIsReplaced(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, 5, 1)
	w.faults = false
	w.addHolder("w2")
	target := w.target("w2")
	target.Replicas = 3
	w.holders[0].session.SetTarget(target)
	runWithoutFaults(w, 30*time.Second)
	c.Assert(w.serving("w2"), qt.Equals, 3)
	for _, replica := range w.replicas {
		if replica.version == "w2" {
			replica.stopped = true
			break
		}
	}
	runWithoutFaults(w, 30*time.Second)
	c.Assert(w.serving("w2"), qt.Equals, 3)
}

func TestAdaptersAreLoadedAfterTheWeights(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	p := NewPlanner(simMaxLoadTime)
	p.SetTarget(Target{Service: "s", WeightVersion: "w1", Adapters: []string{"a", "b"}, MaxConcurrentLoads: 1})
	p.SetMembers([]Member{{Instance: "r"}}, now)
	c.Assert(p.Next(now), qt.HasLen, 0, qt.Commentf("an order before the replica was observed"))
	p.Observe(Observation{Instance: "r", WeightVersion: "w1", Adapters: []string{"a"}}, now)
	c.Assert(p.Next(now), qt.DeepEquals, []Load{{Instance: "r", Adapter: "b"}})
	p.Observe(Observation{Instance: "r", WeightVersion: "w0"}, now)
	c.Assert(p.Next(now), qt.DeepEquals, []Load{{Instance: "r", WeightVersion: "w1"}})
}

func TestReplicasWithoutWeightsAreOrderedFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	p := NewPlanner(simMaxLoadTime)
	p.SetTarget(Target{Service: "s", WeightVersion: "w2", MaxConcurrentLoads: 1})
	p.SetMembers([]Member{{Instance: "a"}, {Instance: "b"}}, now)
	p.Observe(Observation{Instance: "a", WeightVersion: "w1"}, now)
	p.Observe(Observation{Instance: "b"}, now)
	c.Assert(p.Next(now), qt.DeepEquals, []Load{{Instance: "b", WeightVersion: "w2"}})
}

func TestScanOfALargeServiceStaysWithinTheCallRate(t *testing.T) {
	c := qt.New(t)
	const replicas = 7900 / 5
	w := newSimulation(1, replicas, 30)
	w.faults = false
	w.addHolder("w1")
	session := w.holders[0].session
	calls := 0.0
	const period = 120 * time.Second
	session.SetMembers(w.members(), w.now)
	for end := w.now.Add(period); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		for _, call := range session.Step(w.now) {
			calls += call.Kind.cost()
			replica := w.replica(call.Member.Instance)
			if call.Kind == CallScan {
				replica.fences.Raise(call.Fence)
			}
			session.Observed(call, Observation{Instance: replica.member.Instance, WeightVersion: "w1", HighestFence: replica.fences.Highest()}, w.now)
		}
	}
	c.Assert(calls <= callsPerSecond*period.Seconds()+callBurst, qt.IsTrue, qt.Commentf("%v calls", calls))
	c.Assert(session.Report(w.now).Serving, qt.Equals, replicas)
	c.Assert(session.Report(w.now).Loading, qt.Equals, 0)
}

func TestFenceChecker(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	var fences FenceChecker
	c.Assert(fences.Check(5, now), qt.Equals, MustRead, qt.Commentf("a restarted agent passes nothing"))
	c.Assert(fences.Check(0, now), qt.Equals, Stale, qt.Commentf("an order without a fencing token"))
	fences.SetHolder(5, now)
	c.Assert(fences.Check(5, now), qt.Equals, Pass)
	c.Assert(fences.Check(4, now), qt.Equals, Stale)
	c.Assert(fences.Check(6, now), qt.Equals, MustRead)
	c.Assert(fences.Check(5, now.Add(holderMaxAge)), qt.Equals, MustRead)

	c.Assert(fences.Raise(7), qt.IsTrue)
	c.Assert(fences.Check(5, now), qt.Equals, Stale, qt.Commentf("an earlier holder is refused"))
	fences.SetHolder(0, now.Add(time.Second))
	c.Assert(fences.Check(7, now.Add(time.Second)), qt.Equals, MustRead, qt.Commentf("there is no holder"))
	fences.SetHolder(9, now.Add(time.Second))
	c.Assert(fences.Check(9, now.Add(time.Second)), qt.Equals, Pass)
	c.Assert(fences.Raise(8), qt.IsFalse)
	fences.SetHolder(9, now)
	c.Assert(fences.Check(9, now.Add(time.Second+holderMaxAge)), qt.Equals, MustRead, qt.Commentf("an older reading does not refresh"))
}

// A status that was requested before an order must not settle the replica after the order.
func TestObservationFromBeforeAnOrderIsDropped(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := NewSession(5, simMaxLoadTime, now)
	s.SetTarget(Target{Service: "s", WeightVersion: "w1", MaxConcurrentLoads: 1})
	s.SetMembers([]Member{{Instance: "a"}, {Instance: "b"}}, now)
	scans := s.Step(now)
	c.Assert(scans, qt.HasLen, 2)
	for _, scan := range scans {
		c.Assert(scan.Kind, qt.Equals, CallScan)
		s.Observed(scan, Observation{Instance: scan.Member.Instance, HighestFence: 5}, now)
	}
	// The rate limit allows a status call beside the order of the next step.
	now = now.Add(settledInterval)
	s.SetTarget(Target{Service: "s", WeightVersion: "", MaxConcurrentLoads: 1})
	statusCalls := s.Step(now)
	c.Assert(statusCalls, qt.HasLen, 2)
	s.SetTarget(Target{Service: "s", WeightVersion: "w1", MaxConcurrentLoads: 1})
	orders := s.Step(now)
	c.Assert(orders, qt.HasLen, 1)
	s.Accepted(orders[0], now)
	for _, call := range statusCalls {
		s.Observed(call, Observation{Instance: call.Member.Instance, HighestFence: 5}, now)
	}
	c.Assert(s.planner.Next(now), qt.HasLen, 0, qt.Commentf("%+v", s.Report(now)))
}

// An order without a reply may still arrive, even after the replica was unreachable and then observed
// without a load, so it must count as loading. Found by spec/rollout.pml.
func TestUnansweredOrderCountsAlthoughTheReplicaWasMissedAndSeen(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := NewSession(5, simMaxLoadTime, now)
	s.SetTarget(Target{Service: "s", WeightVersion: "w1", MaxConcurrentLoads: 1})
	s.SetMembers([]Member{{Instance: "a"}, {Instance: "b"}}, now)
	for _, scan := range s.Step(now) {
		s.Observed(scan, Observation{Instance: scan.Member.Instance, HighestFence: 5}, now)
	}
	order := s.Step(now)[0]
	c.Assert(order.Kind, qt.Equals, CallOrder)
	s.Unanswered(order, now)
	for _, respond := range []func(Call){
		func(call Call) { s.Missed(call, now) },
		func(call Call) {
			s.Observed(call, Observation{Instance: call.Member.Instance, HighestFence: 5}, now)
		},
	} {
		for _, call := range s.Step(now) {
			c.Assert(call.Kind, qt.Equals, CallStatus)
			if call.Member == order.Member {
				respond(call)
			}
		}
		now = now.Add(loadingInterval)
	}
	c.Assert(s.planner.Next(now), qt.HasLen, 0, qt.Commentf("%+v", s.Report(now)))
	now = now.Add(simMaxLoadTime)
	s.planner.Next(now)
	c.Assert(s.Report(now).Replicas[0].State, qt.Equals, "unknown")
}

// The status of an agent that restarted after its scan must not lead to an order, because an earlier holder's
// order may still pass there.
func TestRestartedAgentIsScannedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := NewSession(5, simMaxLoadTime, now)
	s.SetTarget(Target{Service: "s", WeightVersion: "w1", MaxConcurrentLoads: 1})
	s.SetMembers([]Member{{Instance: "a"}}, now)
	scan := s.Step(now)[0]
	s.Observed(scan, Observation{Instance: "a", HighestFence: 4}, now)
	again := s.Step(now)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Kind, qt.Equals, CallScan)
	s.Observed(again[0], Observation{Instance: "a", HighestFence: 5}, now)
	c.Assert(s.Step(now)[0].Kind, qt.Equals, CallOrder)
}

// A replica that left the list, was deleted and returned must start as unknown and be scanned.
func TestReplicaThatReturnsToTheListIsScanned(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := NewSession(5, simMaxLoadTime, now)
	s.SetTarget(Target{Service: "s", WeightVersion: "w1", MaxConcurrentLoads: 1})
	members := []Member{{Instance: "a"}}
	s.SetMembers(members, now)
	s.Observed(s.Step(now)[0], Observation{Instance: "a", WeightVersion: "w1", HighestFence: 5}, now)
	s.SetMembers(nil, now)
	s.Step(now)
	now = now.Add(simMaxLoadTime)
	s.Step(now)
	s.SetMembers(members, now)
	calls := s.Step(now)
	c.Assert(calls, qt.HasLen, 1)
	c.Assert(calls[0].Kind, qt.Equals, CallScan)
	s.Observed(calls[0], Observation{Instance: "a", HighestFence: 5}, now)
	c.Assert(s.Step(now)[0].Kind, qt.Equals, CallOrder)
}

func BenchmarkStepOfALargeSettledService(b *testing.B) {
	const replicas = 7900 / 5
	w := newSimulation(1, replicas, 30)
	w.addHolder("w1")
	session := w.holders[0].session
	session.SetMembers(w.members(), w.now)
	for _, replica := range w.replicas {
		session.contacts[replica.member.Instance].fenceRaised = true
		session.planner.Observe(Observation{Instance: replica.member.Instance, WeightVersion: "w1"}, w.now)
	}
	for b.Loop() {
		w.now = w.now.Add(stepInterval)
		for _, call := range session.Step(w.now) {
			session.Observed(call, Observation{Instance: call.Member.Instance, WeightVersion: "w1", HighestFence: session.fence}, w.now)
		}
	}
}

func TestCommittedPromelaMatchesTheChart(t *testing.T) {
	c := qt.New(t)
	committed, err := os.ReadFile("../../spec/replica.pml")
	c.Assert(err, qt.IsNil)
	c.Assert(string(committed), qt.Equals, replicaChart.Promela("replica.chart.json"))
}
