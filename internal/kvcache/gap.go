package kvcache

import "time"

// Gap is the reason for which a shared part of a prompt is computed rather than fetched. It tells an operator what would
// have kept the part.
type Gap string

// Reasons for a gap.
const (
	// NotStored means that no store has the part, as far as is known, and no save of it by this gateway is under way.
	NotStored Gap = "not_stored"
	// SaveUnderWay means that this gateway has planned a save that no store has reported yet.
	SaveUnderWay Gap = "save_under_way"
	// Unsettled means that a store has the part, but a save of it may still be open at some gateway.
	Unsettled Gap = "unsettled"
	// StaleReading means that a store had the part at its latest reading, which is too old.
	StaleReading Gap = "stale_reading"
	// Retired means that the part is of weights that are being replaced.
	Retired Gap = "retired"
	// NoFetchLease means that this gateway has no lease from the leader, which may free parts without waiting for it.
	NoFetchLease Gap = "no_fetch_lease"
	// FetchTooSlow means that the fetch would take too long, so that the part is computed.
	FetchTooSlow Gap = "fetch_too_slow"
)

// gap returns why a part isn't fetched.
func (c *Catalogue) gap(g Generation, key Key, tokens int, fetch bool, now time.Time) Gap {
	if !c.HasFetchLease(now) {
		return NoFetchLease
	}
	if !c.mayFetch(g, key.ID, tokens, now) {
		return Retired
	}
	gap := NotStored
	for _, s := range c.stores {
		switch {
		case s.readAt.Before(c.readFrom):
			gap = StaleReading
		case s.canServe(key, tokens, now):
			if !fetch {
				return FetchTooSlow
			}
		case s.complete[key].tokens < tokens:
			if s.savePending(key, now) && gap == NotStored {
				gap = SaveUnderWay
			}
		case !s.fresh(now):
			gap = StaleReading
		default:
			gap = Unsettled
		}
	}
	return gap
}
