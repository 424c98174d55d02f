package kvcache

import (
	"strconv"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

const (
	// WholeShare retires all parts of a generation. Shares are in thousandths.
	WholeShare = 1000
	// movableTokens is the size from which a part retires by its share: one step of an engine. Smaller
	// parts, which many prompts begin with, retire with the whole generation.
	movableTokens = 1024
	// RightsFor is how long a gateway that hears neither the metadata store nor another gateway goes on
	// fetching: by then a newer generation may have been named and its parts freed.
	RightsFor = 8 * time.Second
	// saltSeparator stands between the fields of a salt.
	saltSeparator = "|"
	saltFields    = 3
)

// Generation is the cache that was made under one weight version of a model.
type Generation struct {
	Model   string
	Version int64
}

// Salt keeps the cache of a generation and of the organisations behind a wall apart from all other.
func Salt(g Generation, wall string) string {
	return g.Model + saltSeparator + strconv.FormatInt(g.Version, 10) + saltSeparator + wall
}

// GenerationOf returns the generation of a salt, or false for salts that aren't of this system.
func GenerationOf(salt string) (Generation, bool) {
	fields := strings.SplitN(salt, saltSeparator, saltFields)
	if len(fields) != saltFields {
		return Generation{}, false
	}
	version, err := strconv.ParseInt(fields[1], 10, 64)
	return Generation{Model: fields[0], Version: version}, err == nil
}

// ShareOf returns where a part stands in the order in which a generation retires, from 0 to 999.
func ShareOf(id string) int { return int(rendezvous.Weight(rendezvous.Hash(id), 1) % WholeShare) }

// SetNewest takes the newest named weight version of a model.
func (c *Catalogue) SetNewest(model string, version int64) {
	c.newest[model] = max(c.newest[model], version)
}

// Retire marks the first share of a generation's parts, in thousandths: they are no longer fetched and
// will be freed. Shares only grow.
func (c *Catalogue) Retire(g Generation, share int) {
	if share > c.retired[g] {
		c.retired[g] = min(share, WholeShare)
	}
}

// Retired returns the retired share by generation. The caller must not change it.
func (c *Catalogue) Retired() map[Generation]int { return c.retired }

// Touch notes that news came from the metadata store or from another gateway.
func (c *Catalogue) Touch(now time.Time) { c.touchedAt = now }

// mayFetch reports whether a part of a generation may be fetched.
//
// Invariant: what this refuses by a share that the leader has seen this gateway know, or after
// RightsFor without news, the leader may free.
func (c *Catalogue) mayFetch(g Generation, id string, tokens int, now time.Time) bool {
	if now.Sub(c.touchedAt) > RightsFor {
		return false
	}
	share := c.retired[g]
	return share == 0 || share < WholeShare && (tokens < movableTokens || ShareOf(id) >= share)
}

// superseded reports whether a newer generation was named, so that saving to this one doesn't pay.
func (c *Catalogue) superseded(g Generation) bool { return g.Version < c.newest[g.Model] }

// Generations returns the generations of a model that lie in the stores.
func (c *Catalogue) Generations(model string) map[Generation]bool {
	found := make(map[Generation]bool)
	for _, s := range c.stores {
		for key := range s.whole {
			if g, ok := GenerationOf(key.Salt); ok && g.Model == model {
				found[g] = true
			}
		}
	}
	return found
}

// Freeable returns the parts that are freed when the given shares have retired.
func (c *Catalogue) Freeable(shares map[Generation]int) []Held {
	return c.Select(func(key Key, tokens int) bool {
		g, ok := GenerationOf(key.Salt)
		if !ok {
			return false
		}
		share := shares[g]
		return share >= WholeShare || tokens >= movableTokens && ShareOf(key.ID) < share
	})
}
