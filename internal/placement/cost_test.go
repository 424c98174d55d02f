package placement

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const testPrefillUSPerToken = 100 // 8,192 tokens take 819 ms

// decide picks among three replicas. replies holds the probe replies by instance; the others do not reply.
func decide(t *testing.T, req Request, replies map[string]*wire.ProbeReply) *Decision {
	p := mustPolicy(t, PolicyCost)
	s := NewSnapshot("e", testReplicas(3), 0)
	d := &Decision{}
	p.Select(&req, s, []Hint{{"agent-0000", 1}, {"agent-0001", 1}}, testRand(), d)
	for i := range d.Candidates {
		if reply := replies[d.Candidates[i].Instance]; reply != nil {
			d.Candidates[i].SetReply(reply)
		}
	}
	p.Pick(&req, s, d)
	return d
}

func reply(queueMS, cachedPieces uint32) *wire.ProbeReply {
	return &wire.ProbeReply{
		Eligible: true, PredictedStartMs: queueMS, CachedPieces: cachedPieces, PrefillUsPerToken: testPrefillUSPerToken,
	}
}

func TestUrgentWeighsCacheAgainstQueue(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		holderQueueMS uint32
		want          string
	}{{0, "agent-0000"}, {700, "agent-0000"}, {900, "agent-0001"}} {
		d := decide(t, testRequest(), map[string]*wire.ProbeReply{
			"agent-0000": reply(test.holderQueueMS, 8),
			"agent-0001": reply(0, 0),
		})
		c.Check(d.PickedCandidate().Instance, qt.Equals, test.want, qt.Commentf("holder's queue of %d ms", test.holderQueueMS))
	}
}

func TestFetchIsUsedOnlyWhenFasterThanRecomputing(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		fetchMS uint32
		fetch   bool
		ttftMS  float64
	}{{100, true, 100.1}, {800, true, 800.1}, {900, false, 819.2}} {
		r := reply(0, 0)
		r.FetchablePieces, r.FetchMs, r.FetchBytes = 8, test.fetchMS, 1<<20
		d := decide(t, testRequest(), map[string]*wire.ProbeReply{"agent-0000": r})
		terms := d.PickedCandidate().Terms
		c.Check(terms.Fetch, qt.Equals, test.fetch)
		c.Check(terms.TTFTMS, qt.Equals, test.ttftMS)
		c.Check(terms.LinkBytes > 0, qt.Equals, test.fetch)
	}
}

func TestStorePiecesAreCreditedWhenTheAgentReportsNone(t *testing.T) {
	c := qt.New(t)
	busy, idle := Candidate{}, Candidate{}
	busy.SetReply(reply(900, 8))
	idle.SetReply(reply(0, 2))
	busy.Estimate.CreditStores(8, 10, 100)
	idle.Estimate.CreditStores(8, 10, 100)
	c.Assert(busy.Estimate.Credited, qt.IsFalse)
	c.Assert(idle.Estimate.FetchablePieces, qt.Equals, uint32(6))
	c.Assert(idle.Estimate.FetchMS, qt.Equals, uint32(60))
	c.Assert(idle.Estimate.FetchBytes, qt.Equals, uint64(600))
	var noReply Estimate
	noReply.CreditStores(8, 10, 100)
	c.Assert(noReply, qt.DeepEquals, Estimate{})
}

func TestFetchRunsWhileTheRequestQueues(t *testing.T) {
	c := qt.New(t)
	r := reply(500, 0)
	r.FetchablePieces, r.FetchMs = 8, 400
	d := decide(t, testRequest(), map[string]*wire.ProbeReply{"agent-0000": r})
	c.Assert(d.PickedCandidate().Terms.StartMS, qt.Equals, 500.0)
}

