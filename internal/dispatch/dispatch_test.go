package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
)

var start = time.Unix(1000, 0)

// newDispatcher returns a dispatcher in failure domain "a" with n engines that serve model "m" at version 1,
// half of them in domain "b", and two plain servers.
func newDispatcher(n int) *Dispatcher {
	d := New("a", 1, kvcache.New(), BudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Gateways: 1})
	d.SetWeightsWithin(15 * time.Second)
	d.SetServices([]routing.Service{
		{Name: "engines", Engine: &routing.Engine{Slots: 128, CacheTokens: 130_000, TokenBytes: 18_432, Models: []string{"m"}}},
		{Name: "plain"},
	})
	d.SetServers(servers(n))
	return d
}

func servers(n int) []backend.Server {
	var list []backend.Server
	for i := range n {
		domain := "a"
		if i >= n/2 {
			domain = "b"
		}
		list = append(list, backend.Server{
			ID: fmt.Sprintf("e%02d", i), Service: "engines", Address: fmt.Sprintf("10.0.0.%d:1", i+1), FailureDomain: domain,
			Slots: 128, Versions: map[string]int64{"m": 1},
		})
	}
	for i := range 2 {
		list = append(list, backend.Server{
			ID: fmt.Sprintf("p%d", i), Service: "plain", Address: fmt.Sprintf("10.0.1.%d:1", i+1), FailureDomain: "a", Slots: 6,
		})
	}
	return list
}

func prompt(session string, tokens int) *Request {
	return &Request{
		Service: "engines", Model: "m", PromptTokens: tokens, TargetLatency: 400 * time.Millisecond, TimeLeft: 3 * time.Second,
		Parts: []kvcache.Part{{ID: "base", Tokens: 300}, {ID: session, Tokens: tokens - 800}, {ID: session + "-own", Tokens: 500}},
	}
}

func plain() *Request {
	return &Request{Service: "plain", TargetLatency: 300 * time.Millisecond, TimeLeft: 2 * time.Second}
}

func mustPlace(c *qt.C, d *Dispatcher, r *Request, now time.Time) Placement {
	c.Helper()
	p, refusal := d.Place(now, r)
	c.Assert(refusal, qt.IsNil)
	d.RecordSent(now, &p)
	return p
}

// Requests are distributed over the servers of the gateway's own failure domain while these have capacity.
func TestPlacePrefersLeastLoadedServersOfItsFailureDomain(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(8)
	used := make(map[string]int)
	for i := range 4 {
		used[mustPlace(c, d, prompt(fmt.Sprint("s", i), 2000), start).Server]++
	}
	c.Assert(used, qt.DeepEquals, map[string]int{"e00": 1, "e01": 1, "e02": 1, "e03": 1})
}

// A server gets no request if it is draining, was tried before, is no longer registered, or has older weights than a
// resumed stream needs.
func TestPlaceFiltersServers(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	list := servers(2)
	list[0].State = backend.Draining
	d.SetServers(list)
	for i := range 10 {
		c.Assert(mustPlace(c, d, prompt(fmt.Sprint(i), 1000), start).Server, qt.Equals, "e01")
	}
	r := prompt("s", 1000)
	r.MinVersion = 2
	_, refusal := d.Place(start, r)
	c.Assert(refusal, qt.IsNotNil)
	r = prompt("s", 1000)
	r.Tried = []string{"e01"}
	_, refusal = d.Place(start, r)
	c.Assert(refusal, qt.IsNotNil)
	d.SetServers(nil)
	_, refusal = d.Place(start, prompt("s", 1000))
	c.Assert(refusal.Reason, qt.Equals, NoServer)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
}

// A server that could not be reached is avoided, longer each time, and used again once it responds.
func TestUnreachableServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	now := start
	var last time.Duration
	for range 3 {
		p := Placement{Server: "e00"}
		d.RecordSent(now, &p)
		d.RecordEnd(now, &p, Unreachable, false)
		left := d.servers["e00"].suspectUntil.Sub(now)
		c.Assert(left > last, qt.IsTrue)
		last = left
		c.Assert(mustPlace(c, d, prompt("s", 1000), now).Server, qt.Equals, "e01")
		now = now.Add(left)
	}
	p := Placement{Server: "e00", PredictedTTFB: time.Millisecond, Plan: &kvcache.Plan{}}
	d.RecordFirstByte(now, &p, time.Millisecond)
	c.Assert(d.servers["e00"].unreachableCount, qt.Equals, 0)
}

