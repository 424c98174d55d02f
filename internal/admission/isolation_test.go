package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Parameters of the simulated backend server and its load.
const (
	simulatedSlots         = 16
	simulatedOrganisations = 10
	simulatedTime          = 10 * time.Minute
	prefillMS              = 300.0
	decodeMS               = 500.0
)

// arrival is one job of the trace.
type arrival struct {
	at           time.Time
	organisation string
}

// trace returns Poisson arrivals of ten organisations with equal shares. The first organisation sends
// factor times its share. utilisation is the part of the capacity in use when all send their share.
// The arrivals of the other organisations are the same for every factor.
func trace(seed uint64, utilisation, factor float64) []arrival {
	var all []arrival
	perSecond := utilisation * simulatedSlots * 1000 / (prefillMS + decodeMS) / simulatedOrganisations
	for i := range simulatedOrganisations {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		rate := perSecond
		if i == 0 {
			rate *= factor
		}
		for at := start; at.Sub(start) < simulatedTime; {
			at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			all = append(all, arrival{at: at, organisation: fmt.Sprintf("org-%d", i)})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all
}

// runEnd is the end of a simulated run.
type runEnd struct {
	at  time.Time
	job Job
}

type runEnds []runEnd

func (r runEnds) Len() int           { return len(r) }
func (r runEnds) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r runEnds) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runEnds) Push(x any)        { *r = append(*r, x.(runEnd)) }

func (r *runEnds) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// result is the outcome of a simulation for one organisation.
type result struct {
	ttftMS  []float64 // milliseconds
	refused int       // at arrival
	expired int       // after waiting
	// predicted are the predicted waits of accepted jobs, in the order of ttftMS as long as no job
	// expired.
	predicted []time.Duration
}

// simulate runs a trace in virtual time and returns the results by organisation.
func simulate(arrivals []arrival) map[string]*result {
	results := make(map[string]*result)
	for i := range simulatedOrganisations {
		results[fmt.Sprintf("org-%d", i)] = &result{}
	}
	q := New(DefaultConfig(simulatedSlots))
	ends := &runEnds{}
	startJobs := func(now time.Time) {
		for _, job := range q.Expired(now) {
			results[job.Organisation].expired++
		}
		for job, ok := q.Next(now); ok; job, ok = q.Next(now) {
			r := results[job.Organisation]
			r.ttftMS = append(r.ttftMS, now.Sub(job.Enqueued).Seconds()*1000+prefillMS)
			heap.Push(ends, runEnd{at: now.Add(milliseconds(job.Work)), job: job})
		}
	}
	for i, a := range arrivals {
		for len(*ends) > 0 && !(*ends)[0].at.After(a.at) {
			end := heap.Pop(ends).(runEnd)
			q.Done(end.job.Attempt, end.job.Work)
			startJobs(end.at)
		}
		verdict := q.Offer(a.at, Job{
			Attempt: attempt(uint64(i + 1)), Organisation: a.organisation, Kind: "trace",
			Urgency: wire.Urgency_URGENCY_URGENT, Work: prefillMS + decodeMS,
			FirstToken: milliseconds(prefillMS), Deadline: a.at.Add(5 * time.Second),
		})
		if verdict.Accepted {
			results[a.organisation].predicted = append(results[a.organisation].predicted, verdict.Wait)
		} else {
			results[a.organisation].refused++
		}
		startJobs(a.at)
	}
	return results
}

func percentile(values []float64, fraction float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// TestTenfoldOrganisationKeepsP95OfOthers lets one organisation send ten times its share and compares the
// p95 time to first token of the others with that when it sends only its share.
func TestTenfoldOrganisationKeepsP95OfOthers(t *testing.T) {
	for _, utilisation := range []float64{0.5, 0.65, 0.8} {
		t.Run(fmt.Sprint(utilisation), func(t *testing.T) {
			c := qt.New(t)
			ordinary := simulate(trace(11, utilisation, 1))
			greedy := simulate(trace(11, utilisation, 10))
			largestChange := -1.0
			for i := 1; i < simulatedOrganisations; i++ {
				name := fmt.Sprintf("org-%d", i)
				change := percentile(greedy[name].ttftMS, 0.95)/percentile(ordinary[name].ttftMS, 0.95) - 1
				largestChange = max(largestChange, change)
				c.Check(change <= 0.1, qt.IsTrue, qt.Commentf("%s: p95 moved by %+.1f%%", name, 100*change))
				c.Check(greedy[name].refused+greedy[name].expired, qt.Equals, 0)
			}
			large := greedy["org-0"]
			t.Logf("p95 moved by %+.1f%% at most; the greedy organisation had %d runs, %d refused at once, %d after waiting",
				100*largestChange, len(large.ttftMS), large.refused, large.expired)
			// At least nine refusals in ten happen at arrival, without waiting.
			c.Check(9*large.expired <= large.refused, qt.IsTrue)
			c.Check(len(large.ttftMS) > len(ordinary["org-0"].ttftMS), qt.IsTrue)
		})
	}
}

// TestHeadroomEndsWithTheDemandOfOthers checks that an organisation must leave slots free while others are
// active, and that it can use all slots once it is the only active one.
func TestHeadroomEndsWithTheDemandOfOthers(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultConfig(simulatedSlots))
	now := start
	var lastAttempt uint64
	offer := func(organisation string) {
		lastAttempt++
		q.Offer(now, Job{Attempt: attempt(lastAttempt), Organisation: organisation, Work: 1e6})
	}
	fill := func() {
		for _, ok := q.Next(now); ok; _, ok = q.Next(now) {
		}
	}
	for i := range 4 {
		offer(fmt.Sprintf("small-%d", i))
	}
	fill()
	now = now.Add(usageTimeConstant)
	for range simulatedSlots {
		offer("large")
	}
	fill()
	c.Assert(q.Running() < simulatedSlots, qt.IsTrue)
	c.Assert(q.Running() >= simulatedSlots/2, qt.IsTrue)
	for i := range 4 {
		q.Done(attempt(uint64(i+1)), 0)
	}
	now = now.Add(activeFor + time.Second)
	q.Offer(now, Job{Attempt: attempt(1 << 40), Organisation: "large", Work: 1e6})
	fill()
	c.Assert(q.Running(), qt.Equals, simulatedSlots)
}

// TestThrottledOrganisationIsPredictedToWait checks the prediction while the only free slots are kept for others.
func TestThrottledOrganisationIsPredictedToWait(t *testing.T) {
	c := qt.New(t)
	q := New(DefaultConfig(simulatedSlots))
	now := start
	var lastAttempt uint64
	startJob := func(organisation string) {
		lastAttempt++
		q.Offer(now, Job{Attempt: attempt(lastAttempt), Organisation: organisation, Work: 1e6})
		q.Next(now)
	}
	for i := range 4 {
		startJob(fmt.Sprintf("small-%d", i))
	}
	now = now.Add(10 * time.Second)
	for range 10 {
		startJob("large")
	}
	now = now.Add(15 * time.Second)
	startJob("large")
	c.Assert(q.Len(), qt.Equals, 1)
	c.Assert(q.Running(), qt.Equals, simulatedSlots-2)
	c.Assert(q.Predict(now, Job{Organisation: "large", Work: 1e6}) > 0, qt.IsTrue)
	c.Assert(q.Predict(now, Job{Organisation: "small-5", Work: 1e6}), qt.Equals, time.Duration(0))
}
