package kvcache

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a store in trouble that reports ever more parts: the catalogue keeps no more than fit in a store, and none that
// can't be saved.
func TestCatalogueKeepsNoMoreThanFitsInAStore(t *testing.T) {
	c := qt.New(t)
	catalogue := newCatalogue()
	const capacity = 20_000
	salt := Salt(gen1, "")
	for round := range 100 {
		batch := Batch{Epoch: 1}
		for i := range 1000 {
			id := fmt.Sprintf("%d-%d", round, i)
			batch.Changes = append(batch.Changes, Change{Key: Key{Salt: salt, ID: id}, Tokens: minPartTokens},
				Change{Key: Key{Salt: salt, ID: "tiny" + id}, Tokens: 1}, Change{Key: Key{Salt: salt, ID: "empty" + id}})
		}
		catalogue.Apply(fastStore, batch, start, start)
	}
	known := catalogue.Filter(func(Key, int) bool { return true })
	c.Assert(len(known) <= maxKnownFill*capacity/minPartTokens, qt.IsTrue, qt.Commentf("%d parts", len(known)))
	catalogue.Replace(fastStore, Batch{Epoch: 1, Changes: []Change{{Key: Key{Salt: salt, ID: "a"}, Tokens: 500}}}, start, start)
	known = catalogue.Filter(func(Key, int) bool { return true })
	c.Assert(known, qt.HasLen, 1)
}
