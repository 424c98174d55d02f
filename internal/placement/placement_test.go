package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var allPolicies = []string{
	PolicyCost, PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyRendezvous,
}

func testReplicas(n int) []Replica {
	replicas := make([]Replica, n)
	for i := range replicas {
		replicas[i] = Replica{
			Instance:      fmt.Sprintf("agent-%04d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%3),
			Service:       "assistant",
			WeightVersion: "w1",
			Adapters:      []string{"harness"},
			DistanceMS:    float64(i % 3),
			Load:          Load{InFlight: uint32(i % 7), OwnInFlight: new(atomic.Int64)},
		}
	}
	return replicas
}

func testRequest() Request {
	return Request{
		Service: "assistant", WeightVersion: "w1", Adapter: "harness",
		Urgency: wire.Urgency_URGENCY_URGENT, Deadline: 2 * time.Second,
		Affinity: 99, PromptTokens: 8192, PieceTokens: 1024,
	}
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func mustPolicy(t testing.TB, name string) Policy {
	p, err := New(name, Settings{})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestUnknownPolicyIsRefused(t *testing.T) {
	_, err := New("best", Settings{})
	qt.Assert(t, errorx.IsOfType(err, ErrUnknownPolicy), qt.IsTrue)
}

func TestEveryFilterDropsItsReplica(t *testing.T) {
	c := qt.New(t)
	cases := map[Rejection]func(*Replica){
		Eligible:        func(*Replica) {},
		RejectedService: func(r *Replica) { r.Service = "archive" },
		RejectedVersion: func(r *Replica) { r.WeightVersion = "w2" },
		RejectedAdapter: func(r *Replica) { r.Adapters = nil },
		RejectedLeaving: func(r *Replica) { r.Leaving = true },
		RejectedTried:   func(r *Replica) { r.Instance = "tried" },
		RejectedEjected: func(r *Replica) { r.Ejected = true },
		RejectedDomain:  func(r *Replica) { r.DomainUnhealthy = true },
	}
	req := testRequest()
	req.Tried = []string{"tried"}
	for want, change := range cases {
		r := testReplicas(1)[0]
		change(&r)
		c.Check(Check(&req, &r, false), qt.Equals, want)
		relaxed := Check(&req, &r, true)
		relaxable := want == RejectedEjected || want == RejectedDomain
		c.Check(relaxed == Eligible, qt.Equals, relaxable || want == Eligible)
	}
}

// With any policy, replicas and faults, the picked replica must pass the hard filters, and a replica must be picked
// whenever one passes them.
func TestPickedReplicaPassesHardFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := testReplicas(rapid.IntRange(0, 12).Draw(t, "replicas"))
		req := testRequest()
		for i := range replicas {
			r := &replicas[i]
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				r.Leaving = true
			case 1:
				r.WeightVersion = "w2"
			case 2:
				r.Adapters = nil
			case 3:
				r.Ejected = true
			case 4:
				r.DomainUnhealthy = true
			case 5:
				req.Tried = append(req.Tried, r.Instance)
			}
		}
		eligible := 0
		for i := range replicas {
			if Check(&req, &replicas[i], true) == Eligible {
				eligible++
			}
		}
		s := NewSnapshot("entry-1", replicas, 0)
		hints := []Hint{{"agent-0003", 8}, {"agent-0001", 2}, {"gone", 9}}
		name := rapid.SampledFrom(allPolicies).Draw(t, "policy")
		p, _ := New(name, Settings{})
		var d Decision
		p.Select(&req, s, hints, testRand(), &d)
		p.Pick(&req, s, &d)
		if (d.Picked == NoCandidate) != (eligible == 0) {
			t.Fatalf("policy %s picked candidate %d with %d eligible replicas", name, d.Picked, eligible)
		}
		if picked := d.PickedCandidate(); picked != nil {
			if rejection := Check(&req, s.Replica(picked.Index), true); rejection != Eligible {
				t.Fatalf("policy %s picked %s, which filter %s rejects", name, picked.Instance, rejection)
			}
		}
	})
}

