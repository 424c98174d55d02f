package mirror

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const prefix = "op/"

var start = time.Unix(1000, 0)

// TestKeysNeverGoBack applies the store's changes, its listings and the copies of other gateways in random
// order. No key may go back to an earlier revision, and after all changes all copies must equal the store.
func TestKeysNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []metastore.Event
		for i := range rapid.IntRange(1, 30).Draw(t, "writes") {
			record := metastore.Record{Key: fmt.Sprint(prefix, rapid.IntRange(0, 3).Draw(t, "key")), ModRevision: metastore.Revision(i + 1), Era: 1}
			record.Value = []byte(fmt.Sprint(i))
			log = append(log, metastore.Event{Record: record, Deleted: rapid.IntRange(0, 4).Draw(t, "kind") == 0})
		}
		mirrors := []*Mirror{New(nil), New(nil)}
		seen := []map[string]metastore.Revision{{}, {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "mirror")
			m := mirrors[i]
			upTo := rapid.IntRange(0, len(log)).Draw(t, "upTo")
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				m.Apply(prefix, changesAfter(log[:upTo], metastore.Position{Era: 1, Revision: m.AsOf(prefix).Revision}), start)
			case 1:
				m.Replace(prefix, listingOf(log[:upTo]), start)
			default:
				other := mirrors[1-i]
				m.ApplyUpdates(prefix, other.Since(prefix, m.AsOf(prefix)), start)
			}
			for key, e := range m.entries {
				if e.ModRevision < seen[i][key] {
					t.Fatalf("key %q went from revision %d to %d", key, seen[i][key], e.ModRevision)
				}
				seen[i][key] = e.ModRevision
			}
		}
		want := listingOf(log)
		for _, m := range mirrors {
			m.Apply(prefix, changesAfter(log, metastore.Position{Era: 1, Revision: m.AsOf(prefix).Revision}), start)
			got := m.Under(prefix)
			if len(got) != len(want.Records) {
				t.Fatalf("%d keys, want %d", len(got), len(want.Records))
			}
			for _, record := range want.Records {
				if e, ok := m.Get(record.Key); !ok || e.ModRevision != record.ModRevision {
					t.Fatalf("key %q is at %d, want %d", record.Key, e.ModRevision, record.ModRevision)
				}
			}
		}
	})
}

// at returns a position of the first era.
func at(revision metastore.Revision) metastore.Position {
	return metastore.Position{Era: 1, Revision: revision}
}

func changesAfter(log []metastore.Event, from metastore.Position) metastore.Changes {
	changes := metastore.Changes{Position: from}
	for _, event := range log {
		if event.Record.ModRevision > from.Revision {
			changes.Events = append(changes.Events, event)
			changes.Revision = event.Record.ModRevision
		}
	}
	return changes
}

func listingOf(log []metastore.Event) metastore.Listing {
	listing := metastore.Listing{Position: at(0)}
	latest := make(map[string]metastore.Event)
	for _, event := range log {
		latest[event.Record.Key] = event
		listing.Revision = event.Record.ModRevision
	}
	for _, event := range latest {
		if !event.Deleted {
			listing.Records = append(listing.Records, event.Record)
		}
	}
	return listing
}

// A gateway that missed a deletion must not restore the key at a gateway that received the deletion, and must
// get the deletion from it.
func TestDeletionsAreForwarded(t *testing.T) {
	c := qt.New(t)
	upToDate, behind := New(nil), New(nil)
	record := metastore.Record{Key: "op/a", ModRevision: 1, Era: 1}
	for _, m := range []*Mirror{upToDate, behind} {
		m.Apply(prefix, metastore.Changes{Events: []metastore.Event{{Record: record}}, Position: at(1)}, start)
	}
	deletion := metastore.Event{Record: metastore.Record{Key: "op/a", ModRevision: 2, Era: 1}, Deleted: true}
	upToDate.Apply(prefix, metastore.Changes{Events: []metastore.Event{deletion}, Position: at(2)}, start)
	upToDate.ApplyUpdates(prefix, behind.Since(prefix, metastore.Position{}), start)
	_, exists := upToDate.Get("op/a")
	c.Assert(exists, qt.IsFalse)
	changed := behind.ApplyUpdates(prefix, upToDate.Since(prefix, behind.AsOf(prefix)), start)
	c.Assert(changed, qt.DeepEquals, []string{"op/a"})
}

