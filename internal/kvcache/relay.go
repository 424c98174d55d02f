package kvcache

import "time"

// changesKept is how many changes of a store are kept for other gateways: some seconds' worth at a peak.
const changesKept = 2048

// NumberFrom sets where the numbers of changes begin. It is called once, before the first reading, with a
// number that no earlier run of this gateway has reached.
func (c *Catalogue) NumberFrom(first int64) { c.firstChange = first }

func (s *store) record(change Change) {
	s.next++
	s.changes = append(s.changes, change)
	if len(s.changes) > 2*changesKept {
		s.changes = append([]Change(nil), s.changes[len(s.changes)-changesKept:]...)
	}
}

// skip makes readers from before list the store anew.
func (s *store) skip() {
	s.changes = nil
	s.next++
}

// Relay returns the changes of a store after since, as the store itself would, with the age of this
// gateway's reading. It returns false when the store isn't known or its reading isn't fresh.
func (c *Catalogue) Relay(address string, since int64, now time.Time) (Batch, bool) {
	s := c.find(address)
	if s == nil || !s.fresh(now) {
		return Batch{}, false
	}
	batch := Batch{Epoch: s.epoch, Next: s.next, Age: now.Sub(s.readAt)}
	missed := s.next - since
	if missed < 0 || missed > int64(len(s.changes)) {
		batch.Lost = true
		return batch, true
	}
	batch.Changes = append(batch.Changes, s.changes[int64(len(s.changes))-missed:]...)
	return batch, true
}

// RelayList returns everything that lies whole in a store, as Relay does.
func (c *Catalogue) RelayList(address string, now time.Time) (Batch, bool) {
	s := c.find(address)
	if s == nil || !s.fresh(now) {
		return Batch{}, false
	}
	batch := Batch{Epoch: s.epoch, Next: s.next, Age: now.Sub(s.readAt), Changes: make([]Change, 0, len(s.whole))}
	for key, tokens := range s.whole {
		batch.Changes = append(batch.Changes, Change{Key: key, Tokens: tokens})
	}
	return batch, true
}
