package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

// lateStore is a metadata store whose replies about the operator's keys can be disturbed.
type lateStore struct {
	*memkv.Store
	// disturbed replaces the calls for changes of the operator's keys; nil for none.
	disturbed atomic.Pointer[disturbance]
	// calls counts the disturbed calls.
	calls atomic.Int64
	// refusesOwn makes writes of the system's own keys fail, refusesListings the listings of them.
	refusesOwn, refusesListings atomic.Bool
}

// disturbance replies to a call for changes that waits. Several such calls may be under way.
type disturbance func(ctx context.Context, from metastore.Position) (metastore.Changes, error)

func (s *lateStore) Changes(ctx context.Context, prefix string, from metastore.Position, wait time.Duration) (metastore.Changes, error) {
	if prefix != "op/" || wait == 0 {
		return s.Store.Changes(ctx, prefix, from, wait)
	}
	if reply := s.disturbed.Load(); reply != nil {
		s.calls.Add(1)
		return (*reply)(ctx, from)
	}
	// Short waits, so that a disturbance soon holds for all calls.
	return s.Store.Changes(ctx, prefix, from, min(wait, 200*time.Millisecond))
}

func (s *lateStore) Snapshot(ctx context.Context, prefix string) (metastore.Listing, error) {
	if prefix == ownPrefix && s.refusesListings.Load() {
		return metastore.Listing{}, metastore.ErrUnavailable.New("the store refuses listings")
	}
	return s.Store.Snapshot(ctx, prefix)
}

func (s *lateStore) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	if s.refusesOwn.Load() {
		return metastore.SwapResult{}, metastore.ErrUnavailable.New("the store refuses writes")
	}
	return s.Store.CompareAndSwap(ctx, swap)
}

// contactIn3s sets the contact time of the deployments. Calls for changes wait for up to 2 s then.
func contactIn3s(o *Options) { o.ContactTime = 3 * time.Second }

// silence is for how long a disturbance hides the changes of the operator's keys.
const silence = 1500 * time.Millisecond

// disturbances are the ways in which changes reach a gateway late.
func (s *lateStore) disturbances() map[string]disturbance {
	return map[string]disturbance{
		"a watch on a silent connection is asked again": func(ctx context.Context, from metastore.Position) (metastore.Changes, error) {
			time.Sleep(silence)
			return s.Store.Changes(ctx, "op/", from, 0)
		},
		"a waiting call brings changes late": func(ctx context.Context, from metastore.Position) (metastore.Changes, error) {
			changes, err := s.Store.Changes(ctx, "op/", from, silence)
			time.Sleep(silence / 2)
			return changes, err
		},
		"the history is dropped": func(context.Context, metastore.Position) (metastore.Changes, error) {
			time.Sleep(silence)
			s.Compact()
			return metastore.Changes{}, metastore.ErrCompacted.New("the history was dropped")
		},
		"the store refuses calls": func(context.Context, metastore.Position) (metastore.Changes, error) {
			time.Sleep(silence)
			return metastore.Changes{}, metastore.ErrUnavailable.New("the store refuses calls")
		},
	}
}

// expectDueFrom checks that engines with a version of model m are due within the bound after setAt, and not earlier than by slack.
func expectDueFrom(c *qt.C, f *Fleet, version int64, setAt time.Time, slack time.Duration) {
	c.Helper()
	due, bound := untilDue(f, version)
	left := setAt.Add(f.WeightsWithin).Sub(bootclock.Now())
	c.Check(bound, qt.IsTrue)
	c.Check(due <= left, qt.IsTrue, qt.Commentf("version %d is due %s later than %s after it was replaced", version, due-left, f.WeightsWithin))
	c.Check(due > left-slack, qt.IsTrue, qt.Commentf("version %d is due %s early", version, left-due))
}

