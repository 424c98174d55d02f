package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

const (
	// drainTime is how long after its removal a server may get requests in the deployments.
	drainTime = 2 * time.Second
	// registered is the number of servers of startRegistered.
	registered = 10
)

// withRenewals also sets the interval at which servers renew their registrations in the deployments.
func withRenewals(o *Options) {
	contactIn3s(o)
	o.RenewalInterval = 1200 * time.Millisecond
}

// removalStore is a metadata store whose calls for changes of registrations that wait can be disturbed. All calls fail while cutOff.
type removalStore struct {
	*memkv.Store
	// silent holds up the calls, which are then made again without a wait, as platform.Metastore does. held counts them.
	silent atomic.Bool
	held   atomic.Int64
	cutOff atomic.Bool
	mu     sync.Mutex
	cut    chan struct{}
}

// cutWatches makes the calls for changes that are waiting fail.
func (s *removalStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *removalStore) Snapshot(ctx context.Context, prefix string) (metastore.Listing, error) {
	if s.cutOff.Load() {
		return metastore.Listing{}, metastore.ErrUnavailable.New("cut off")
	}
	return s.Store.Snapshot(ctx, prefix)
}

func (s *removalStore) Changes(ctx context.Context, prefix string, from metastore.Position, wait time.Duration) (metastore.Changes, error) {
	const lateReply = 500 * time.Millisecond
	if wait > 0 && prefix == "servers/" && s.silent.Load() {
		s.held.Add(1)
		time.Sleep(wait + lateReply)
		wait = 0
	}
	if s.cutOff.Load() {
		return metastore.Changes{}, metastore.ErrUnavailable.New("cut off")
	}
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		changes metastore.Changes
		err     error
	}
	replies := make(chan reply, 1)
	go func() {
		changes, err := s.Store.Changes(ctx, prefix, from, wait)
		replies <- reply{changes, err}
	}()
	select {
	case r := <-replies:
		return r.changes, r.err
	case <-cut:
		return metastore.Changes{}, metastore.ErrUnavailable.New("the watch was cut")
	}
}

// silentStore is a metadata store whose answers to all calls are held up while it is silent.
type silentStore struct{ *heldUpStore }

func (s silentStore) await() {
	s.mu.Lock()
	held := s.silent
	s.mu.Unlock()
	<-held
}

func (s silentStore) Snapshot(ctx context.Context, prefix string) (metastore.Listing, error) {
	s.await()
	return s.heldUpStore.Snapshot(ctx, prefix)
}

func (s silentStore) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	s.await()
	return s.heldUpStore.KeepAlive(ctx, lease)
}

func (s silentStore) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	s.await()
	return s.heldUpStore.CompareAndSwap(ctx, swap)
}

func startRemovalStore(c *qt.C) *removalStore {
	s := &removalStore{Store: memkvWithConfiguration(c), cut: make(chan struct{})}
	for i := range registered {
		put(c, s.Store, fmt.Sprint("servers/s", i), "127.0.0.1:1")
	}
	return s
}

// servers returns the ids of the servers that a gateway uses.
func servers(f *Fleet) map[string]bool {
	ids := make(map[string]bool)
	f.loop.Call(func() {
		for _, s := range f.registry.Servers(bootclock.Now()) {
			ids[s.ID] = true
		}
	})
	return ids
}

// removeRegistrations removes the first n registrations, one each interval, and returns when each was removed.
func removeRegistrations(c *qt.C, store *memkv.Store, n int, interval time.Duration) map[string]time.Time {
	removedAt := make(map[string]time.Time)
	for i := range n {
		if i > 0 {
			time.Sleep(interval)
		}
		id := fmt.Sprint("s", i)
		remove(c, store, "servers/"+id)
		removedAt[id] = time.Now()
	}
	return removedAt
}

// expectUnused sends requests until the removals are long past, and checks that none goes to a server that was removed over drainTime
// before. Requests before settled may.
func expectUnused(c *qt.C, f *Fleet, removedAt map[string]time.Time, settled time.Time) {
	c.Helper()
	late, latest := 0, time.Duration(0)
	for until := time.Now().Add(2 * drainTime); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		p, refusal := f.Place(context.Background(), &dispatch.Request{Service: "app", TargetLatency: time.Second, TimeLeft: time.Second}, nil)
		if refusal != nil {
			continue
		}
		f.withdraw(p)
		at, removed := removedAt[p.Server]
		if after := time.Since(at); removed && after > drainTime && time.Now().After(settled) {
			late++
			latest = max(latest, after)
		}
	}
	c.Check(late, qt.Equals, 0, qt.Commentf("requests placed on removed servers, up to %s after the removal", latest))
}

