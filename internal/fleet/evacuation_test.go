package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/mirror"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// newEvacuationStore returns a store with a configuration and one server in each of the domains x and y.
func newEvacuationStore(c *qt.C) *memkv.Store {
	store := memkv.New()
	c.Cleanup(store.Close)
	put(c, store, "op/config", "1")
	put(c, store, "servers/sx", "127.0.0.1:1 x")
	put(c, store, "servers/sy", "127.0.0.1:2 y")
	return store
}

func online(store *memkv.Store) *switchableStore {
	return &switchableStore{store, make(chan struct{})}
}

func remove(c *qt.C, store *memkv.Store, key string) {
	record, err := store.Get(context.Background(), key)
	c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(context.Background(), metastore.Swap{Key: key, Expect: record.ModRevision, Delete: true})
	c.Assert(err, qt.IsNil)
}

// used returns the domains to which a gateway sends requests, and the latest reason for a refusal.
func used(f *Fleet) (domains string, reason dispatch.Reason) {
	seen := make(map[string]bool)
	for range 20 {
		p, refusal := f.Place(context.Background(), &dispatch.Request{Service: "app", TargetLatency: time.Second}, nil)
		if refusal != nil {
			reason = refusal.Reason
			continue
		}
		f.RecordEnd(p, dispatch.Served, true, quarantine.Request{})
		seen[p.FailureDomain] = true
	}
	for _, domain := range []string{"x", "y"} {
		if seen[domain] {
			domains += domain
		}
	}
	return domains, reason
}

func uses(f *Fleet, want string) func() bool {
	return func() bool {
		domains, _ := used(f)
		return domains == want
	}
}

// evacuated returns the evacuated domains that a gateway knows.
func evacuated(f *Fleet) (domains []string) {
	f.loop.Call(func() { domains = f.evacuations.domains() })
	return domains
}

// An evacuation begins with its key, whatever its value, covers all domains if it must, and ends with the key's removal. A
// gateway that the store refuses learns all of it from others.
func TestEvacuationFollowsItsKey(t *testing.T) {
	c := qt.New(t)
	store := newEvacuationStore(c)
	refused := online(store)
	a, b := startFleet(c, "a", online(store)), startFleet(c, "b", refused)
	both := func(description, want string) {
		c.Helper()
		at := time.Now()
		eventually(c, "a "+description, uses(a, want))
		eventually(c, "b "+description, uses(b, want))
		c.Check(time.Since(at) < 2*time.Second, qt.IsTrue, qt.Commentf("%s took %s", description, time.Since(at)))
	}
	both("uses both domains", "xy")
	awaitPeers(c, a, b)
	close(refused.offline)
	put(c, store, "op/evacuate/x", "{}")
	both("evacuates x", "y")
	remove(c, store, "op/evacuate/x")
	both("uses x again", "xy")
	put(c, store, "op/evacuate/x", strings.Repeat("x", 1<<20))
	both("evacuates x again", "y")
	put(c, store, "op/evacuate/y", "")
	both("evacuates all", "")
	_, reason := used(b)
	c.Assert(reason, qt.Equals, dispatch.Evacuated)
	put(c, store, "op/evacuate/nowhere", "{}")
	eventually(c, "b keeps a domain without servers", func() bool { return len(evacuated(b)) == 3 })
	c.Assert(b.State().Evacuated[0].FailureDomain, qt.Equals, "nowhere")
	entry, _ := mirrorEntry(b, "op/evacuate/x")
	c.Assert(entry.Value, qt.HasLen, 0, qt.Commentf("huge values aren't kept"))
	for _, f := range []*Fleet{a, b} {
		f.loop.Call(func() {
			c.Check(f.unreadable, qt.DeepEquals, map[string]bool{"op/evacuate/x": true, "op/evacuate/y": true})
		})
	}
	remove(c, store, "op/evacuate/y")
	both("uses y again", "y")
}