// Guards against inc1 of issue 56: a version that gateways read late was counted from their reading.
func TestTargetVersionThatIsReadLateIsDueInTime(t *testing.T) {
	for name := range (&lateStore{}).disturbances() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := &lateStore{Store: startStore(c)}
			put(c, store.Store, "op/config", "1")
			put(c, store.Store, "op/weights/m", "1")
			a, _ := startStoppableFleet(c, "a", store, contactIn3s)
			b, _ := startStoppableFleet(c, "b", store, contactIn3s)
			eventually(c, "both know version 1", func() bool { return knows(a, 1) && knows(b, 1) })
			awaitPeers(c, a, b)
			disturb := store.disturbances()[name]
			store.disturbed.Store(&disturb)
			time.Sleep(silence / 2)
			setAt := bootclock.Now()
			put(c, store.Store, "op/weights/m", "2")
			time.Sleep(silence / 4)
			put(c, store.Store, "op/weights/m", "3")
			time.Sleep(silence)
			store.disturbed.Store(nil)
			c.Check(store.calls.Load() >= 2, qt.IsTrue, qt.Commentf("the calls of both gateways were disturbed"))
			eventually(c, "both know version 3", func() bool { return knows(a, 3) && knows(b, 3) })
			for _, f := range []*Fleet{a, b} {
				expectDueFrom(c, f, 1, setAt, 2*silence)
			}
		})
	}
}

// Guards against the shorter time for all engines that a gateway without the metadata store would cause if its guess were taken.
func TestGatewayWithoutTheMetastoreTakesTimesFromOthers(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	put(c, store, "op/weights/m", "1")
	cut := &switchableStore{store, make(chan struct{})}
	a, b := startFleetOn(c, "a", store), startFleet(c, "b", cut)
	eventually(c, "both know version 1", func() bool { return knows(a, 1) && knows(b, 1) })
	awaitPeers(c, a, b)
	setServerClock(a, time.Hour)
	setServerClock(b, time.Hour)
	close(cut.offline)
	time.Sleep(3 * time.Second)
	setAt := bootclock.Now()
	put(c, store, "op/weights/m", "2")
	eventually(c, "both know version 2", func() bool { return knows(a, 2) && knows(b, 2) })
	time.Sleep(time.Second)
	for _, f := range []*Fleet{a, b} {
		// The connected gateway reads every 0.62 s at least.
		expectDueFrom(c, f, 1, setAt, time.Second)
	}
}

// Guards against inc1 of issue 56: after all gateways had ended, a version that no leader had stored was counted from their restart.
func TestTargetVersionSetBeforeAllGatewaysEndedIsDueInTime(t *testing.T) {
	for name, listsLate := range map[string]bool{"the next leader lists what is stored first": false, "it leads before it can list": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectDueAfterRestart(qt.New(t), listsLate)
		})
	}
}

// expectDueAfterRestart checks when engines are due if a version is set just before the only gateway ends. With listsLate the next one
// can't read what is stored for a while.
func expectDueAfterRestart(c *qt.C, listsLate bool) {
	store := &lateStore{Store: startStore(c)}
	put(c, store.Store, "op/config", "1")
	put(c, store.Store, "op/weights/m", "1")
	first, stop := startStoppableFleet(c, "a", store, contactIn3s)
	setServerClock(first, time.Hour)
	eventually(c, "version 1 is stored", func() bool { _, ok := storedTargetsOf(store.Store); return ok })
	time.Sleep(silence)
	store.refusesOwn.Store(true)
	setAt := bootclock.Now()
	put(c, store.Store, "op/weights/m", "2")
	stop()
	time.Sleep(silence)
	store.refusesOwn.Store(false)
	store.refusesListings.Store(listsLate)
	next := startFleetOn(c, "a", store)
	eventually(c, "version 2 is known", func() bool { return knows(next, 2) })
	setServerClock(next, time.Hour)
	eventually(c, "version 2 is stored", func() bool {
		stored := false
		next.loop.Call(func() { stored = len(next.lead.persisted["m"]) > 0 })
		return stored
	})
	time.Sleep(silence)
	store.refusesListings.Store(false)
	eventually(c, "what is stored has been read", func() (listed bool) {
		next.loop.Call(func() { listed = next.peersListed })
		return listed
	})
	expectDueFrom(c, next, 1, setAt, 4*time.Second)
}

// knows reports whether a gateway knows that a version of model m is the target.
func knows(f *Fleet, version int64) bool { _, bound := untilDue(f, version-1); return bound }