// A gateway never received a deletion because it listed the keys after it. Gateways that update from this one
// must still get the deletion, and an older change from them must not restore the key.
func TestListingForwardsDeletions(t *testing.T) {
	c := qt.New(t)
	behind, listed := New(nil), New(nil)
	record := metastore.Record{Key: "op/a", ModRevision: 3, Era: 1}
	behind.Apply(prefix, metastore.Changes{Events: []metastore.Event{{Record: record}}, Position: at(3)}, start)
	listed.Replace(prefix, metastore.Listing{Position: at(7)}, start)
	behind.ApplyUpdates(prefix, listed.Since(prefix, behind.AsOf(prefix)), start)
	_, exists := behind.Get("op/a")
	c.Assert(exists, qt.IsFalse)
	listed.ApplyUpdates(prefix, Updates{Changes: metastore.Changes{Events: []metastore.Event{{Record: record}}, Position: at(3)}}, start)
	_, exists = listed.Get("op/a")
	c.Assert(exists, qt.IsFalse, qt.Commentf("a gateway that is behind restored the key"))
}

// versionedKey holds a number that its writer never decreases. Its values decide across eras which one is newer.
const versionedKey = prefix + "versioned"

func versionedSupersedes(key string, known []byte, listed *metastore.Record) bool {
	if key != versionedKey {
		return false
	}
	return listed == nil || number(known) > number(listed.Value)
}

func number(value []byte) (n int) {
	_, _ = fmt.Sscan(string(value), &n)
	return n
}

// restorableStore is a store that can come back from a copy.
type restorableStore struct {
	era  metastore.Era
	log  []metastore.Event
	copy []metastore.Event
}

func (s *restorableStore) write(key string, value int, deleted bool) {
	record := metastore.Record{Key: key, Value: []byte(fmt.Sprint(value)), ModRevision: metastore.Revision(len(s.log) + 1), Era: s.era}
	s.log = append(s.log[:len(s.log):len(s.log)], metastore.Event{Record: record, Deleted: deleted})
}

func (s *restorableStore) restore() {
	s.era++
	s.log = append([]metastore.Event(nil), s.copy...)
	for i := range s.log {
		s.log[i].Record.Era = s.era
	}
}

func (s *restorableStore) listing() metastore.Listing {
	listing := listingOf(s.log)
	listing.Position = metastore.Position{Era: s.era, Revision: metastore.Revision(len(s.log))}
	return listing
}

// update brings a mirror up to date as the store itself would: by changes within an era, by a listing across eras.
func (s *restorableStore) update(m *Mirror) {
	if asOf := m.AsOf(prefix); asOf.Era == s.era {
		m.Apply(prefix, changesAfter(s.log, asOf), start)
		return
	}
	m.Replace(prefix, s.listing(), start)
}

// TestErasReplaceEachOther lets a store come back from copies while gateways read it and each other in random order. No
// gateway returns to an earlier era, no value of the versioned key decreases, and when the writers have written
// again all gateways agree with the store.
func TestErasReplaceEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restorableStore{era: 1}
		mirrors := []*Mirror{New(versionedSupersedes), New(versionedSupersedes), New(versionedSupersedes)}
		positions := make([]metastore.Position, len(mirrors))
		versions := make([]int, len(mirrors))
		version := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m := mirrors[i]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				store.write(fmt.Sprint(prefix, rapid.IntRange(0, 2).Draw(t, "key")), step, rapid.Bool().Draw(t, "deleted"))
			case 1:
				version++
				store.write(versionedKey, version, false)
			case 2:
				store.copy = store.log
			case 3:
				if rapid.IntRange(0, 2).Draw(t, "restore") == 0 {
					store.restore()
				}
			case 4, 5:
				store.update(m)
			default:
				other := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "other")]
				m.ApplyUpdates(prefix, other.Since(prefix, m.AsOf(prefix)), start)
			}
			if m.AsOf(prefix).Compare(positions[i]) < 0 {
				t.Fatalf("mirror %d went from %v to %v", i, positions[i], m.AsOf(prefix))
			}
			positions[i] = m.AsOf(prefix)
			if e, ok := m.Get(versionedKey); ok || versions[i] > 0 {
				if number(e.Value) < versions[i] {
					t.Fatalf("mirror %d went from version %d to %d", i, versions[i], number(e.Value))
				}
				versions[i] = number(e.Value)
			}
		}
		store.write(versionedKey, version+1, false)
		for i, m := range mirrors {
			store.update(m)
			want := store.listing()
			if got := m.Under(prefix); len(got) != len(want.Records) {
				t.Fatalf("mirror %d has %d keys, want %d", i, len(got), len(want.Records))
			}
			for _, record := range want.Records {
				if e, ok := m.Get(record.Key); !ok || string(e.Value) != string(record.Value) {
					t.Fatalf("mirror %d has %q at %q, want %q", i, e.Value, record.Key, record.Value)
				}
			}
		}
	})
}

