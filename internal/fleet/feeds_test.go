package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/kvcache"
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
