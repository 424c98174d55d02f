package kvcache

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	quick = "10.0.0.1:1"
	slow  = "10.0.0.2:1"
)

var (
	start = time.Unix(1000, 0)
	gen1  = Generation{Model: "m", Version: 1}
	gen2  = Generation{Model: "m", Version: 2}
)

// newCatalogue returns a catalogue of two empty stores that were read at start.
func newCatalogue() *Catalogue {
	c := New("a")
	c.SetStores([]routing.CacheStore{
		{Address: quick, FailureDomain: "a", CapacityTokens: 20_000, LinkMbps: 100_000, Managed: true},
		{Address: slow, FailureDomain: "b", CapacityTokens: 200_000, LinkMbps: 10_000, FirstByte: 6 * time.Millisecond, Managed: true},
	}, 18_432)
	c.Touch(start)
	for _, address := range []string{quick, slow} {
		c.Apply(address, Batch{Epoch: 1}, start.Add(-time.Minute), start.Add(-time.Minute))
		c.Apply(address, Batch{Epoch: 1}, start, start)
	}
	return c
}

func prompt(session string) []Part {
	return []Part{{ID: "base", Tokens: 500}, {ID: session, Tokens: 6000}, {ID: session + "-own", Tokens: 900}}
}

func (c *Catalogue) report(address string, now time.Time, salt string, parts ...Part) {
	batch := Batch{Epoch: 1}
	for _, p := range parts {
		batch.Changes = append(batch.Changes, Change{Key: Key{Salt: salt, ID: p.ID}, Tokens: p.Tokens})
	}
	c.Apply(address, batch, now, now)
}

// A part is fetched only once its store has reported it whole.
func TestOnlyWholePartsAreFetched(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	first := catalogue.Plan(gen1, salt, prompt("s"), "a", true, start)
	c.Assert(first.FetchTokens, qt.Equals, 0)
	c.Assert(first.Save, qt.DeepEquals, []string{quick, quick, ""})

	next := append(prompt("s")[:2], Part{ID: "other-own", Tokens: 900})
	again := catalogue.Plan(gen1, salt, next, "a", true, start)
	c.Assert(again.FetchTokens, qt.Equals, 0)
	c.Assert(again.Save, qt.DeepEquals, []string{"", "", ""}, qt.Commentf("the saves are under way"))

	catalogue.report(quick, start, salt, prompt("s")[:2]...)
	returned := catalogue.Plan(gen1, salt, prompt("s"), "a", true, start)
	c.Assert(returned.Fetch, qt.DeepEquals, []string{quick, quick, ""})
	c.Assert(returned.ReadTokens, qt.Equals, 900)
}

// A shorter part than the prompt's isn't the whole part.
func TestShorterPartIsNotWhole(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	catalogue.report(quick, start, salt, Part{ID: "base", Tokens: 500}, Part{ID: "s", Tokens: 5999})
	plan := catalogue.Plan(gen1, salt, prompt("s"), "a", true, start)
	c.Assert(plan.Fetch, qt.DeepEquals, []string{quick, "", ""})
}

// What a store held when it was last read counts no longer than FreshFor.
func TestOldReadingIsNotTrusted(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	catalogue.report(quick, start, salt, prompt("s")[:2]...)
	late := start.Add(FreshFor)
	plan := catalogue.Plan(gen1, salt, prompt("s"), "a", true, late)
	c.Assert(plan.FetchTokens, qt.Equals, 0)
	c.Assert(plan.Save, qt.DeepEquals, []string{"", "", ""}, qt.Commentf("no store is known to be up"))
}

// A store that has restarted is neither fetched from by what it held nor written to while another
// gateway may still fetch by that.
func TestRestartedStoreIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	catalogue.report(quick, start, salt, prompt("s")[:2]...)
	now := start.Add(time.Second)
	catalogue.Apply(quick, Batch{Epoch: 2}, now, now)
	catalogue.Apply(slow, Batch{Epoch: 1}, now, now)
	plan := catalogue.Plan(gen1, salt, prompt("s"), "a", true, now)
	c.Assert(plan.FetchTokens, qt.Equals, 0)
	c.Assert(plan.Save, qt.DeepEquals, []string{slow, slow, ""})

	later := now.Add(FreshFor + FetchFor)
	catalogue.Apply(quick, Batch{Epoch: 2}, later, later)
	plan = catalogue.Plan(gen1, salt, prompt("t"), "a", true, later)
	c.Assert(plan.Save[1], qt.Equals, quick)
}

// Nothing is saved to a store beyond its capacity, whatever was saved and reported before.
func TestStoresAreNotOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalogue := newCatalogue()
		salt := Salt(gen1, "")
		for i := range rapid.IntRange(1, 200).Draw(t, "prompts") {
			parts := []Part{{ID: fmt.Sprint("p", i), Tokens: rapid.IntRange(100, 9000).Draw(t, "tokens")}, {ID: "own", Tokens: 1}}
			plan := catalogue.Plan(gen1, salt, parts, "a", true, start)
			if plan.Save[0] != "" && rapid.Bool().Draw(t, "reported") {
				catalogue.report(plan.Save[0], start, salt, parts[0])
			}
		}
		for _, s := range catalogue.State(start) {
			if s.Used > s.Capacity {
				t.Fatalf("store %s holds %d of %d tokens", s.Address, s.Used, s.Capacity)
			}
		}
	})
}

// A save that is never reported doesn't keep its part from being saved for ever.
func TestLostSaveIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	catalogue.Plan(gen1, salt, prompt("s"), "a", true, start)
	later := start.Add(savePending + time.Millisecond)
	catalogue.Apply(quick, Batch{Epoch: 1}, later, later)
	plan := catalogue.Plan(gen1, salt, prompt("s"), "a", true, later)
	c.Assert(plan.Save[1], qt.Equals, quick)
}

