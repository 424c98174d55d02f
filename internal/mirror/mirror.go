// Package mirror keeps a copy of the keys under some prefixes of the metadata store. It is updated from the
// store's own changes and from the copies of other gateways, so that a gateway whose calls the store refuses
// still gets the changes that others receive. The gateway's control goroutine owns it.
//
// Invariant: no update from any source returns a key to an earlier revision.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// tombstoneTTL is how long the deletion of a key is kept, so that it can be forwarded and a gateway that has
// not received it does not restore the key. It is longer than any outage during which a copy is used.
const tombstoneTTL = 2 * time.Minute

// Entry is the last known state of one key.
type Entry struct {
	metastore.Record
	Deleted bool
	// RecordedAt is when the mirror recorded this state.
	RecordedAt time.Time
}

// Mirror is a copy of the keys under some prefixes. It is not safe for concurrent use.
type Mirror struct {
	entries map[string]Entry
	// asOf is, by prefix, the revision up to which all changes are recorded.
	asOf map[string]metastore.Revision
	// deletionsFrom is, by prefix, the revision from which on all deletions are kept.
	deletionsFrom map[string]metastore.Revision
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{entries: make(map[string]Entry), asOf: make(map[string]metastore.Revision), deletionsFrom: make(map[string]metastore.Revision)}
}

// AsOf returns the revision up to which all changes under prefix are recorded; 0 before the first listing.
func (m *Mirror) AsOf(prefix string) metastore.Revision { return m.asOf[prefix] }

// Get returns the entry of a key, and whether the key exists.
func (m *Mirror) Get(key string) (Entry, bool) {
	e, ok := m.entries[key]
	return e, ok && !e.Deleted
}

// Under returns the existing entries under prefix, in key order.
func (m *Mirror) Under(prefix string) []Entry {
	var found []Entry
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if e := m.entries[key]; strings.HasPrefix(key, prefix) && !e.Deleted {
			found = append(found, e)
		}
	}
	return found
}

// Updates are the updates that one gateway sends to another: the changes after a revision or, when deletions
// after that revision may no longer be kept, all existing keys.
type Updates struct {
	metastore.Changes
	// Complete reports whether Changes contain all existing keys.
	Complete bool
}

// Since returns the updates for a gateway that has all changes under prefix up to the revision from.
func (m *Mirror) Since(prefix string, from metastore.Revision) Updates {
	updates := Updates{Changes: metastore.Changes{Revision: m.asOf[prefix]}, Complete: from < m.deletionsFrom[prefix]}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) && (e.ModRevision > from || updates.Complete && !e.Deleted) {
			updates.Events = append(updates.Events, metastore.Event{Record: e.Record, Deleted: e.Deleted})
		}
	}
	slices.SortFunc(updates.Events, func(a, b metastore.Event) int {
		return cmp.Compare(a.Record.ModRevision, b.Record.ModRevision)
	})
	return updates
}

// ApplyUpdates applies the updates of another gateway and returns the keys that changed.
func (m *Mirror) ApplyUpdates(prefix string, updates Updates, now time.Time) []string {
	if !updates.Complete {
		return m.Apply(prefix, updates.Changes, now)
	}
	listing := metastore.Listing{Revision: updates.Revision}
	for _, event := range updates.Events {
		if !event.Deleted {
			listing.Records = append(listing.Records, event.Record)
		}
	}
	return m.Replace(prefix, listing, now)
}

// Apply applies all changes up to a revision and returns the keys that changed.
func (m *Mirror) Apply(prefix string, changes metastore.Changes, now time.Time) []string {
	var changed []string
	for _, event := range changes.Events {
		if m.put(prefix, event, now) {
			changed = append(changed, event.Record.Key)
		}
	}
	m.asOf[prefix] = max(m.asOf[prefix], changes.Revision)
	m.removeOldTombstones(prefix, now)
	return changed
}

// Replace applies a listing of all keys under prefix and returns the keys that changed. Keys that are not in
// the listing are recorded as deleted, unless they were written after it.
func (m *Mirror) Replace(prefix string, listing metastore.Listing, now time.Time) []string {
	var changed []string
	listed := make(map[string]bool, len(listing.Records))
	for _, record := range listing.Records {
		listed[record.Key] = true
		if m.put(prefix, metastore.Event{Record: record}, now) {
			changed = append(changed, record.Key)
		}
	}
	for key, e := range m.entries {
		if e.Deleted || listed[key] || !strings.HasPrefix(key, prefix) || e.ModRevision > listing.Revision {
			continue
		}
		deletion := metastore.Event{Record: metastore.Record{Key: key, ModRevision: listing.Revision}, Deleted: true}
		if m.put(prefix, deletion, now) {
			changed = append(changed, key)
		}
	}
	m.asOf[prefix] = max(m.asOf[prefix], listing.Revision)
	m.deletionsFrom[prefix] = max(m.deletionsFrom[prefix], listing.Revision)
	return changed
}

// put records one change if it is newer than the recorded state of its key, and reports whether it did. When
// all changes up to the revision of the change are recorded but its key has no entry, the key was deleted,
// before the first listing or so long ago that the deletion is no longer kept, and the change is ignored.
func (m *Mirror) put(prefix string, event metastore.Event, now time.Time) bool {
	recorded, ok := m.entries[event.Record.Key]
	if !ok && event.Record.ModRevision <= m.asOf[prefix] {
		return false
	}
	if ok && recorded.ModRevision >= event.Record.ModRevision {
		return false
	}
	m.entries[event.Record.Key] = Entry{Record: event.Record, Deleted: event.Deleted, RecordedAt: now}
	return true
}

// removeOldTombstones removes the deletions under prefix that are older than tombstoneTTL.
func (m *Mirror) removeOldTombstones(prefix string, now time.Time) {
	for key, e := range m.entries {
		if e.Deleted && now.Sub(e.RecordedAt) > tombstoneTTL && strings.HasPrefix(key, prefix) {
			m.deletionsFrom[prefix] = max(m.deletionsFrom[prefix], e.ModRevision)
			delete(m.entries, key)
		}
	}
}
