package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// engine simulates an engine that computes prompts one after the other. It is idle from freeAt on.
type engine struct {
	// freeAt is when the compute time of all prompts so far has passed.
	freeAt time.Time
	// slots bounds the requests that run at once; 0 means no bound. ends are the times at which the requests end.
	slots int
	ends  []time.Time
}

// admitAt returns when a request that arrives now gets a slot.
func (e *engine) admitAt(now time.Time) time.Time {
	e.ends = slices.DeleteFunc(e.ends, func(end time.Time) bool { return !end.After(now) })
	if e.slots == 0 || len(e.ends) < e.slots {
		return now
	}
	slices.SortFunc(e.ends, time.Time.Compare)
	return e.ends[len(e.ends)-e.slots]
}

// firstToken is the first token of one request at an engine.
type firstToken struct {
	at      time.Time
	arrived time.Time
	placed  Placement
}

func (f firstToken) when() time.Time { return f.at }

// eventQueue is a heap of future events, the earliest first.
type eventQueue[T interface{ when() time.Time }] []T

func (l eventQueue[T]) Len() int           { return len(l) }
func (l eventQueue[T]) Less(i, j int) bool { return l[i].when().Before(l[j].when()) }
func (l eventQueue[T]) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *eventQueue[T]) Push(x any)        { *l = append(*l, x.(T)) }
func (l *eventQueue[T]) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// loadResult counts the outcomes of simulated prompts.
type loadResult struct {
	offered, onTime, late, refused int
	// longestRefusalWait is the longest RetryAfter.
	longestRefusalWait time.Duration
}

// simulateLoad sends perSecond prompts per second, each of 3,000 tokens, to 6 engines that each compute 70 tokens per
// millisecond. The capacity of the fleet is 140 prompts per second. Half of the engines are busy for the first two
// seconds. refuse sets whether the dispatcher may refuse prompts.
func simulateLoad(perSecond float64, length time.Duration, refuse bool) loadResult {
	const tokens, tokenMS = 3000, 1.0 / 70
	d := newDispatcher(6)
	d.services["engines"].tokenMS = tokenMS
	rng := rand.New(rand.NewPCG(7, 7))
	engines := make(map[string]*engine)
	for _, s := range servers(6) {
		engines[s.ID] = &engine{freeAt: start}
	}
	for _, busy := range []string{"e00", "e01", "e02"} {
		engines[busy].freeAt = start.Add(2 * time.Second)
	}
	var result loadResult
	var running eventQueue[firstToken]
	now := start
	for i := 0; now.Sub(start) < length; i++ {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		for len(running) > 0 && !running[0].at.After(now) {
			result.finish(d, heap.Pop(&running).(firstToken))
		}
		result.offered++
		r := prompt(fmt.Sprint("s", i), tokens)
		if !refuse {
			r.TargetLatency = time.Hour
		}
		p, refusal := d.Place(now, r)
		if refusal != nil {
			result.refused++
			result.longestRefusalWait = max(result.longestRefusalWait, refusal.RetryAfter)
			continue
		}
		d.RecordSent(now, &p)
		e := engines[p.Server]
		if e.freeAt.Before(now) {
			e.freeAt = now
		}
		e.freeAt = e.freeAt.Add(milliseconds(tokens * tokenMS))
		heap.Push(&running, firstToken{at: e.freeAt.Add(milliseconds(firstTokenMS)), arrived: now, placed: p})
	}
	for len(running) > 0 {
		result.finish(d, heap.Pop(&running).(firstToken))
	}
	return result
}

func (r *loadResult) finish(d *Dispatcher, f firstToken) {
	took := f.at.Sub(f.arrived)
	d.RecordFirstByte(f.at, &f.placed, took)
	d.RecordEnd(f.at, &f.placed, Served, true)
	if took <= 400*time.Millisecond {
		r.onTime++
	} else {
		r.late++
	}
}

// Guards against an overload that outlasts its cause: for two seconds the load exceeds the capacity of the fleet.
// Without refusals the queue stays, and most responses are late for as long as the load lasts. With refusals the
// fleet recovers.
func TestCrowdedFleetRecovers(t *testing.T) {
	c := qt.New(t)
	without := simulateLoad(130, 20*time.Second, false)
	with := simulateLoad(130, 20*time.Second, true)
	t.Logf("without refusals %+v, with %+v", without, with)
	c.Assert(without.onTime < without.offered/2, qt.IsTrue, qt.Commentf("the load does not overload the fleet"))
	c.Assert(with.onTime > with.offered*3/4, qt.IsTrue)
	c.Assert(with.late < with.offered/10, qt.IsTrue)
	c.Assert(with.longestRefusalWait <= maxRetryAfter*3/2, qt.IsTrue)
}

// Guards against refusals by a fleet that has spare capacity.
func TestFleetWithSpareCapacityRefusesAlmostNothing(t *testing.T) {
	c := qt.New(t)
	got := simulateLoad(50, 20*time.Second, true)
	c.Assert(got.refused <= got.offered/50, qt.IsTrue, qt.Commentf("%+v", got))
}

// The target is 20 µs per placement, without allocations that grow with the number of servers.
func BenchmarkPlace(b *testing.B) {
	d := newDispatcher(48)
	r := prompt("s", 9000)
	b.ReportAllocs()
	for b.Loop() {
		p, refusal := d.Place(start, r)
		if refusal == nil {
			d.RecordSent(start, &p)
			d.RecordEnd(start, &p, Served, true)
			d.servers[p.Server].waitingTokens = 0
		}
	}
	_ = kvcache.Plan{}
}
