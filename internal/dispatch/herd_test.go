package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// herd is a fleet of many gateways that place prompts on the same engines and know of each other's load by
// beats only, which are older than most prompts take.
type herd struct {
	gateways []*Dispatcher
	engines  map[string]*engine
	// nearBeat and distantBeat are the times between two beats within a failure domain and across.
	nearBeat, distantBeat time.Duration
	domains               []string
	events                timeline[herdEvent]
	rng                   *rand.Rand
	result                crowd
	// offered, refused and withoutMemory count by the rank of the prompts; the last those that found their
	// engine's memory full.
	offered, refused, withoutMemory [2]int
	held                            map[string]int
}

// herdEvent is a beat of a gateway, a first token or the end of a request.
type herdEvent struct {
	at      time.Time
	gateway int
	arrived time.Time
	target  time.Duration
	placed  *Placement
	first   bool
	runs    time.Duration
	tokens  int
	beats   int
}

func (e herdEvent) when() time.Time { return e.at }

// herdKind is one kind of prompt: tokens that the engine reads, target, time from first token to the end.
type herdKind struct {
	perSecond float64
	tokens    int
	target    time.Duration
	runs      time.Duration
	rank      int
}

var herdDomains = []string{"a", "b", "c", "d"}

const (
	herdTokenMS = 1.0 / 112
	// herdMemory is the memory of one engine, in tokens.
	herdMemory = 130_000
)

// newHerd returns gateways and engines spread evenly over four failure domains.
func newHerd(gateways, engines int, nearBeat, distantBeat time.Duration) *herd {
	h := &herd{
		engines: make(map[string]*engine), held: make(map[string]int), nearBeat: nearBeat, distantBeat: distantBeat,
		rng: rand.New(rand.NewPCG(7, 7)),
	}
	var list []backend.Server
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		h.engines[id] = &engine{freeAt: start}
		list = append(list, backend.Server{
			ID: id, Service: "engines", Address: fmt.Sprintf("10.0.0.%d:1", i+1), FailureDomain: herdDomains[i%4],
			Slots: 128, Versions: map[string]int64{"m": 1},
		})
	}
	for i := range gateways {
		d := New(herdDomains[i%4], uint64(i), kvcache.New(herdDomains[i%4]), BudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Gateways: 1})
		d.SetWeightsWithin(15 * time.Second)
		d.SetServices([]routing.Service{
			{Name: "engines", Engine: &routing.Engine{Slots: 128, CacheTokens: herdMemory, TokenBytes: 18_432, Models: []string{"m"}}},
		})
		d.services["engines"].tokenMS = herdTokenMS
		d.SetServers(list)
		d.SetPosition(Position{Index: i / 4, Of: (gateways - i%4 + 3) / 4})
		h.gateways = append(h.gateways, d)
		h.domains = append(h.domains, herdDomains[i%4])
		phase := time.Duration(h.rng.Float64() * float64(nearBeat))
		heap.Push(&h.events, herdEvent{at: start.Add(phase), gateway: i, beats: 1})
	}
	return h
}

func (h *herd) play(kinds []herdKind, length time.Duration) crowd {
	total := 0.0
	for _, k := range kinds {
		total += k.perSecond
	}
	now := start
	for i := 0; now.Sub(start) < length; i++ {
		now = now.Add(time.Duration(h.rng.ExpFloat64() / total * float64(time.Second)))
		for h.events[0].at.Before(now) {
			h.next(heap.Pop(&h.events).(herdEvent))
		}
		h.arrive(now, i, h.kind(kinds, total))
	}
	return h.result
}

func (h *herd) kind(kinds []herdKind, total float64) herdKind {
	drawn := h.rng.Float64() * total
	for _, k := range kinds {
		if drawn -= k.perSecond; drawn < 0 {
			return k
		}
	}
	return kinds[0]
}

