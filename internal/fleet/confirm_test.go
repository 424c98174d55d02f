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

func liveCount(f *Fleet) (count int) {
	f.loop.Call(func() { count = len(f.members.Live(bootclock.Now())) })
	return count
}

// Guards against gateways that are cut off together and go on to fetch parts that a leader which they don't hear may free.
func TestGatewaysThatHearOnlyEachOtherStopFetching(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	a, b := startFleetOn(c, "a", store), startFleetOn(c, "b", store)
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

// Guards against a lease of an earlier run, which may have been granted for what that run knew.
func TestConfirmationOfAnEarlierRunIsIgnored(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), Incarnation: 2})
	now := bootclock.Now()
	lease := func(incarnation uint64, askedAt time.Time) bool {
		f.mergeConfirmation(&wire.Confirmation{Incarnation: incarnation, RequestSentNs: askedAt.UnixNano(), FetchLease: true}, now)
		return f.catalogue.HasFetchLease(now)
	}
	c.Check(lease(1, now), qt.IsFalse)
	c.Check(lease(2, now.Add(-kvcache.FetchLeaseTTL)), qt.IsFalse, qt.Commentf("a reply that was delayed for as long as a lease"))
	c.Check(lease(2, now), qt.IsTrue)
}
