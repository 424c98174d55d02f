// Package mirror keeps a copy of the keys under some prefixes of the metadata store. It is updated from the
// store's own changes and from the copies of other gateways, so that a gateway whose calls the store refuses
// still gets the changes that others receive. The gateway's control goroutine owns it.
//
// Invariant: no update from any source returns a key to an earlier position. The first listing of a later era replaces
// all keys of the earlier one, apart from those whose values supersede the listed ones: the store has lost them, and
// their writers will write them again.
package mirror

import (
	"bytes"
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
	// Resurrected is set when the key had been deleted in an earlier era, and the record may be the one from before
	// the deletion.
	Resurrected bool
	// Unlisted is set on a deletion when nothing shows that the key was deleted: it existed in an earlier era, and the first listing
	// of the present one doesn't have it.
	Unlisted bool
}

// Supersedes reports whether the value known of a key from an earlier era is newer than the listed one by what the
// values themselves say. A nil listed means that the key isn't listed.
type Supersedes func(key string, known []byte, listed *metastore.Record) bool

// Mirror is a copy of the keys under some prefixes. It is not safe for concurrent use.
type Mirror struct {
	entries map[string]Entry
	// asOf is, by prefix, the position up to which all changes are recorded.
	asOf map[string]metastore.Position
	// deletionsFrom is, by prefix, the revision of the era of asOf from which on all deletions are kept.
	deletionsFrom map[string]metastore.Revision
	// maxValueBytes bounds the values that are kept, by prefix.
	maxValueBytes map[string]int
	// limited reports whether the value of a key is bounded by limitedBytes; nil for none.
	limited      func(key string) bool
	limitedBytes int
	supersedes   Supersedes
}

// New returns an empty Mirror. A nil supersedes means that no value outlives its era.
func New(supersedes Supersedes) *Mirror {
	if supersedes == nil {
		supersedes = func(string, []byte, *metastore.Record) bool { return false }
	}
	return &Mirror{
		entries: make(map[string]Entry), asOf: make(map[string]metastore.Position),
		deletionsFrom: make(map[string]metastore.Revision), maxValueBytes: make(map[string]int), supersedes: supersedes,
	}
}

// LimitValues bounds the values that are kept under prefix. A longer value is recorded as an empty one.
func (m *Mirror) LimitValues(prefix string, maxBytes int) { m.maxValueBytes[prefix] = maxBytes }

// LimitValuesOf bounds the values of the keys that match. A longer value is recorded as an empty one.
func (m *Mirror) LimitValuesOf(match func(key string) bool, maxBytes int) {
	m.limited, m.limitedBytes = match, maxBytes
}

// kept returns the part of a record under prefix that is recorded.
func (m *Mirror) kept(prefix string, record metastore.Record) metastore.Record {
	if limit, ok := m.maxValueBytes[prefix]; ok && len(record.Value) > limit {
		record.Value = nil
	}
	if m.limited != nil && len(record.Value) > m.limitedBytes && m.limited(record.Key) {
		record.Value = nil
	}
	return record
}

// AsOf returns the position up to which all changes under prefix are recorded; the zero value before the first listing.
func (m *Mirror) AsOf(prefix string) metastore.Position { return m.asOf[prefix] }

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

// Since returns the updates for a gateway that has all changes under prefix up to from. Entries of earlier eras are
// always included.
func (m *Mirror) Since(prefix string, from metastore.Position) Updates {
	asOf := m.asOf[prefix]
	updates := Updates{
		Changes:  metastore.Changes{Position: asOf},
		Complete: from.Era != asOf.Era || from.Revision < m.deletionsFrom[prefix],
	}
	for key, e := range m.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		newer := e.Era < asOf.Era || e.ModRevision > from.Revision
		if updates.Complete && !e.Deleted || !updates.Complete && newer {
			updates.Events = append(updates.Events, metastore.Event{Record: e.Record, Deleted: e.Deleted})
		}
	}
	slices.SortFunc(updates.Events, func(a, b metastore.Event) int {
		return a.Record.Modified().Compare(b.Record.Modified())
	})
	return updates
}

// ApplyUpdates applies the updates of another gateway and returns the keys that changed.
func (m *Mirror) ApplyUpdates(prefix string, updates Updates, now time.Time) []string {
	if !updates.Complete {
		return m.Apply(prefix, updates.Changes, now)
	}
	listing := metastore.Listing{Position: updates.Position}
	for _, event := range updates.Events {
		if !event.Deleted {
			listing.Records = append(listing.Records, event.Record)
		}
	}
	return m.Replace(prefix, listing, now)
}

