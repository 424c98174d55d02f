package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// fetches reports whether a gateway fetches a part that a store has had for a while.
func fetches(f *Fleet) bool {
	const address = "127.0.0.1:9"
	g := kvcache.Generation{Model: "m", Version: 1}
	part := kvcache.Part{ID: "part", Tokens: 500}
	key := kvcache.Key{Salt: kvcache.Salt(g, ""), ID: part.ID}
	fetched := 0
	f.loop.Call(func() {
		now := bootclock.Now()
		f.catalogue.SetStores([]routing.CacheStore{{Address: address, CapacityTokens: 10_000, LinkMbps: 1000, Managed: true}}, 1)
		for _, at := range []time.Time{now.Add(-time.Minute), now} {
			f.catalogue.Apply(address, kvcache.Batch{Epoch: 1, Changes: []kvcache.Change{{Key: key, Tokens: part.Tokens}}}, at, at)
		}
		fetched = f.catalogue.Estimate(g, key.Salt, []kvcache.Part{part}, "a", now).Tokens
	})
	return fetched > 0
}

// startTwo runs two Fleets on a store that has a configuration.
func startTwo(c *qt.C) (store *memkv.Store, a, b *Fleet) {
	store = startStore(c)
	put(c, store, "op/config", "1")
	return store, startFleetOn(c, "a", store), startFleetOn(c, "b", store)
}

func liveCount(f *Fleet) (count int) {
	f.loop.Call(func() { count = len(f.members.Live(bootclock.Now())) })
	return count
}

// Guards against gateways that are cut off together and go on to fetch parts that a leader which they don't hear may free.
func TestGatewaysThatHearOnlyEachOtherStopFetching(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store, a, b := startTwo(c)
	eventually(c, "both fetch", func() bool { return fetches(a) && fetches(b) })
	store.SetFaults(memkv.Faults{Down: true})
	time.Sleep(kvcache.FetchLeaseTTL)
	eventually(c, "neither fetches", func() bool { return !fetches(a) && !fetches(b) })
	c.Check([]int{liveCount(a), liveCount(b)}, qt.DeepEquals, []int{1, 1})
	store.SetFaults(memkv.Faults{})
	eventually(c, "both fetch again", func() bool { return fetches(a) && fetches(b) })
}

// Guards against a gateway that reaches the metadata store, but not the leader, and goes on to fetch parts that the leader may free.
func TestGatewayThatDoesNotReachTheLeaderDoesNotFetch(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	_, err := store.CompareAndSwap(context.Background(), metastore.Swap{Key: leaderKey, Value: []byte("another gateway")})
	c.Assert(err, qt.IsNil)
	f := startFleetOn(c, "a", store)
	eventually(c, "it has the configuration", func() bool { return f.Table() != nil })
	c.Check(fetches(f), qt.IsFalse)
}

// Guards against gateways that are cut off together and go on sharing KV cache with an organisation that has become isolated, and denying
// what has been added since.
func TestGatewaysThatHearOnlyEachOtherShareNoCache(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store, a, b := startTwo(c)
	eventually(c, "both share", func() bool { return shares(a) && shares(b) })
	awaitPeers(c, a, b)
	store.SetFaults(memkv.Faults{Down: true})
	cutAt := time.Now()
	for _, other := range []string{"c", "d"} {
		hear(a, other)
		hear(b, other)
	}
	eventually(c, "neither shares", func() bool { return !shares(a) && !shares(b) })
	c.Check(time.Since(cutAt) < configurationTTL+time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(cutAt)))
	c.Check([]int{liveCount(a), liveCount(b)}, qt.DeepEquals, []int{1, 1})
	store.SetFaults(memkv.Faults{})
	eventually(c, "both share again", func() bool { return shares(a) && shares(b) })
}

// shares reports whether a gateway lets organisations share KV cache.
func shares(f *Fleet) bool { return f.CacheBoundary("") != routing.OwnBoundary("") }

// hear lets a gateway receive one heartbeat of another one.
func hear(f *Fleet, instance string) {
	from := &wire.Peer{Instance: instance, FailureDomain: "a", BeatAddress: "127.0.0.1:9", ControlAddress: "127.0.0.1:9"}
	f.receiveBeat(&wire.Beat{From: from, Incarnation: 1, Sequence: 1, Configuration: 1})
}

// While the metadata store is down for a majority of the gateways it counts as down for all, and sharing goes on.
func TestMajoritySharesInAnOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store, a, b := startTwo(c)
	eventually(c, "both share", func() bool { return shares(a) && shares(b) && liveCount(a) == 1 && liveCount(b) == 1 })
	store.SetFaults(memkv.Faults{Down: true})
	hear(a, "c")
	hear(b, "c")
	for until := time.Now().Add(configurationTTL + 2*time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if !shares(a) || !shares(b) {
			c.Fatalf("not confirmed for %s and %s", a.ConfigurationAge(), b.ConfigurationAge())
		}
	}
}