func (h *herd) arrive(now time.Time, serial int, k herdKind) {
	h.result.offered++
	h.offered[k.rank]++
	g := h.rng.IntN(len(h.gateways))
	d := h.gateways[g]
	tokens := max(900, int(float64(k.tokens)*(0.4+1.2*h.rng.Float64())))
	r := prompt(fmt.Sprint("s", serial), tokens)
	r.Target, r.Priority = k.target, k.rank
	p, refusal := d.Place(now, r)
	if refusal != nil {
		h.result.refused++
		h.refused[k.rank]++
		return
	}
	if h.held[p.Server]+tokens > herdMemory {
		h.withoutMemory[k.rank]++
	}
	h.held[p.Server] += tokens
	d.Sent(now, &p)
	e := h.engines[p.Server]
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(milliseconds(float64(tokens) * herdTokenMS))
	at := e.freeAt.Add(milliseconds(firstTokenMS))
	heap.Push(&h.events, herdEvent{at: at, gateway: g, arrived: now, target: k.target, placed: &p, first: true, runs: k.runs, tokens: tokens})
}

func (h *herd) next(e herdEvent) {
	d := h.gateways[e.gateway]
	switch {
	case e.placed == nil:
		h.beat(e)
	case e.first:
		took := e.at.Sub(e.arrived)
		d.FirstByte(e.at, e.placed, took)
		if took <= e.target {
			h.result.onTime++
		} else {
			h.result.late++
		}
		e.first, e.at = false, e.at.Add(e.runs)
		heap.Push(&h.events, e)
	default:
		d.Ended(e.at, e.placed, Served, true)
		h.held[e.placed.Server] -= e.tokens
	}
}

func (h *herd) beat(e herdEvent) {
	distantEvery := int(h.distantBeat / h.nearBeat)
	loads := h.gateways[e.gateway].Loads(e.at)
	for other, d := range h.gateways {
		if other == e.gateway {
			continue
		}
		if h.domains[other] == h.domains[e.gateway] || e.beats%distantEvery == 0 {
			d.SetPeer(fmt.Sprint("g", e.gateway), loads)
		}
	}
	e.at, e.beats = e.at.Add(h.nearBeat), e.beats+1
	heap.Push(&h.events, e)
}

// The load of a large deployment whose engines have little to spare: 26 gateways, 48 engines, 89 in 100 of
// what these can compute. A gateway that believes in what others did at one moment goes where they all go.
func TestManyGatewaysDontMeetAtOneEngine(t *testing.T) {
	c := qt.New(t)
	got := newHerd(26, 48, 500*time.Millisecond, 2*time.Second).play([]herdKind{
		{perSecond: 318, tokens: 8000, target: time.Second, runs: 250 * time.Millisecond, rank: 1},
		{perSecond: 1480, tokens: 1500, target: 500 * time.Millisecond, runs: 15 * time.Millisecond},
	}, 10*time.Second)
	t.Logf("%+v", got)
	c.Assert(got.onTime > got.offered*9/10, qt.IsTrue)
}

// The same gateways with engines of which a quarter is lost, so that long answers alone would fill what memory
// there is. Short prompts go before them and must find memory.
func TestShortPromptsFindMemory(t *testing.T) {
	c := qt.New(t)
	h := newHerd(26, 36, 500*time.Millisecond, 2*time.Second)
	got := h.play([]herdKind{
		{perSecond: 127, tokens: 12000, target: time.Second, runs: 3 * time.Second, rank: 1},
		{perSecond: 592, tokens: 2400, target: 500 * time.Millisecond, runs: 100 * time.Millisecond},
	}, 20*time.Second)
	t.Logf("%+v, without memory %v", got, h.withoutMemory)
	c.Assert(h.withoutMemory[0] < h.offered[0]/20, qt.IsTrue, qt.Commentf("%v of %v", h.withoutMemory, h.offered))
	c.Assert(h.refused[0] < h.offered[0]/20, qt.IsTrue, qt.Commentf("%v of %v refused", h.refused, h.offered))
	c.Assert(h.refused[1] < h.offered[1]/3, qt.IsTrue, qt.Commentf("%v of %v refused", h.refused, h.offered))
}