func TestEjectedReplicasServeOnlyWhenNoOthersAreLeft(t *testing.T) {
	c := qt.New(t)
	for _, name := range allPolicies {
		replicas := testReplicas(4)
		for i := range replicas {
			replicas[i].Ejected = i != 2
		}
		req := testRequest()
		var d Decision
		p := mustPolicy(t, name)
		p.Select(&req, NewSnapshot("e", replicas, 0), nil, testRand(), &d)
		c.Check(d.Relaxed, qt.IsFalse)
		c.Check(d.Candidates, qt.HasLen, 1)
		c.Check(d.Candidates[0].Instance, qt.Equals, "agent-0002")
		replicas[2].Ejected = true
		p.Select(&req, NewSnapshot("e", replicas, 0), nil, testRand(), &d)
		c.Check(d.Relaxed, qt.IsTrue)
	}
}

func TestSameRandomSourceGivesSameDecision(t *testing.T) {
	c := qt.New(t)
	s := NewSnapshot("e", testReplicas(200), 0)
	for _, name := range allPolicies {
		req := testRequest()
		var a, b Decision
		first, second := mustPolicy(t, name), mustPolicy(t, name)
		x, y := testRand(), testRand()
		for range 50 {
			first.Select(&req, s, nil, x, &a)
			first.Pick(&req, s, &a)
			second.Select(&req, s, nil, y, &b)
			second.Pick(&req, s, &b)
			c.Assert(a.PickedCandidate().Instance, qt.Equals, b.PickedCandidate().Instance)
		}
	}
}

func TestTriedCandidateIsNotPickedAgain(t *testing.T) {
	c := qt.New(t)
	s := NewSnapshot("e", testReplicas(30), 0)
	req := testRequest()
	p := mustPolicy(t, PolicyCost)
	var d Decision
	p.Select(&req, s, nil, testRand(), &d)
	seen := map[string]bool{}
	for range len(d.Candidates) {
		p.Pick(&req, s, &d)
		instance := d.PickedCandidate().Instance
		c.Assert(seen[instance], qt.IsFalse)
		seen[instance] = true
		req.Tried = append(req.Tried, instance)
	}
	p.Pick(&req, s, &d)
	c.Assert(d.Picked, qt.Equals, NoCandidate)
	c.Assert(d.PickedCandidate(), qt.IsNil)
}

func TestRendezvousMovesOnlyConversationsOfALostReplica(t *testing.T) {
	c := qt.New(t)
	p := mustPolicy(t, PolicyRendezvous)
	all := testReplicas(20)
	fewer := append([]Replica(nil), all[1:]...)
	before, after := NewSnapshot("e1", all, 4), NewSnapshot("e2", fewer, 4)
	var a, b Decision
	for key := range uint64(200) {
		req := testRequest()
		req.Affinity = key*7919 + 1
		p.Select(&req, before, nil, testRand(), &a)
		p.Select(&req, after, nil, testRand(), &b)
		if a.Candidates[0].Instance != "agent-0000" {
			c.Assert(b.Candidates[0].Instance, qt.Equals, a.Candidates[0].Instance)
		}
	}
}

func TestTwoChoicesCountsItsOwnRunsSinceTheReport(t *testing.T) {
	c := qt.New(t)
	replicas := testReplicas(2)
	replicas[0].Load = Load{InFlight: 3, OwnInFlight: new(atomic.Int64)}
	replicas[1].Load = Load{InFlight: 2, OwnInFlightAtReport: 1, OwnInFlight: new(atomic.Int64)}
	s := NewSnapshot("e", replicas, 0)
	p := mustPolicy(t, PolicyTwoChoices)
	req := testRequest()
	var d Decision
	p.Select(&req, s, nil, testRand(), &d)
	p.Pick(&req, s, &d)
	c.Assert(d.PickedCandidate().Instance, qt.Equals, "agent-0001")
	s.Lookup("agent-0001").Load.OwnInFlight.Store(3)
	p.Pick(&req, s, &d)
	c.Assert(d.PickedCandidate().Instance, qt.Equals, "agent-0000")
}

func TestSubsetsSpreadEntriesOverAllReplicas(t *testing.T) {
	c := qt.New(t)
	const entries = 400
	counts := map[int32]int{}
	for e := range entries {
		s := NewSnapshot(fmt.Sprintf("entry-%d", e), testReplicas(100), 16)
		subset := s.Subset("assistant", "w1")
		c.Assert(subset, qt.HasLen, 16)
		for _, index := range subset {
			counts[index]++
		}
	}
	// The expected number of entries for each replica is 64, and five standard deviations are 37.
	c.Assert(counts, qt.HasLen, 100)
	for _, n := range counts {
		c.Assert(n > 27 && n < 101, qt.IsTrue, qt.Commentf("%d entries", n))
	}
}
