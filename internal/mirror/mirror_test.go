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
			record := metastore.Record{Key: fmt.Sprint(prefix, rapid.IntRange(0, 3).Draw(t, "key")), ModRevision: metastore.Revision(i + 1)}
			record.Value = []byte(fmt.Sprint(i))
			log = append(log, metastore.Event{Record: record, Deleted: rapid.IntRange(0, 4).Draw(t, "kind") == 0})
		}
		mirrors := []*Mirror{New(), New()}
		seen := []map[string]metastore.Revision{{}, {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "mirror")
			m := mirrors[i]
			upTo := rapid.IntRange(0, len(log)).Draw(t, "upTo")
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				m.Apply(prefix, changesAfter(log[:upTo], m.AsOf(prefix)), start)
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
			m.Apply(prefix, changesAfter(log, m.AsOf(prefix)), start)
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

func changesAfter(log []metastore.Event, from metastore.Revision) metastore.Changes {
	changes := metastore.Changes{Revision: from}
	for _, event := range log {
		if event.Record.ModRevision > from {
			changes.Events = append(changes.Events, event)
			changes.Revision = event.Record.ModRevision
		}
	}
	return changes
}

func listingOf(log []metastore.Event) metastore.Listing {
	listing := metastore.Listing{}
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
	upToDate, behind := New(), New()
	record := metastore.Record{Key: "op/a", ModRevision: 1}
	for _, m := range []*Mirror{upToDate, behind} {
		m.Apply(prefix, metastore.Changes{Events: []metastore.Event{{Record: record}}, Revision: 1}, start)
	}
	deletion := metastore.Event{Record: metastore.Record{Key: "op/a", ModRevision: 2}, Deleted: true}
	upToDate.Apply(prefix, metastore.Changes{Events: []metastore.Event{deletion}, Revision: 2}, start)
	upToDate.ApplyUpdates(prefix, behind.Since(prefix, 0), start)
	_, exists := upToDate.Get("op/a")
	c.Assert(exists, qt.IsFalse)
	changed := behind.ApplyUpdates(prefix, upToDate.Since(prefix, behind.AsOf(prefix)), start)
	c.Assert(changed, qt.DeepEquals, []string{"op/a"})
}

// A gateway never received a deletion because it listed the keys after it. Gateways that update from this one
// must still get the deletion, and an older change from them must not restore the key.
func TestListingForwardsDeletions(t *testing.T) {
	c := qt.New(t)
	behind, listed := New(), New()
	record := metastore.Record{Key: "op/a", ModRevision: 3}
	behind.Apply(prefix, metastore.Changes{Events: []metastore.Event{{Record: record}}, Revision: 3}, start)
	listed.Replace(prefix, metastore.Listing{Revision: 7}, start)
	behind.ApplyUpdates(prefix, listed.Since(prefix, behind.AsOf(prefix)), start)
	_, exists := behind.Get("op/a")
	c.Assert(exists, qt.IsFalse)
	listed.ApplyUpdates(prefix, Updates{Changes: metastore.Changes{Events: []metastore.Event{{Record: record}}, Revision: 3}}, start)
	_, exists = listed.Get("op/a")
	c.Assert(exists, qt.IsFalse, qt.Commentf("a gateway that is behind restored the key"))
}
