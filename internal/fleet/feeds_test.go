package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/weights"
)

// failingStores counts the calls to cache stores, which all fail.
type failingStores struct {
	unavailablePlatform
	err   error
	calls *atomic.Int64
}

func (s failingStores) Events(context.Context, string, int64, time.Duration) (kvcache.Batch, error) {
	s.calls.Add(1)
	return kvcache.Batch{}, s.err
}

// Free implements Stores. It never answers.
func (s failingStores) Free(ctx context.Context, _ string, _ int64, _ []kvcache.Key) error {
	s.calls.Add(1)
	<-ctx.Done()
	return s.err
}

// Guards against review/1: a cache store that answered a free without end held up the leader, which loaded no weights any more and
// still counted as the leader.
func TestStoreThatDoesNotFreeHoldsUpNoDuties(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, "a", &switchableStore{memkv.New(), make(chan struct{})})
	stores := failingStores{err: weights.ErrOutcomeUnknown.New("reply without end"), calls: new(atomic.Int64)}
	f.loop.Call(func() { f.Platform.Stores = stores })
	parts := []kvcache.StoredPart{{Address: "10.0.0.1:1", Epoch: 1, Key: kvcache.Key{Salt: "m|1|", ID: "a"}}}
	holding := lease.Holding{Until: bootclock.Now().Add(time.Minute)}
	for range 20 {
		started := time.Now()
		f.startFreeing(context.Background(), holding, parts)
		c.Assert(time.Since(started) < 100*time.Millisecond, qt.IsTrue)
	}
	eventually(c, "the parts are being freed", func() bool { return stores.calls.Load() == 1 })
	eventually(c, "the call has been given up", func() bool { return !f.freesParts.Load() })
	f.startFreeing(context.Background(), holding, parts)
	eventually(c, "the parts are freed once more", func() bool { return stores.calls.Load() == 2 })
}

// A store that accepts calls and doesn't answer them properly is called less and less often, one that is down at the usual
// interval: it may be back at any moment.
func TestStoreInTroubleIsLeftAloneForAGrowingTime(t *testing.T) {
	c := qt.New(t)
	// watched fits feedRetry eight times or more, and its doublings four times.
	const watched = 8 * feedRetry
	calls := func(err error) int64 {
		f := startFleet(c, "a", &switchableStore{memkv.New(), make(chan struct{})})
		eventually(c, "the gateway reads stores", func() bool { return f.currentRole().reads && !f.currentRole().starting })
		stores := failingStores{err: err, calls: new(atomic.Int64)}
		f.loop.Call(func() { f.Platform.Stores = stores })
		ctx, cancel := context.WithTimeout(context.Background(), watched)
		defer cancel()
		f.feed(ctx, "10.0.0.1:1")
		return stores.calls.Load()
	}
	c.Check(calls(weights.ErrOutcomeUnknown.New("reply without end")) <= 5, qt.IsTrue)
	c.Check(calls(weights.ErrUnavailable.New("refused")) >= 7, qt.IsTrue)
}
