package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
)

// storesPerDomain returns a catalogue with one store in each simulated failure domain. Session i has been complete for a
// while in the store of domain i modulo their number.
func storesPerDomain(sessions int, now time.Time) *kvcache.Catalogue {
	catalogue := kvcache.New()
	var stores []routing.CacheStore
	for i, domain := range simulationDomains {
		stores = append(stores, routing.CacheStore{
			Address: fmt.Sprintf("10.1.0.%d:1", i), FailureDomain: domain, CapacityTokens: 10_000_000, LinkMbps: 66_000, Managed: true,
		})
	}
	catalogue.SetStores(stores, 18_432)
	catalogue.ExtendFetchLease(now.Add(kvcache.FetchLeaseTTL), time.Time{})
	salt := kvcache.Salt(kvcache.Generation{Model: "m", Version: 1}, "")
	for i := range simulationDomains {
		batch := kvcache.Batch{Epoch: 1, Changes: []kvcache.Change{{Key: kvcache.Key{Salt: salt, ID: "base"}, Tokens: 300}}}
		for s := i; s < sessions; s += len(simulationDomains) {
			batch.Changes = append(batch.Changes, kvcache.Change{Key: kvcache.Key{Salt: salt, ID: fmt.Sprint("s", s)}, Tokens: 8200})
		}
		catalogue.Replace(stores[i].Address, batch, now.Add(-time.Minute), now.Add(-time.Minute))
	}
	refreshStores(catalogue, now)
	return catalogue
}

// Guards against links of cache stores that are occupied twice as long by transfers to other failure domains: sessions
// return through the gateways of any domain, and the stores' links carry nearly all prompts. Prompts must run where
// their parts are, spread over the engines there.
func TestPromptsRunWhereTheirPartsAre(t *testing.T) {
	c := qt.New(t)
	const sessions = 400
	h := newSimulationWithSlots(68, 76, 12, 350*time.Millisecond, 1750*time.Millisecond)
	catalogue := storesPerDomain(sessions, start)
	perEngine := make(map[string]int)
	placed, home := 0, 0
	now := start
	for i := range 6000 {
		now = now.Add(time.Millisecond)
		catalogue.ExtendFetchLease(now.Add(kvcache.FetchLeaseTTL), time.Time{})
		d := h.gateways[h.rng.IntN(len(h.gateways))]
		d.catalogue = catalogue
		session := h.rng.IntN(sessions)
		r := prompt(fmt.Sprint("s", session), 9000)
		r.TargetLatency = 600 * time.Millisecond
		if i%1000 == 0 {
			refreshStores(catalogue, now)
		}
		p, refusal := d.Place(now, r)
		if refusal != nil {
			continue
		}
		d.RecordSent(now, &p)
		d.RecordFirstByte(now, &p, 100*time.Millisecond)
		d.RecordEnd(now, &p, Served, true)
		placed++
		perEngine[p.Server]++
		if p.FailureDomain == simulationDomains[session%len(simulationDomains)] {
			home++
		}
	}
	c.Assert(placed > 5900, qt.IsTrue, qt.Commentf("%d placed", placed))
	c.Assert(home > placed*9/10, qt.IsTrue, qt.Commentf("%d of %d prompts run at home", home, placed))
	for id, n := range perEngine {
		c.Check(n < 3*placed/len(h.engines), qt.IsTrue, qt.Commentf("engine %s runs %d of %d", id, n, placed))
	}
}

// refreshStores makes the readings of all stores current.
func refreshStores(catalogue *kvcache.Catalogue, now time.Time) {
	for i := range simulationDomains {
		catalogue.Apply(fmt.Sprintf("10.1.0.%d:1", i), kvcache.Batch{Epoch: 1}, now, now)
	}
}

// A prompt leaves its home when the engines there are full, and one with few cached tokens has none.
func TestHomeIsLeftWhenItIsFull(t *testing.T) {
	c := qt.New(t)
	h := newSimulationWithSlots(4, 8, 2, 350*time.Millisecond, 1750*time.Millisecond)
	d := h.gateways[0]
	d.catalogue = storesPerDomain(8, start)
	atHome := prompt("s1", 9000)
	atHome.TargetLatency, atHome.Priority = 2*time.Second, 1
	p, refusal := d.Place(start, atHome)
	c.Assert(refusal, qt.IsNil)
	c.Assert(p.FailureDomain, qt.Equals, "b")
	loads := make(map[string]PeerLoad)
	for id, s := range d.servers {
		if s.FailureDomain == "b" {
			loads[id] = PeerLoad{Running: 12, WaitingTokens: 60_000}
		}
	}
	d.SetPeer("busy", loads)
	p, refusal = d.Place(start, atHome)
	c.Assert(refusal, qt.IsNil)
	c.Assert(p.FailureDomain, qt.Not(qt.Equals), "b")
	fresh := prompt("new", 9000)
	fresh.TargetLatency = 2 * time.Second
	c.Assert(d.homeOf(start, fresh), qt.Equals, "", qt.Commentf("only 300 tokens are cached"))
}

// A store whose link is slow is no reason to refuse a prompt that the engine can compute in time.
func TestSlowStoreIsNoReasonToRefuse(t *testing.T) {
	c := qt.New(t)
	h := newSimulationWithSlots(4, 8, 12, 350*time.Millisecond, 1750*time.Millisecond)
	d := h.gateways[0]
	d.catalogue = storesPerDomain(8, start)
	r := prompt("s1", 9000)
	r.TargetLatency = 600 * time.Millisecond
	for range 20 {
		p, refusal := d.Place(start, r)
		c.Assert(refusal, qt.IsNil)
		d.catalogue.ObserveFetch(p.Plan, 250, start)
	}
	// Another session whose parts are in the same store, and were not computed recently.
	other := prompt("s5", 9000)
	other.TargetLatency = r.TargetLatency
	_, refusal := d.Place(start, other)
	c.Assert(refusal, qt.IsNil)
}

// Guards against work that grows with the numbers of weight versions: a target far above the engines' version held up the control
// goroutine, and with it all requests of a gateway.
func TestStepOfWeightVersionsCanBeOfAnySize(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(3)
	d.AddTargetWeightVersion(weights.TargetVersion{Model: "m", Version: math.MaxInt64, SetAt: start})
	placed := make(chan *Refusal, 1)
	go func() {
		_, refusal := d.Place(start, prompt("s1", 9000))
		placed <- refusal
	}()
	select {
	case refusal := <-placed:
		c.Assert(refusal, qt.IsNil)
	case <-time.After(2 * time.Second):
		c.Fatal("the prompt isn't placed")
	}
}