// No request starts on weights that should have been replaced by then.
func TestOverdueWeightsAreNotUsed(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(4)
	d.AddTargetWeightVersion(weights.TargetVersion{Model: "m", Version: 2, SetAt: start})
	last := start.Add(15*time.Second - overdueMargin)
	p, refusal := d.Place(start, prompt("s", 1000))
	c.Assert(refusal, qt.IsNil)
	c.Assert(mustPlace(c, d, prompt("s", 1000), last.Add(-p.PredictedTTFB)).Version, qt.Equals, int64(1))
	late := last.Add(time.Millisecond)
	_, refusal = d.Place(late, prompt("s", 1000))
	c.Assert(refusal, qt.IsNotNil)
	d.SetVersion(start, "e03", "m", 2)
	p = mustPlace(c, d, prompt("s", 1000), late)
	c.Assert(p.Server, qt.Equals, "e03")
	c.Assert(p.Salt, qt.Equals, kvcache.Salt(kvcache.Generation{Model: "m", Version: 2}, ""))
}

// A server's weight version never decreases, whether an older one comes from a report or from a registration.
func TestWeightVersionsNeverDecrease(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(1)
	d.SetVersion(start, "e00", "m", 3)
	d.SetVersion(start, "e00", "m", 2)
	d.SetServers(servers(1))
	c.Assert(d.servers["e00"].weightVersion["m"], qt.Equals, int64(3))
}

// Engines that load weights get no requests unless there is no other engine.
func TestExcludedEnginesAreAvoided(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	d.SetExcluded([]string{"e00"}, start)
	c.Assert(mustPlace(c, d, prompt("s", 1000), start).Server, qt.Equals, "e01")
	d.SetExcluded([]string{"e00", "e01"}, start)
	mustPlace(c, d, prompt("s", 1000), start)
	later := start.Add(excludedTTL)
	c.Assert(d.usable(later, prompt("s", 1000), d.servers["e00"], false), qt.IsTrue, qt.Commentf("the exclusion has expired without a report of the leader"))
}

// A plain server gets no more requests than fit into its queue; the others go to the other server.
func TestFullPlainServersAreNotUsed(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(0)
	for range 2 * plainQueueFactor * 6 {
		mustPlace(c, d, plain(), start)
	}
	c.Assert(d.servers["p0"].running, qt.Equals, plainQueueFactor*6)
	c.Assert(d.servers["p1"].running, qt.Equals, plainQueueFactor*6)
}

// In any window the retries of all gateways together stay within the bound, however the requests arrive.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, slack = 0.2, 50.0
	window := 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 4).Draw(t, "gateways")
		budgets := make([]*Budget, gateways)
		for i := range budgets {
			budgets[i] = &Budget{config: BudgetConfig{Ratio: ratio, Slack: slack, Window: window, Gateways: gateways}}
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, gateways-1).Draw(t, "at")]
			if rapid.IntRange(0, 9).Draw(t, "kind") < 2 {
				b.CountRequest(now)
				events = append(events, event{at: now})
			} else if b.Take(now) {
				events = append(events, event{at: now, retry: true})
			}
		}
		for i, first := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events[i:] {
				if e.at.Sub(first.at) >= window {
					break
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			// The benchmark counts the requests of the window, of the one before or of the one half a
			// window before.
			before := 0.0
			for _, e := range events[:i] {
				if !e.retry && first.at.Sub(e.at) <= window {
					before++
				}
			}
			if allowed := ratio*max(requests, before) + slack; retries > allowed+budgetStepAllowance*ratio*(requests+before) {
				t.Fatalf("%v retries, %v allowed", retries, allowed)
			}
		}
	})
}

// budgetStepAllowance is the part of a window by which counting in steps may be wrong.
const budgetStepAllowance = 1.0 / budgetSteps