// Apply applies all changes up to a position and returns the keys that changed. Changes of another era than that of
// the prefix are ignored: only a listing starts an era.
func (m *Mirror) Apply(prefix string, changes metastore.Changes, now time.Time) []string {
	if asOf := m.asOf[prefix]; asOf != (metastore.Position{}) && changes.Era != asOf.Era {
		return nil
	}
	var changed []string
	for _, event := range changes.Events {
		if m.put(prefix, event, now) {
			changed = append(changed, event.Record.Key)
		}
	}
	m.advance(prefix, changes.Position)
	m.removeOldTombstones(prefix, now)
	return changed
}

// Replace applies a listing of all keys under prefix and returns the keys that changed. Keys that are not in
// the listing are recorded as deleted, unless they were written after it. A listing of an earlier era is ignored.
func (m *Mirror) Replace(prefix string, listing metastore.Listing, now time.Time) []string {
	known := m.asOf[prefix].Era
	switch {
	case listing.Era < known:
		return nil
	case listing.Era > known && known > 0:
		return m.startEra(prefix, listing, now)
	}
	var changed []string
	listed := make(map[string]bool, len(listing.Records))
	for _, record := range listing.Records {
		listed[record.Key] = true
		if m.put(prefix, metastore.Event{Record: record}, now) {
			changed = append(changed, record.Key)
		}
	}
	for key, e := range m.entries {
		if e.Deleted || listed[key] || !strings.HasPrefix(key, prefix) || e.Modified().Compare(listing.Position) > 0 {
			continue
		}
		if e.Era < listing.Era && m.supersedes(key, e.Value, nil) {
			continue
		}
		deletion := metastore.Event{Record: metastore.Record{Key: key, ModRevision: listing.Revision, Era: listing.Era}, Deleted: true}
		if m.put(prefix, deletion, now) {
			changed = append(changed, key)
		}
	}
	m.advance(prefix, listing.Position)
	m.deletionsFrom[prefix] = max(m.deletionsFrom[prefix], listing.Revision)
	return changed
}

// startEra applies the first listing of a later era and returns the keys whose values changed. A known value that
// supersedes the listed one is kept with its earlier position.
func (m *Mirror) startEra(prefix string, listing metastore.Listing, now time.Time) []string {
	var changed []string
	listed := make(map[string]bool, len(listing.Records))
	for i := range listing.Records {
		record := m.kept(prefix, listing.Records[i])
		listed[record.Key] = true
		known, ok := m.entries[record.Key]
		if ok && !known.Deleted && m.supersedes(record.Key, known.Value, &record) {
			continue
		}
		m.entries[record.Key] = Entry{
			Record: record, RecordedAt: now,
			Resurrected: ok && known.Deleted && record.ModRevision < known.ModRevision,
		}
		if !ok || known.Deleted || !bytes.Equal(known.Value, record.Value) {
			changed = append(changed, record.Key)
		}
	}
	for key, known := range m.entries {
		if listed[key] || !strings.HasPrefix(key, prefix) {
			continue
		}
		if known.Deleted {
			delete(m.entries, key)
			continue
		}
		if m.supersedes(key, known.Value, nil) {
			continue
		}
		deleted := metastore.Record{Key: key, ModRevision: listing.Revision, Era: listing.Era}
		m.entries[key] = Entry{Record: deleted, Deleted: true, RecordedAt: now, Unlisted: true}
		changed = append(changed, key)
	}
	m.asOf[prefix] = listing.Position
	m.deletionsFrom[prefix] = listing.Revision
	return changed
}

// advance records that all changes up to a position are recorded.
func (m *Mirror) advance(prefix string, to metastore.Position) {
	if to.Compare(m.asOf[prefix]) > 0 {
		m.asOf[prefix] = to
	}
}

// put records one change if it is newer than the recorded state of its key, and reports whether it did. A change is ignored
// when all changes up to its revision are recorded: if its key has no entry or an earlier deletion, the key has been deleted
// since, as a listing without it showed. Across eras the values decide which one is newer.
func (m *Mirror) put(prefix string, event metastore.Event, now time.Time) bool {
	record := m.kept(prefix, event.Record)
	recorded, ok := m.entries[record.Key]
	switch {
	case record.Era == m.asOf[prefix].Era && record.ModRevision <= m.asOf[prefix].Revision:
		return false
	case !ok:
	case record.Era == recorded.Era && recorded.ModRevision >= record.ModRevision:
		return false
	case record.Era < recorded.Era && (recorded.Deleted || event.Deleted || !m.supersedes(record.Key, record.Value, &recorded.Record)):
		return false
	case record.Era > recorded.Era && !recorded.Deleted && !event.Deleted && m.supersedes(record.Key, recorded.Value, &record):
		return false
	}
	m.entries[record.Key] = Entry{
		Record: record, Deleted: event.Deleted, RecordedAt: now,
		// Another gateway that has no entry of the earlier era reports the same absence as a deletion.
		Unlisted: event.Deleted && recorded.Unlisted,
	}
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
