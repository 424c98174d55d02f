package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// engine computes prompts one after the other, at tokenMS a token, once it has begun with one.
type engine struct{ freeAt time.Time }

// finish is the first token of one request at an engine.
type finish struct {
	at      time.Time
	arrived time.Time
	placed  Placement
}

func (f finish) when() time.Time { return f.at }

// timeline is a heap of what will happen, the next first.
type timeline[T interface{ when() time.Time }] []T

func (l timeline[T]) Len() int           { return len(l) }
func (l timeline[T]) Less(i, j int) bool { return l[i].when().Before(l[j].when()) }
func (l timeline[T]) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *timeline[T]) Push(x any)        { *l = append(*l, x.(T)) }
func (l *timeline[T]) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// crowd plays prompts that arrive at perSecond and counts what callers get.
type crowd struct {
	offered, onTime, late, refused int
	// longestRefusalWait is the longest Retry-After.
	longestRefusalWait time.Duration
}

// play sends prompts of 3,000 tokens to 6 engines of 70 tokens a millisecond, 140 prompts a second at
// full use, with half of the engines away for the first two seconds. refuse tells whether the dispatcher
// may refuse.
func play(perSecond float64, length time.Duration, refuse bool) crowd {
	const tokens, tokenMS = 3000, 1.0 / 70
	d := newDispatcher(6)
	d.services["engines"].tokenMS = tokenMS
	rng := rand.New(rand.NewPCG(7, 7))
	engines := make(map[string]*engine)
	for _, s := range servers(6) {
		engines[s.ID] = &engine{freeAt: start}
	}
	for _, away := range []string{"e00", "e01", "e02"} {
		engines[away].freeAt = start.Add(2 * time.Second)
	}
	var result crowd
	var running timeline[finish]
	now := start
	for i := 0; now.Sub(start) < length; i++ {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		for len(running) > 0 && !running[0].at.After(now) {
			result.end(d, heap.Pop(&running).(finish))
		}
		result.offered++
		r := prompt(fmt.Sprint("s", i), tokens)
		if !refuse {
			r.Target = time.Hour
		}
		p, refusal := d.Place(now, r)
		if refusal != nil {
			result.refused++
			result.longestRefusalWait = max(result.longestRefusalWait, refusal.RetryAfter)
			continue
		}
		d.Sent(now, &p)
		e := engines[p.Server]
		if e.freeAt.Before(now) {
			e.freeAt = now
		}
		e.freeAt = e.freeAt.Add(milliseconds(tokens * tokenMS))
		heap.Push(&running, finish{at: e.freeAt.Add(milliseconds(firstTokenMS)), arrived: now, placed: p})
	}
	for len(running) > 0 {
		result.end(d, heap.Pop(&running).(finish))
	}
	return result
}

func (r *crowd) end(d *Dispatcher, f finish) {
	took := f.at.Sub(f.arrived)
	d.FirstByte(f.at, &f.placed, took)
	d.Ended(f.at, &f.placed, Served, true)
	if took <= 400*time.Millisecond {
		r.onTime++
	} else {
		r.late++
	}
}

// The load of a crowd that outgrew the fleet for two seconds: without refusals the queue stays, and most
// callers get their answer late for as long as the load lasts. With them the fleet recovers.
func TestCrowdedFleetRecovers(t *testing.T) {
	c := qt.New(t)
	without := play(130, 20*time.Second, false)
	with := play(130, 20*time.Second, true)
	t.Logf("without refusals %+v, with %+v", without, with)
	c.Assert(without.onTime < without.offered/2, qt.IsTrue, qt.Commentf("the load isn't a crowd"))
	c.Assert(with.onTime > with.offered*3/4, qt.IsTrue)
	c.Assert(with.late < with.offered/10, qt.IsTrue)
	c.Assert(with.longestRefusalWait <= maxRetryAfter*3/2, qt.IsTrue)
}

// A fleet with room refuses nobody.
func TestFleetWithRoomRefusesNobody(t *testing.T) {
	c := qt.New(t)
	calm := play(50, 20*time.Second, true)
	c.Assert(calm.refused <= calm.offered/50, qt.IsTrue, qt.Commentf("%+v", calm))
}

// The target is 20 µs and no allocation that grows with the servers.
func BenchmarkPlace(b *testing.B) {
	d := newDispatcher(48)
	r := prompt("s", 9000)
	b.ReportAllocs()
	for b.Loop() {
		p, refusal := d.Place(start, r)
		if refusal == nil {
			d.Sent(start, &p)
			d.Ended(start, &p, Served, true)
			d.servers[p.Server].tokens = 0
		}
	}
	_ = kvcache.Plan{}
}
