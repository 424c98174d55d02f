package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against review/3: after an organisation had become isolated, others went on using the shared KV cache that it had made.
// Gateways have any of the configurations so far, as those that lag or start anew do, and isolation goes on and off.
func TestNoCacheIsSharedWithAnIsolatedOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		organisations := rapid.IntRange(1, 5).Draw(t, "organisations")
		var tables []*Table
		makers := make(map[string]map[string]bool)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if step == 0 || rapid.IntRange(0, 3).Draw(t, "change") == 0 {
				c := Configuration{Version: int64(step + 1)}
				for i := range organisations {
					if rapid.IntRange(0, 9).Draw(t, "present") > 0 {
						c.Organisations = append(c.Organisations, Organisation{Name: fmt.Sprint("org", i), Isolated: rapid.Bool().Draw(t, "isolated")})
					}
				}
				tables = append(tables, NewTable(c))
			}
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "gateway's configuration")]
			organisation := rapid.SampledFrom([]string{"", "org0", "org1", "org2", "org3", "org4"}).Draw(t, "organisation")
			boundary := table.CacheBoundary(organisation)
			for maker := range makers[boundary] {
				if maker != organisation && (isolated(table, maker) || isolated(table, organisation)) {
					t.Fatalf("configuration %d: %q uses cache that %q made under boundary %q", table.Version, organisation, maker, boundary)
				}
			}
			if makers[boundary] == nil {
				makers[boundary] = make(map[string]bool)
			}
			makers[boundary][organisation] = true
		}
	})
}

func isolated(t *Table, organisation string) bool {
	for _, o := range t.Organisations {
		if o.Name == organisation {
			return o.Isolated
		}
	}
	return false
}

// Organisations go on sharing the KV cache that they made, as long as the same ones are isolated, whatever else changes.
func TestOrganisationsShareCacheWhileTheSameAreIsolated(t *testing.T) {
	c := qt.New(t)
	table := func(isolated ...string) *Table {
		configuration := Configuration{Organisations: []Organisation{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
		for i := range configuration.Organisations {
			for _, name := range isolated {
				o := &configuration.Organisations[i]
				o.Isolated = o.Isolated || o.Name == name
			}
		}
		return NewTable(configuration)
	}
	c.Assert(table().CacheBoundary("a"), qt.Equals, "")
	c.Assert(table("c").CacheBoundary("a"), qt.Equals, table("c").CacheBoundary("b"))
	c.Assert(table("c").CacheBoundary("a"), qt.Equals, table("c").CacheBoundary(""))
	c.Assert(table("c").CacheBoundary("c"), qt.Equals, table("b", "c").CacheBoundary("c"))
	c.Assert(table("a", "c").CacheBoundary("b"), qt.Not(qt.Equals), table("a").CacheBoundary("b"))
	c.Assert(table("a", "c").CacheBoundary("b"), qt.Equals, table("c", "a").CacheBoundary("b"))
}