// Guards against an unreadable value that is never reported again after the first time, although it could be read in between.
func TestUnreadableEvacuationIsReportedAgainAfterAReadableOne(t *testing.T) {
	c := qt.New(t)
	store := newEvacuationStore(c)
	f := startFleet(c, "a", online(store))
	const key = "op/evacuate/x"
	for i, value := range []string{"", "{}", "?", "{}"} {
		put(c, store, key, value)
		eventually(c, fmt.Sprintf("value %d is applied", i), func() bool {
			reported := false
			f.loop.Call(func() { reported = f.unreadable[key] })
			entry, exists := mirrorEntry(f, key)
			return exists && string(entry.Value) == value && reported == (value != "{}")
		})
	}
}

func mirrorEntry(f *Fleet, key string) (entry mirror.Entry, exists bool) {
	f.loop.Call(func() { entry, exists = f.mirror.Get(key) })
	return entry, exists
}

// A gateway that starts in the middle of an evacuation, from the store or from a seed, never sends to the domain: it has the
// configuration and the evacuation from the same listing.
func TestGatewayThatStartsDuringEvacuationSendsNothingThere(t *testing.T) {
	c := qt.New(t)
	store := newEvacuationStore(c)
	put(c, store, "op/evacuate/x", "{}")
	a := startFleet(c, "a", online(store))
	eventually(c, "a has the configuration", func() bool { return a.version() == 1 })
	refused := online(store)
	close(refused.offline)
	for _, f := range []*Fleet{a, startFleet(c, "b", online(store)), startFleet(c, "c", refused, a.Self.GetControlAddress())} {
		eventually(c, "it serves from y", func() bool {
			domains, _ := used(f)
			c.Assert(strings.Contains(domains, "x"), qt.IsFalse, qt.Commentf("gateway %s sent to %s", f.Self.GetInstance(), domains))
			return domains == "y"
		})
	}
}

// History that the store has forgotten is replaced by a listing, in which a removed evacuation is missing and a new one is found.
func TestEvacuationsAfterForgottenHistory(t *testing.T) {
	c := qt.New(t)
	store := newEvacuationStore(c)
	put(c, store, "op/evacuate/x", "{}")
	f := startFleetOn(c, "a", store)
	eventually(c, "x is evacuated", uses(f, "y"))
	store.SetFaults(memkv.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	store.SetFaults(memkv.Faults{})
	remove(c, store, "op/evacuate/x")
	put(c, store, "op/evacuate/y", "{}")
	store.Compact()
	eventually(c, "only y is evacuated", uses(f, "x"))
}

// The store comes back from a copy without the evacuation. It stays in force for some seconds, in which the operator writes it
// again, and lapses otherwise; keeping the key for ever would make the servers unreachable.
func TestEvacuationThatTheStoreLost(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := newEvacuationStore(c)
			early := store.Copy()
			put(c, store, "op/evacuate/x", "{}")
			fleets := []*Fleet{startFleet(c, "a", online(store)), startFleet(c, "b", online(store))}
			for _, f := range fleets {
				eventually(c, "x is evacuated", uses(f, "y"))
			}
			store.Restore(early)
			restoredAt := time.Now()
			for time.Since(restoredAt) < unlistedEvacuationTTL-500*time.Millisecond {
				for _, f := range fleets {
					c.Assert(uses(f, "y")(), qt.IsTrue, qt.Commentf("%s after the restore", time.Since(restoredAt)))
				}
				time.Sleep(20 * time.Millisecond)
				if again && time.Since(restoredAt) > 3*time.Second {
					put(c, store, "op/evacuate/x", "{}")
					again = false
				}
			}
			want := "xy"
			if name == "written again" {
				want = "y"
				time.Sleep(unlistedEvacuationTTL)
			}
			for _, f := range fleets {
				eventually(c, "the evacuation is what the operator wants", uses(f, want))
			}
			if want == "y" {
				remove(c, store, "op/evacuate/x")
			}
			for _, f := range fleets {
				eventually(c, "x is used", uses(f, "xy"))
			}
			c.Assert(time.Since(restoredAt) < 3*unlistedEvacuationTTL, qt.IsTrue)
		})
	}
}