// startRegistered runs a Fleet on the store and returns it when it has used all servers for some time.
func startRegistered(c *qt.C, store Metastore) *Fleet {
	f, _ := startStoppableFleet(c, "a", store, withRenewals)
	eventually(c, "all servers are used", func() bool { return len(servers(f)) == registered })
	time.Sleep(returnedFor)
	return f
}

// Guards against requests to servers that left one after the other while a watch was silent, and whose removals are read at once.
func TestServersWhoseRemovalsAreReadLateTogetherAreNotUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startRemovalStore(c)
	f := startRegistered(c, store)
	store.silent.Store(true)
	eventually(c, "the watch is silent", func() bool { return store.held.Load() > 0 })
	settled := time.Now().Add(f.ContactTime)
	removedAt := removeRegistrations(c, store.Store, 5, 400*time.Millisecond)
	store.silent.Store(false)
	expectUnused(c, f, removedAt, settled)
}

// Guards against requests to servers that leave within seconds of each other while nothing is disturbed.
func TestServersThatLeaveOneAfterTheOtherAreNotUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startRemovalStore(c)
	f := startRegistered(c, store)
	expectUnused(c, f, removeRegistrations(c, store.Store, 8, 300*time.Millisecond), time.Time{})
}

// Guards against requests to a server that leaves just after the store has cut the watches.
func TestServerThatLeavesWhenWatchesAreCutIsNotUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startRemovalStore(c)
	f := startRegistered(c, store)
	store.cutWatches()
	expectUnused(c, f, removeRegistrations(c, store.Store, 1, 0), time.Time{})
}

// Guards against requests to a server that leaves when a gateway reaches the store again from which it alone was cut off.
func TestServerThatLeavesWhenACutOffGatewayIsBackIsNotUsed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := startRemovalStore(c)
	cut := &removalStore{Store: store.Store, cut: make(chan struct{})}
	a := startRegistered(c, store)
	b, _ := startStoppableFleet(c, "b", cut, withRenewals)
	eventually(c, "all servers are used", func() bool { return len(servers(b)) == registered })
	awaitPeers(c, a, b)
	cut.cutOff.Store(true)
	cut.cutWatches()
	time.Sleep(5 * time.Second)
	cut.cutOff.Store(false)
	eventually(c, "the gateway is back", func() (back bool) {
		b.loop.Call(func() { back = b.registry.IsStoreReachable() })
		return back
	})
	expectUnused(c, b, removeRegistrations(c, store.Store, 1, 0), time.Time{})
}

// Guards against servers that are out of use although their registrations, which expired in an outage, return in time.
func TestServersStayInUseWhileExpiredRegistrationsReturn(t *testing.T) {
	for name, silent := range map[string]bool{"calls fail in the outage": false, "calls are held up in the outage": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := silentStore{newHeldUpStore(c)}
			for i := range registered {
				put(c, store.Store, fmt.Sprint("servers/s", i), "127.0.0.1:1")
			}
			a := startRegistered(c, store)
			b, _ := startStoppableFleet(c, "b", store, withRenewals)
			eventually(c, "all servers are used", func() bool { return len(servers(b)) == registered })
			awaitPeers(c, a, b)
			time.Sleep(returnedFor)
			if silent {
				release := store.hold(true)
				time.Sleep(3 * time.Second)
				release()
			} else {
				store.SetFaults(memkv.Faults{Down: true})
				time.Sleep(3 * time.Second)
				store.SetFaults(memkv.Faults{})
			}
			expired := removeRegistrations(c, store.Store, 8, 0)
			back := time.Now()
			for i := range len(expired) {
				for time.Since(back) < time.Duration(i)*230*time.Millisecond {
					for _, f := range []*Fleet{a, b} {
						c.Assert(servers(f), qt.HasLen, registered, qt.Commentf("%s after the outage", time.Since(back)))
					}
					time.Sleep(10 * time.Millisecond)
				}
				put(c, store.Store, fmt.Sprint("servers/s", i), "127.0.0.1:1")
			}
		})
	}
}