// Cache of one weight version, or behind one wall, is never planned for another.
func TestSaltsSeparate(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	catalogue.report(quick, start, Salt(gen1, ""), prompt("s")[:2]...)
	for _, other := range []struct {
		g    Generation
		wall string
	}{{gen2, ""}, {gen1, "org"}, {Generation{Model: "n", Version: 1}, ""}} {
		plan := catalogue.Plan(other.g, Salt(other.g, other.wall), prompt("s"), "a", true, start)
		c.Assert(plan.FetchTokens, qt.Equals, 0)
	}
	g, ok := GenerationOf(Salt(gen2, "a|b"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(g, qt.Equals, gen2)
	_, ok = GenerationOf("foreign")
	c.Assert(ok, qt.IsFalse)
}

// What may be freed at a retired share is exactly what no gateway that knows the share fetches.
func TestRetiredPartsAreNotFetched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalogue := newCatalogue()
		salt := Salt(gen1, "")
		var parts []Part
		for i := range 50 {
			parts = append(parts, Part{ID: fmt.Sprint("p", i), Tokens: rapid.IntRange(100, 3000).Draw(t, "tokens")})
		}
		catalogue.report(slow, start, salt, parts...)
		share := rapid.IntRange(0, WholeShare).Draw(t, "share")
		catalogue.Retire(gen1, share)
		freeable := make(map[string]bool)
		for _, held := range catalogue.Freeable(map[Generation]int{gen1: share}) {
			freeable[held.Key.ID] = true
		}
		for _, p := range parts {
			e := catalogue.Estimate(gen1, salt, []Part{p}, "a", start)
			if freeable[p.ID] == (e.Tokens > 0) {
				t.Fatalf("share %d: part %s of %d tokens: freeable %v, fetchable %v", share, p.ID, p.Tokens, freeable[p.ID], e.Tokens > 0)
			}
		}
	})
}

// A gateway without news stops fetching before the leader stops waiting for it.
func TestRightsEndWithoutNews(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	now := start.Add(RightsFor + time.Millisecond)
	catalogue.Apply(quick, Batch{Epoch: 1}, now, now)
	catalogue.report(quick, now, salt, prompt("s")[:2]...)
	c.Assert(catalogue.Estimate(gen1, salt, prompt("s"), "a", now).Tokens, qt.Equals, 0)
	catalogue.Touch(now)
	c.Assert(catalogue.Estimate(gen1, salt, prompt("s"), "a", now).Tokens, qt.Equals, 6500)
}

// Nothing is saved for weights that a newer version will replace.
func TestSupersededWeightsAreNotSavedFor(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	catalogue.SetNewest("m", 2)
	c.Assert(catalogue.Plan(gen1, Salt(gen1, ""), prompt("s"), "a", true, start).Save, qt.DeepEquals, []string{"", "", ""})
	c.Assert(catalogue.Plan(gen2, Salt(gen2, ""), prompt("s"), "a", true, start).Save[1], qt.Equals, quick)
}

// A store whose fetches take long is left for one that is quicker, and tried again after a while.
func TestLagMovesFetches(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	salt := Salt(gen1, "")
	part := Part{ID: "s", Tokens: 1500}
	catalogue.report(quick, start, salt, part)
	catalogue.report(slow, start, salt, part)
	plan := catalogue.Plan(gen1, salt, []Part{part, {ID: "o", Tokens: 1}}, "a", true, start)
	c.Assert(plan.Fetch[0], qt.Equals, quick)
	for range 20 {
		catalogue.Fetched(&plan, 800, start)
	}
	c.Assert(catalogue.Plan(gen1, salt, []Part{part, {ID: "o", Tokens: 1}}, "a", true, start).Fetch[0], qt.Equals, slow)
	later := start.Add(8 * time.Second)
	catalogue.report(quick, later, salt, part)
	catalogue.report(slow, later, salt, part)
	catalogue.Touch(later)
	c.Assert(catalogue.Plan(gen1, salt, []Part{part, {ID: "o", Tokens: 1}}, "a", true, later).Fetch[0], qt.Equals, quick)
}

// A gateway that starts just after a store has restarted empty can't know it: other gateways may still fetch by
// what the store held before, so nothing is saved there for as long as their reading counts. A store that holds
// something has been up for longer.
func TestEmptyStoreAtFirstSightMayHaveRestarted(t *testing.T) {
	c := qt.New(t)
	salt := Salt(gen1, "")
	fresh := func(batch Batch) *Catalogue {
		catalogue := New("a")
		catalogue.SetStores([]routing.CacheStore{
			{Address: quick, FailureDomain: "a", CapacityTokens: 20_000, LinkMbps: 100_000, Managed: true},
		}, 18_432)
		catalogue.Touch(start)
		catalogue.Apply(quick, batch, start, start)
		return catalogue
	}
	saves := func(catalogue *Catalogue, at time.Time) bool {
		catalogue.Apply(quick, Batch{Epoch: 5}, at, at)
		plan := catalogue.Plan(gen1, salt, prompt("s"), "a", true, at)
		return slices.Contains(plan.Save, quick)
	}
	empty := fresh(Batch{Epoch: 5})
	c.Assert(saves(empty, start.Add(time.Second)), qt.IsFalse)
	c.Assert(saves(empty, start.Add(FreshFor+FetchFor)), qt.IsTrue)
	held := fresh(Batch{Epoch: 5, Changes: []Change{{Key: Key{Salt: salt, ID: "other"}, Tokens: 500}}})
	c.Assert(saves(held, start), qt.IsTrue)
}