// An evacuation that had been withdrawn and is listed again after the store came back from a copy counts until it is removed again.
func TestWithdrawnEvacuationThatTheStoreListsAgain(t *testing.T) {
	c := qt.New(t)
	store := newEvacuationStore(c)
	put(c, store, "op/evacuate/x", "{}")
	early := store.Copy()
	f := startFleet(c, "a", online(store))
	eventually(c, "x is evacuated", uses(f, "y"))
	remove(c, store, "op/evacuate/x")
	eventually(c, "x is used", uses(f, "xy"))
	store.Restore(early)
	eventually(c, "x is evacuated again", uses(f, "y"))
	time.Sleep(time.Second)
	c.Assert(uses(f, "y")(), qt.IsTrue)
	remove(c, store, "op/evacuate/x")
	eventually(c, "x is used again", uses(f, "xy"))
}

// newIdleFleet returns a Fleet whose control goroutine doesn't run, so that the test may use its state.
func newIdleFleet(c *qt.C) *Fleet {
	return New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), Counters: NewCounters(tally.NoopScope)})
}

func evacuationEvent(domain string, era metastore.Era, revision metastore.Revision, deleted bool) metastore.Event {
	return metastore.Event{Record: metastore.Record{Key: "op/evacuate/" + domain, Value: []byte("{}"), Era: era, ModRevision: revision}, Deleted: deleted}
}

// applyAt applies operator changes of another gateway.
func applyAt(f *Fleet, updates mirror.Updates, now time.Time) {
	f.applyOperatorChanges(f.applyUpdates("op/", updates, now), "peer", now)
}

func listing(era metastore.Era, revision metastore.Revision, events ...metastore.Event) mirror.Updates {
	return mirror.Updates{Complete: true, Changes: metastore.Changes{Position: metastore.Position{Era: era, Revision: revision}, Events: events}}
}

func changes(era metastore.Era, revision metastore.Revision, events ...metastore.Event) mirror.Updates {
	updates := listing(era, revision, events...)
	updates.Complete = false
	return updates
}

// A listing by pages has the position of its first page. What changes between the pages, in the first listing of all or of an era,
// must neither be lost nor count twice.
func TestEvacuationsThatChangeBetweenThePagesOfAListing(t *testing.T) {
	c := qt.New(t)
	f := newIdleFleet(c)
	now := bootclock.Now()
	for _, era := range []metastore.Era{1, 2} {
		// x is removed after its page, y written before its page and removed later, z removed before its page and written after it.
		applyAt(f, listing(era, 5, evacuationEvent("x", era, 3, false), evacuationEvent("y", era, 7, false)), now)
		c.Assert(f.IsEvacuated("x") && f.IsEvacuated("y"), qt.IsTrue)
		applyAt(f, changes(era, 10, evacuationEvent("x", era, 6, true), evacuationEvent("y", era, 7, false), evacuationEvent("z", era, 8, true),
			evacuationEvent("z", era, 9, false)), now)
		c.Assert(f.evacuations.domains(), qt.DeepEquals, []string{"y", "z"})
		applyAt(f, changes(era, 11, evacuationEvent("y", era, 11, true)), now)
		c.Assert(f.evacuations.domains(), qt.DeepEquals, []string{"z"})
	}
}

