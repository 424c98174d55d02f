// Package mirror keeps a copy of what lies under some prefixes of the metadata store. The store's own
// changes and the copies of other gateways feed it, so that a gateway that the store turns away still
// learns what the others hear. The gateway's control goroutine owns it.
//
// Invariant: a key never goes back to an earlier revision, whoever brings the news.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// tombstoneFor is how long a deleted key is remembered, so that it can be passed on and isn't brought
// back by a gateway that has not heard of it: longer than any outage that a copy is used through.
const tombstoneFor = 2 * time.Minute

// Entry is one key as the mirror knows it.
type Entry struct {
	metastore.Record
	Deleted bool
	// At is when the mirror learnt of it.
	At time.Time
}

// Mirror is the copy. It is not safe for concurrent use.
type Mirror struct {
	entries map[string]Entry
	// asOf is, by prefix, the revision up to which all changes are known.
	asOf map[string]metastore.Revision
	// floor is, by prefix, the revision from which on all deletions are remembered.
	floor map[string]metastore.Revision
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{entries: make(map[string]Entry), asOf: make(map[string]metastore.Revision), floor: make(map[string]metastore.Revision)}
}

// AsOf returns the revision up to which all changes under prefix are known; 0 before the first listing.
func (m *Mirror) AsOf(prefix string) metastore.Revision { return m.asOf[prefix] }

// Get returns the key's value, and whether it exists.
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

// News is what one gateway passes on to another: the changes after a revision or, when deletions from
// before may be forgotten, everything.
type News struct {
	metastore.Changes
	// Whole tells that Changes hold everything that exists.
	Whole bool
}

// Since returns what a gateway needs that knows all changes under prefix up to a revision.
func (m *Mirror) Since(prefix string, from metastore.Revision) News {
	news := News{Changes: metastore.Changes{Revision: m.asOf[prefix]}, Whole: from < m.floor[prefix]}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) && (e.ModRevision > from || news.Whole && !e.Deleted) {
			news.Events = append(news.Events, metastore.Event{Record: e.Record, Deleted: e.Deleted})
		}
	}
	slices.SortFunc(news.Events, func(a, b metastore.Event) int {
		return cmp.Compare(a.Record.ModRevision, b.Record.ModRevision)
	})
	return news
}

// Take applies another gateway's news and returns the keys that changed.
func (m *Mirror) Take(prefix string, news News, now time.Time) []string {
	if !news.Whole {
		return m.Apply(prefix, news.Changes, now)
	}
	listing := metastore.Listing{Revision: news.Revision}
	for _, event := range news.Events {
		if !event.Deleted {
			listing.Records = append(listing.Records, event.Record)
		}
	}
	return m.Replace(prefix, listing, now)
}

// Apply takes changes up to a revision and returns the keys that changed.
func (m *Mirror) Apply(prefix string, changes metastore.Changes, now time.Time) []string {
	var changed []string
	for _, event := range changes.Events {
		if m.put(prefix, event, now) {
			changed = append(changed, event.Record.Key)
		}
	}
	m.asOf[prefix] = max(m.asOf[prefix], changes.Revision)
	m.prune(prefix, now)
	return changed
}

// Replace takes a listing of everything under prefix and returns the keys that changed. Keys that the
// listing lacks are gone, unless they were written after it.
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
		gone := metastore.Event{Record: metastore.Record{Key: key, ModRevision: listing.Revision}, Deleted: true}
		if m.put(prefix, gone, now) {
			changed = append(changed, key)
		}
	}
	m.asOf[prefix] = max(m.asOf[prefix], listing.Revision)
	m.floor[prefix] = max(m.floor[prefix], listing.Revision)
	return changed
}

// put takes one change if it is newer than what is known. A key that isn't known though all changes up to
// its revision are was deleted before this mirror began.
func (m *Mirror) put(prefix string, event metastore.Event, now time.Time) bool {
	known, ok := m.entries[event.Record.Key]
	if !ok && event.Record.ModRevision <= m.asOf[prefix] {
		return false
	}
	if ok && known.ModRevision >= event.Record.ModRevision {
		return false
	}
	m.entries[event.Record.Key] = Entry{Record: event.Record, Deleted: event.Deleted, At: now}
	return true
}

// prune forgets old deletions.
func (m *Mirror) prune(prefix string, now time.Time) {
	for key, e := range m.entries {
		if e.Deleted && now.Sub(e.At) > tombstoneFor && strings.HasPrefix(key, prefix) {
			m.floor[prefix] = max(m.floor[prefix], e.ModRevision)
			delete(m.entries, key)
		}
	}
}
