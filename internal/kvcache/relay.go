package kvcache

import "time"

// maxChanges is the number of changes of a store that are kept for other gateways: a few seconds' worth at a
// peak.
const maxChanges = 2048

// SetFirstChange sets the first change number. It is called once, before the first reading, with a number that no
// earlier run of this gateway has reached.
func (c *Catalogue) SetFirstChange(first int64) { c.firstChange = first }

func (s *store) recordChange(change Change) {
	s.next++
	s.changes = append(s.changes, change)
	if len(s.changes) > 2*maxChanges {
		s.changes = append([]Change(nil), s.changes[len(s.changes)-maxChanges:]...)
	}
}

// forceRelist drops the kept changes and skips a number, so that gateways which read through this one must list
// the store again.
func (s *store) forceRelist() {
	s.changes = nil
	s.next++
}

// Relay returns the changes of a store after number since, as the store itself would, with the age of this
// gateway's reading. It returns false when the store is unknown or its reading isn't fresh.
func (c *Catalogue) Relay(address string, since int64, now time.Time) (Batch, bool) {
	s := c.find(address)
	if s == nil || !s.fresh(now) {
		return Batch{}, false
	}
	batch := Batch{Epoch: s.epoch, Next: s.next, Position: s.position, Age: now.Sub(s.readAt)}
	newerChanges := s.next - since
	if newerChanges < 0 || newerChanges > int64(len(s.changes)) {
		batch.Lost = true
		return batch, true
	}
	batch.Changes = append(batch.Changes, s.changes[int64(len(s.changes))-newerChanges:]...)
	return batch, true
}

// RelayList returns all complete parts of a store, with the same age and conditions as Relay.
func (c *Catalogue) RelayList(address string, now time.Time) (Batch, bool) {
	s := c.find(address)
	if s == nil || !s.fresh(now) {
		return Batch{}, false
	}
	batch := Batch{
		Epoch: s.epoch, Next: s.next, Position: s.position, Age: now.Sub(s.readAt), Changes: make([]Change, 0, len(s.complete)),
	}
	for key, part := range s.complete {
		batch.Changes = append(batch.Changes, Change{Key: key, Tokens: part.tokens})
	}
	return batch, true
}
