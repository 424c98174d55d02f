package kvcache

import (
	"strconv"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

const (
	// FullShare is the share at which all parts of a generation are retired. Shares are in thousandths.
	FullShare = 1000
	// minShareTokens is the size, in tokens, from which a part retires by its share: one step of an engine.
	// Many prompts begin with smaller parts, so these retire only with the complete generation.
	minShareTokens = 1024
	// saltSeparator separates the fields of a salt.
	saltSeparator = "|"
	saltFields    = 3
)

// Generation is the cache that was computed with one weight version of a model.
type Generation struct {
	Model   string
	Version int64
}

// Salt returns the salt that separates the cache of a generation, within one cache isolation boundary, from
// all other cache.
func Salt(g Generation, boundary string) string {
	return g.Model + saltSeparator + strconv.FormatInt(g.Version, 10) + saltSeparator + boundary
}

// GenerationOf returns the generation of a salt, or false when the salt does not have the form that Salt makes.
func GenerationOf(salt string) (Generation, bool) {
	fields := strings.SplitN(salt, saltSeparator, saltFields)
	if len(fields) != saltFields {
		return Generation{}, false
	}
	version, err := strconv.ParseInt(fields[1], 10, 64)
	return Generation{Model: fields[0], Version: version}, err == nil
}

// RetirementRank returns the position of a part, from 0 to 999, in the order in which the parts of a generation
// retire.
func RetirementRank(id string) int {
	return int(rendezvous.Weight(rendezvous.Hash(id), 1) % FullShare)
}

// SetNewestVersion sets the newest target weight version of a model. It ignores a version older than the current one.
func (c *Catalogue) SetNewestVersion(model string, version int64) {
	c.newestVersions[model] = max(c.newestVersions[model], version)
}

// Retire retires the first share of a generation's parts, in thousandths. Retired parts are no longer fetched
// and will be freed. The share only grows.
func (c *Catalogue) Retire(g Generation, share int) {
	if share > c.retiredShares[g] {
		c.retiredShares[g] = min(share, FullShare)
	}
}

// RetiredShares returns the retired share by generation, in thousandths. The caller must not change the map.
func (c *Catalogue) RetiredShares() map[Generation]int { return c.retiredShares }

// ExtendFetchLease extends the lease by which parts may be fetched. It never ends a lease earlier. Only readings that were requested
// at readFrom or later count from then on; a zero readFrom sets no bound.
func (c *Catalogue) ExtendFetchLease(until, readFrom time.Time) {
	if until.After(c.fetchUntil) {
		c.fetchUntil = until
	}
	if readFrom.After(c.readFrom) {
		c.readFrom = readFrom
	}
}

// HasFetchLease reports whether parts may be fetched.
func (c *Catalogue) HasFetchLease(now time.Time) bool { return now.Before(c.fetchUntil) }

// FetchLease returns how much longer parts may be fetched; 0 without a lease.
func (c *Catalogue) FetchLease(now time.Time) time.Duration { return max(0, c.fetchUntil.Sub(now)) }

// mayFetch reports whether a part of a generation may be fetched.
//
// Invariant: the leader may free the parts that this function refuses because of a share which this gateway has
// reported to the leader, or because its lease has ended.
func (c *Catalogue) mayFetch(g Generation, id string, tokens int, now time.Time) bool {
	if !c.HasFetchLease(now) {
		return false
	}
	share := c.retiredShares[g]
	return share == 0 || share < FullShare && (tokens < minShareTokens || RetirementRank(id) >= share)
}

// superseded reports whether a newer generation is the target, so that saving parts of g isn't worthwhile.
func (c *Catalogue) superseded(g Generation) bool { return g.Version < c.newestVersions[g.Model] }

// Generations returns the generations of a model that have parts in the stores.
func (c *Catalogue) Generations(model string) map[Generation]bool {
	found := make(map[Generation]bool)
	for _, s := range c.stores {
		for key := range s.complete {
			if g, ok := GenerationOf(key.Salt); ok && g.Model == model {
				found[g] = true
			}
		}
	}
	return found
}

// Freeable returns the parts that may be freed once the given shares, in thousandths, have retired.
func (c *Catalogue) Freeable(shares map[Generation]int) []StoredPart {
	return c.Filter(func(key Key, tokens int) bool {
		g, ok := GenerationOf(key.Salt)
		if !ok {
			return false
		}
		share := shares[g]
		return share >= FullShare || tokens >= minShareTokens && RetirementRank(key.ID) < share
	})
}
