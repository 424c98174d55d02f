package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

const (
	// serviceCallsPerSecond is the rate of write calls that the platform's service accepts.
	serviceCallsPerSecond = 400
	// serviceLatencyMS is the duration of one call, in milliseconds.
	serviceLatencyMS = 3
)

func TestClaimsOfOneEntryShareCalls(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	bed.kv.SetFaults(memkv.Faults{SlowMS: serviceLatencyMS})
	entry := bed.entry()
	const claims, maxCalls = 1024, 128
	var claiming sync.WaitGroup
	for serial := range claims {
		r := request(c, keyAt(bed.clock(), uint64(serial)))
		claiming.Go(func() {
			_, err := entry.Claim(context.Background(), r)
			c.Check(err, qt.IsNil)
		})
	}
	claiming.Wait()
	c.Assert(bed.kv.Calls().Writes() <= maxCalls, qt.IsTrue, qt.Commentf("%+v", bed.kv.Calls()))
}

// limitedKV limits calls to the rate of the platform's service.
type limitedKV struct {
	*memkv.Store
	limiter *rate.Limiter
}

func (l *limitedKV) CompareAndSwapEach(ctx context.Context, swaps []metastore.Swap) ([]metastore.SwapResult, error) {
	if err := l.limiter.Wait(ctx); err != nil {
		return nil, metastore.ErrUnavailable.Wrap(err, "rate")
	}
	return l.Store.CompareAndSwapEach(ctx, swaps)
}

// BenchmarkClaims sends claims at a fixed rate, distributed over entries, to a service that limits the
// rate of calls. It reports confirmed and refused claims per second and claims per call.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ entries, perSecond int }{
		{1, 300}, {1, 3000}, {1, 20000},
		{100, 300}, {100, 3000}, {100, 20000},
		{1000, 300}, {1000, 3000},
	} {
		b.Run(fmt.Sprintf("entries=%d/offered=%d", load.entries, load.perSecond), func(b *testing.B) {
			for b.Loop() {
				offerLoad(b, load.entries, load.perSecond)
			}
		})
	}
}

func offerLoad(b *testing.B, entries, perSecond int) {
	const period = 2 * time.Second
	kv := &limitedKV{Store: memkv.New(), limiter: rate.NewLimiter(serviceCallsPerSecond, 8)}
	defer kv.Close()
	kv.SetFaults(memkv.Faults{SlowMS: serviceLatencyMS})
	ctx, cancel := context.WithCancel(context.Background())
	var running, claiming sync.WaitGroup
	claimers := make([]*Claimer, entries)
	for i := range claimers {
		claimers[i] = New(kv, time.Now)
		running.Go(func() { claimers[i].Run(ctx) })
		_, _ = claimers[i].leases.get(ctx, time.Now(), time.Now())
	}
	var confirmed, refused atomic.Int64
	c := qt.New(b)
	offerLimiter := rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/100))
	start := time.Now()
	for serial := 0; time.Since(start) < period; serial++ {
		_ = offerLimiter.Wait(ctx)
		r := request(c, keyAt(time.Now(), uint64(serial)))
		claiming.Go(func() {
			if _, err := claimers[serial%entries].Claim(ctx, r); err != nil {
				refused.Add(1)
				return
			}
			confirmed.Add(1)
		})
	}
	claiming.Wait()
	tookSeconds := time.Since(start).Seconds()
	cancel()
	running.Wait()
	calls := kv.Calls().Swap
	b.ReportMetric(float64(confirmed.Load())/tookSeconds, "claims/s")
	b.ReportMetric(float64(refused.Load())/tookSeconds, "refused/s")
	b.ReportMetric(float64(confirmed.Load())/float64(max(calls, 1)), "claims/call")
}