// A registration that was removed may be listed again when the store has come back from an older copy. It is marked.
func TestResurrectedKeysAreMarked(t *testing.T) {
	c := qt.New(t)
	m := New(nil)
	record := metastore.Record{Key: "op/a", ModRevision: 1, Era: 1}
	m.Replace(prefix, metastore.Listing{Position: at(1), Records: []metastore.Record{record}}, start)
	m.Apply(prefix, metastore.Changes{Position: at(5), Events: []metastore.Event{{Record: metastore.Record{Key: "op/a", ModRevision: 5, Era: 1}, Deleted: true}}}, start)
	record.Era = 2
	changed := m.Replace(prefix, metastore.Listing{Position: metastore.Position{Era: 2, Revision: 3}, Records: []metastore.Record{record}}, start)
	c.Assert(changed, qt.DeepEquals, []string{"op/a"})
	e, exists := m.Get("op/a")
	c.Assert(exists && e.Resurrected, qt.IsTrue)
	record.ModRevision = 4
	m.Apply(prefix, metastore.Changes{Position: metastore.Position{Era: 2, Revision: 4}, Events: []metastore.Event{{Record: record}}}, start)
	e, _ = m.Get("op/a")
	c.Assert(e.Resurrected, qt.IsFalse)
}

// A value that is too long to be kept, and passed on, is still a change of its key.
func TestLongValuesAreRecordedAsEmpty(t *testing.T) {
	c := qt.New(t)
	m := New(nil)
	m.LimitValues("p/", 3)
	long := metastore.Record{Key: "p/a", Value: []byte("long"), ModRevision: 2, Era: 1}
	short := metastore.Record{Key: "p/b", Value: []byte("abc"), ModRevision: 3, Era: 1}
	m.Replace("p/", metastore.Listing{Records: []metastore.Record{long, short}, Position: metastore.Position{Era: 1, Revision: 3}}, time.Unix(1, 0))
	values := func() (values []string) {
		for _, e := range m.Under("p/") {
			values = append(values, string(e.Value))
		}
		return values
	}
	c.Assert(values(), qt.DeepEquals, []string{"", "abc"})
	short.Value, short.ModRevision = long.Value, 4
	changed := m.Apply("p/", metastore.Changes{Events: []metastore.Event{{Record: short}}, Position: metastore.Position{Era: 1, Revision: 4}}, time.Unix(2, 0))
	c.Assert(changed, qt.DeepEquals, []string{"p/b"})
	c.Assert(values(), qt.DeepEquals, []string{"", ""})
	long.Era = 2
	m.Replace("p/", metastore.Listing{Records: []metastore.Record{long}, Position: metastore.Position{Era: 2, Revision: 2}}, time.Unix(3, 0))
	c.Assert(values(), qt.DeepEquals, []string{""})
	c.Assert(m.Since("p/", metastore.Position{}).Events[0].Record.Value, qt.HasLen, 0)
}

// Guards against a listing that was under way for long: a key that had been deleted, written and deleted again since the mirror
// learnt of the first deletion came back with it.
func TestOldListingDoesNotBringADeletedKeyBack(t *testing.T) {
	c := qt.New(t)
	log := []metastore.Event{
		{Record: metastore.Record{Key: prefix + "a", ModRevision: 1, Era: 1}, Deleted: true},
		{Record: metastore.Record{Key: prefix + "a", ModRevision: 2, Era: 1}},
		{Record: metastore.Record{Key: prefix + "a", ModRevision: 3, Era: 1}, Deleted: true},
	}
	m := New(nil)
	m.Apply(prefix, changesAfter(log[:1], metastore.Position{Era: 1}), start)
	m.Replace(prefix, listingOf(log), start)
	c.Assert(m.Replace(prefix, listingOf(log[:2]), start), qt.HasLen, 0)
	_, exists := m.Get(prefix + "a")
	c.Assert(exists, qt.IsFalse)
}