func TestPatientRequestGoesToTheHolderWithinItsDeadline(t *testing.T) {
	c := qt.New(t)
	replies := map[string]*wire.ProbeReply{"agent-0000": reply(5000, 8), "agent-0001": reply(0, 0)}
	req := testRequest()
	req.Urgency = wire.Urgency_URGENCY_PATIENT
	req.Deadline = 10 * time.Second
	c.Check(decide(t, req, replies).PickedCandidate().Instance, qt.Equals, "agent-0000")
	req.Deadline = 2 * time.Second
	c.Check(decide(t, req, replies).PickedCandidate().Instance, qt.Equals, "agent-0001")
	req.Deadline = time.Millisecond
	d := decide(t, req, replies)
	c.Check(d.PickedCandidate().Instance, qt.Equals, "agent-0001")
	c.Check(d.PickedCandidate().Terms.MeetsDeadline, qt.IsFalse)
}

func TestPatientRequestPrefersCachedPiecesToTheLink(t *testing.T) {
	c := qt.New(t)
	far := reply(0, 0)
	far.FetchablePieces, far.FetchMs, far.FetchBytes = 8, 10, 64<<20
	req := testRequest()
	req.Urgency = wire.Urgency_URGENCY_PATIENT
	req.Deadline = 10 * time.Second
	d := decide(t, req, map[string]*wire.ProbeReply{"agent-0000": far, "agent-0001": reply(300, 8)})
	c.Assert(d.PickedCandidate().Instance, qt.Equals, "agent-0001")
}

func TestRefusingAgentsAreRejectedAndAgentsWithoutReplyComeLast(t *testing.T) {
	c := qt.New(t)
	refuses := &wire.ProbeReply{Eligible: false, Reason: wire.RefusalReason_REFUSAL_REASON_LEAVING}
	d := decide(t, testRequest(), map[string]*wire.ProbeReply{
		"agent-0000": refuses, "agent-0001": reply(90000, 0),
	})
	c.Check(d.PickedCandidate().Instance, qt.Equals, "agent-0001")
	d = decide(t, testRequest(), map[string]*wire.ProbeReply{"agent-0000": refuses})
	c.Check(d.PickedCandidate().Estimate.Known, qt.IsFalse)
	d = decide(t, testRequest(), map[string]*wire.ProbeReply{
		"agent-0000": refuses, "agent-0001": refuses, "agent-0002": refuses,
	})
	c.Check(d.Picked, qt.Equals, NoCandidate)
}

func TestDecisionRecordsItsInputsAndTerms(t *testing.T) {
	c := qt.New(t)
	d := decide(t, testRequest(), map[string]*wire.ProbeReply{"agent-0000": reply(7, 8)})
	clone := d.Clone()
	d.Candidates[0].Instance = "changed"
	c.Assert(clone.Candidates[0].Instance, qt.Equals, "agent-0000")
	text, err := json.Marshal(clone)
	c.Assert(err, qt.IsNil)
	for _, part := range []string{`"policy":"cost"`, `"queue_ms":7`, `"filter":"eligible"`, `"ttft_ms":7.1`} {
		c.Check(string(text), qt.Contains, part)
	}
}

// BenchmarkDecision measures one decision: select candidates, store their replies and pick one.
func BenchmarkDecision(b *testing.B) {
	for _, name := range allPolicies {
		for _, n := range []int{8, 64, 1000} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) { benchmarkDecision(b, name, n) })
		}
	}
}

func benchmarkDecision(b *testing.B, name string, n int) {
	decideOnce := decisionFunc(b, name, n)
	b.ReportAllocs()
	for b.Loop() {
		decideOnce()
	}
}

func decisionFunc(tb testing.TB, name string, n int) func() {
	p := mustPolicy(tb, name)
	s := NewSnapshot("e", testReplicas(n), n)
	req := testRequest()
	rng := testRand()
	hints := []Hint{{"agent-0001", 3}, {"agent-0004", 7}, {"agent-0005", 2}}
	probeReply := reply(3, 4)
	d := Decision{Candidates: make([]Candidate, 0, 8)}
	return func() {
		p.Select(&req, s, hints, rng, &d)
		for i := range d.Candidates {
			d.Candidates[i].SetReply(probeReply)
		}
		p.Pick(&req, s, &d)
	}
}

func TestDecisionsDontAllocate(t *testing.T) {
	for _, name := range allPolicies {
		if allocs := testing.AllocsPerRun(100, decisionFunc(t, name, 64)); allocs != 0 {
			t.Errorf("policy %s allocates %v times a decision", name, allocs)
		}
	}
}