// A delayed listing or an update of a gateway that is behind must not end or begin an evacuation. A gateway that never knew the
// lost evacuation reports its absence as a deletion, which must not end it before its time.
func TestEvacuationsNeverGoBack(t *testing.T) {
	c := qt.New(t)
	f := newIdleFleet(c)
	now := bootclock.Now()
	apply := func(updates mirror.Updates) { applyAt(f, updates, now) }
	apply(listing(1, 5, evacuationEvent("x", 1, 3, false)))
	c.Assert(f.evacuations.domains(), qt.DeepEquals, []string{"x"})
	apply(changes(1, 9, evacuationEvent("x", 1, 7, true), evacuationEvent("x", 1, 8, false), evacuationEvent("y", 1, 9, false)))
	apply(listing(1, 6))
	apply(changes(1, 7, evacuationEvent("x", 1, 7, true)))
	c.Assert(f.evacuations.domains(), qt.DeepEquals, []string{"x", "y"})
	apply(changes(1, 10, evacuationEvent("y", 1, 10, true)))
	apply(listing(1, 9, evacuationEvent("x", 1, 8, false), evacuationEvent("y", 1, 9, false)))
	c.Assert(f.evacuations.domains(), qt.DeepEquals, []string{"x"})

	apply(listing(2, 2))
	apply(listing(1, 20, evacuationEvent("x", 1, 8, false), evacuationEvent("y", 1, 9, false)))
	apply(changes(2, 4, evacuationEvent("x", 2, 3, true)))
	f.lapseEvacuations(now.Add(unlistedEvacuationTTL - 1))
	c.Assert(f.evacuations.domains(), qt.DeepEquals, []string{"x"})
	c.Assert(f.IsEvacuated("x"), qt.IsTrue)
	f.lapseEvacuations(now.Add(unlistedEvacuationTTL))
	c.Assert(f.evacuations.domains(), qt.HasLen, 0)
	c.Assert(f.IsEvacuated("x"), qt.IsFalse)
	apply(changes(2, 6, evacuationEvent("x", 2, 5, false)))
	c.Assert(f.IsEvacuated("x"), qt.IsTrue)
	f.lapseEvacuations(now.Add(time.Hour))
	c.Assert(f.IsEvacuated("x"), qt.IsTrue)
	apply(changes(2, 7, evacuationEvent("x", 2, 7, true)))
	c.Assert(f.IsEvacuated("x"), qt.IsFalse)
}

// Many or long names without servers must not fill the memory, nor keep a domain with servers from being evacuated, also if its
// servers register later.
func TestEvacuatedNamesAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newIdleFleet(c)
	now := bootclock.Now()
	records := metastore.Listing{Position: metastore.Position{Era: 1, Revision: 1}}
	long := strings.Repeat("l", maxDomainBytes+1)
	for _, domain := range []string{"x", long} {
		records.Records = append(records.Records, evacuationEvent(domain, 1, 1, false).Record)
	}
	for i := range 2 * maxEvacuations {
		records.Records = slices.Insert(records.Records, 0, evacuationEvent(fmt.Sprintf("junk-%d", i), 1, 1, false).Record)
	}
	f.applyOperatorChanges(f.applyListing("op/", records, now), "peer", now)
	c.Assert(f.evacuations.inForce, qt.HasLen, maxEvacuations)
	c.Assert(f.IsEvacuated("x"), qt.IsFalse)
	for id, domain := range map[string]string{"sx": "x", "sl": long} {
		registered := metastore.Changes{Position: metastore.Position{Era: 1, Revision: 1}, Events: []metastore.Event{{Record: metastore.Record{
			Key: "servers/" + id, Value: []byte("127.0.0.1:1 " + domain), Era: 1, ModRevision: 2,
		}}}}
		f.applyServerChanges(f.mirror.Apply("servers/", registered, now), now)
	}
	c.Assert(f.IsEvacuated("x"), qt.IsTrue)
	c.Assert(f.IsEvacuated(long), qt.IsTrue)
	c.Assert(f.evacuations.inForce, qt.HasLen, maxEvacuations+2)
}

// evacuatingEngines reports the state of engines; the first report takes until the engine's domain is evacuated.
type evacuatingEngines struct {
	unavailablePlatform
	evacuate func(address string)
	reports  int
}