// A gateway that the metadata store refuses shares KV cache as long as another one, which isn't the leader, confirms its configuration.
func TestOthersConfirmTheConfiguration(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	_, err := store.CompareAndSwap(context.Background(), metastore.Swap{Key: leaderKey, Value: []byte("another gateway")})
	c.Assert(err, qt.IsNil)
	offline := &switchableStore{store, make(chan struct{})}
	a, b := startFleetOn(c, "a", store), startFleet(c, "b", offline)
	eventually(c, "both have the configuration", func() bool { return a.IsConfigurationConfirmed() && b.IsConfigurationConfirmed() })
	close(offline.offline)
	for until := time.Now().Add(configurationTTL + 2*time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if !b.IsConfigurationConfirmed() {
			c.Fatalf("not confirmed for %s", b.ConfigurationAge())
		}
	}
}

func TestConfirmedConfigurationIsAsOldAsItsProof(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), Incarnation: 2})
	f.table.Store(routing.NewTable(routing.Configuration{Version: 7}))
	now := bootclock.Now()
	confirm := func(version int64, askedAt time.Time, ageMS uint32) time.Time {
		f.mergeConfirmation(&wire.Confirmation{
			Incarnation: 2, Request: &wire.ConfirmationRequest{SentNs: askedAt.UnixNano(), RegisteredNs: askedAt.UnixNano()}, Configuration: version, ConfigurationAgeMs: ageMS,
		}, now)
		return time.Unix(0, f.confirmedAt.Load())
	}
	askedAt := now.Add(-time.Second)
	c.Check(confirm(8, askedAt, 0).Equal(time.Unix(0, 0)), qt.IsTrue, qt.Commentf("a later configuration than the one in force here"))
	c.Check(confirm(7, askedAt, 2000).Equal(askedAt.Add(-2*time.Second)), qt.IsTrue)
	c.Check(confirm(6, askedAt, 500).Equal(askedAt.Add(-time.Second/2)), qt.IsTrue)
	c.Check(confirm(7, askedAt, 900).Equal(askedAt.Add(-time.Second/2)), qt.IsTrue, qt.Commentf("an older proof"))
}

// A reply that was held up, or that reports changes, confirms nothing later than what the store knew for sure.
func TestReplyConfirmsWhatTheStoreKnew(t *testing.T) {
	c := qt.New(t)
	asked := time.Unix(1000, 0)
	const wait = 2 * time.Second
	for _, test := range []struct {
		changed bool
		took    time.Duration
		want    time.Duration
	}{{false, wait, wait}, {false, 10 * time.Second, wait}, {false, time.Second, 0}, {true, wait, 0}} {
		got := confirmedBy(asked, wait, test.changed, asked.Add(test.took)).Sub(asked)
		c.Check(got, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// Guards against a lease of an earlier run, which may have been granted for what that run knew, and one that the next leader doesn't know of.
func TestFetchLeaseIsOfThisRunAndAnnounced(t *testing.T) {
	c := qt.New(t)
	now := bootclock.Now()
	for _, test := range []struct {
		name              string
		incarnation       uint64
		asked, registered time.Duration
		want              time.Duration
	}{
		{"of an earlier run", 1, 0, 0, 0},
		{"asked now", 2, 0, 0, kvcache.FetchLeaseTTL},
		{"asked a while ago", 2, 5 * time.Second, 5 * time.Second, kvcache.FetchLeaseTTL - 5*time.Second},
		{"delayed for as long as a lease", 2, kvcache.FetchLeaseTTL, kvcache.FetchLeaseTTL, 0},
		{"announced a while ago", 2, 0, 10 * time.Second, peerLeaseTTL - registrationMargin - 10*time.Second},
	} {
		f := New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), Incarnation: 2})
		request := &wire.ConfirmationRequest{SentNs: now.Add(-test.asked).UnixNano(), RegisteredNs: now.Add(-test.registered).UnixNano()}
		f.mergeConfirmation(&wire.Confirmation{Incarnation: test.incarnation, Request: request, FetchLease: true}, now)
		c.Check(f.catalogue.FetchLease(now), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
	f := New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), Incarnation: 2})
	f.mergeConfirmation(&wire.Confirmation{Incarnation: 2, Request: &wire.ConfirmationRequest{SentNs: now.UnixNano()}, FetchLease: true}, now)
	c.Check(f.catalogue.HasFetchLease(now), qt.IsFalse, qt.Commentf("never announced"))
}