func (e *evacuatingEngines) Report(_ context.Context, address string) (backend.Report, error) {
	if e.reports++; e.reports == 1 {
		e.evacuate(address)
	}
	return backend.Report{StartedMS: 5}, nil
}

// The rest of a stream waits for a report of its engine before it is sent. If the engine's domain is evacuated meanwhile, it goes
// elsewhere.
func TestEvacuationWhileARunIsConfirmed(t *testing.T) {
	c := qt.New(t)
	f := newIdleFleet(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.loop.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	engines := &evacuatingEngines{evacuate: func(domain string) {
		f.loop.Call(func() {
			listing := metastore.Listing{Position: metastore.Position{Era: 1, Revision: 1}, Records: []metastore.Record{evacuationEvent(domain, 1, 1, false).Record}}
			f.applyOperatorChanges(f.applyListing("op/", listing, f.startedAt), "peer", f.startedAt)
		})
	}}
	f.Platform.Engines = engines
	f.loop.Call(func() {
		f.dispatcher.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 8, CacheTokens: 100_000, TokenBytes: 100, Models: []string{"m"}}}})
		var servers []backend.Server
		for _, domain := range []string{"x", "y"} {
			servers = append(servers, backend.Server{
				ID: domain, Service: "llm", Address: domain, FailureDomain: domain, Slots: 8, SoftwareVersion: "1", StartedMS: 5,
				Versions: map[string]int64{"m": 1},
			})
		}
		f.dispatcher.SetServers(servers)
	})
	r := &dispatch.Request{Service: "llm", Model: "m", PromptTokens: 10, TargetLatency: time.Second, TimeLeft: 5 * time.Second, Continues: true, SoftwareVersion: "1"}
	p, refusal := f.Place(context.Background(), r, nil)
	c.Assert(refusal, qt.IsNil)
	c.Assert(engines.reports, qt.Equals, 2)
	c.Assert(f.IsEvacuated(p.FailureDomain), qt.IsFalse)
}

// Gateways that don't read the store themselves must have an evacuation within a second at the median: each further second is
// charged.
func TestEvacuationReachesGatewaysThatReadViaOthersWithinASecond(t *testing.T) {
	c := qt.New(t)
	store := newEvacuationStore(c)
	var fleets []*Fleet
	for i := range maxDirectGateways + 4 {
		fleets = append(fleets, startFleet(c, fmt.Sprintf("g%02d", i), online(store)))
	}
	indirect := func() (list []*Fleet) {
		for _, f := range fleets {
			if !f.currentRole().reads {
				list = append(list, f)
			}
		}
		return list
	}
	eventually(c, "two gateways read for the others", func() bool { return len(indirect()) == len(fleets)-readersPerDomain })
	var took []time.Duration
	for round := range 6 {
		time.Sleep(700 * time.Millisecond)
		want := round%2 == 0
		if want {
			put(c, store, "op/evacuate/x", "{}")
		} else {
			remove(c, store, "op/evacuate/x")
		}
		at := time.Now()
		for waiting := indirect(); len(waiting) > 0 && time.Since(at) < eventuallyTimeout; time.Sleep(5 * time.Millisecond) {
			waiting = slices.DeleteFunc(waiting, func(f *Fleet) bool {
				if f.IsEvacuated("x") != want {
					return false
				}
				took = append(took, time.Since(at))
				return true
			})
		}
	}
	slices.Sort(took)
	c.Assert(took, qt.HasLen, 6*(len(fleets)-readersPerDomain))
	c.Logf("median %s, longest %s", took[len(took)/2], took[len(took)-1])
	c.Assert(took[len(took)/2] < time.Second, qt.IsTrue, qt.Commentf("median %s", took[len(took)/2]))
	c.Assert(took[len(took)-1] < 3*time.Second, qt.IsTrue, qt.Commentf("longest %s", took[len(took)-1]))
}
