package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
)

const (
	// feedWait is how long one call waits for events; shorter ones are charged as probes. The age of a reading counts from the
	// start of its call, so two calls and a pause must fit into kvcache.ReadingTTL, and should into the shorter time for saves.
	feedWait = 200 * time.Millisecond
	// feedPause is the time between two calls. It lets events accumulate.
	feedPause = 120 * time.Millisecond
	// feedTimeout is how much longer than its wait one call for events may take. A listing may take as long as a reading is valid:
	// that of a full store is large, and its decoding takes time on a small host.
	feedTimeout = 500 * time.Millisecond
	// feedRetry is the longest pause after a failed call. The pause is random, at least half of it. It doubles up to
	// maxFeedRetry while a store accepts calls and doesn't answer them properly.
	feedRetry    = 300 * time.Millisecond
	maxFeedRetry = 4800 * time.Millisecond
)

// setFeeds starts and stops feeds so that exactly one runs for each store.
func (f *Fleet) setFeeds(stores []routing.CacheStore) {
	wanted := make(map[string]bool, len(stores))
	for _, s := range stores {
		wanted[s.Address] = true
		if f.feeds[s.Address] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			f.feeds[s.Address] = cancel
			f.background.Go(func() { f.feed(ctx, s.Address) })
		}
	}
	for address, cancel := range f.feeds {
		if !wanted[address] {
			cancel()
			delete(f.feeds, address)
		}
	}
}

// feed reads the events of one store until ctx ends, while this gateway reads the stores itself.
func (f *Fleet) feed(ctx context.Context, address string) {
	var since int64
	unreachable := false
	retry := feedRetry
	for ctx.Err() == nil {
		if role := f.currentRole(); !role.reads || role.starting {
			since = 0
			sleep(ctx, role.checkInterval())
			continue
		}
		next, err := f.readFeed(ctx, address, since)
		if err != nil {
			if !unreachable {
				f.Log.Warn(EventCacheStoreLost, zap.String("store", address), eventlog.Error(err))
			}
			unreachable = true
			sleep(ctx, retry/2+rand.N(retry/2))
			if retry = min(2*retry, maxFeedRetry); errorx.IsOfType(err, weights.ErrUnavailable) {
				retry = feedRetry
			}
			continue
		}
		retry = feedRetry
		if unreachable {
			f.Log.Info(EventCacheStoreFound, zap.String("store", address), zap.Int64("next", next))
		}
		unreachable = false
		since = next
		sleep(ctx, feedPause)
	}
}

// readFeed reads the events after since and, if the store no longer has all of them, lists its whole content.
// It returns the position from which to read next.
func (f *Fleet) readFeed(ctx context.Context, address string, since int64) (next int64, err error) {
	requestedAt := bootclock.Now()
	batch, err := f.readEvents(ctx, address, since)
	if err != nil {
		return 0, err
	}
	now := bootclock.Now()
	f.updateServerClock(batch.ClockMS, now)
	var list bool
	f.loop.Call(func() { list = f.catalogue.Apply(address, batch, requestedAt, now) })
	if !list {
		return batch.Next, nil
	}
	ctx, cancel := context.WithTimeout(ctx, kvcache.ReadingTTL)
	defer cancel()
	listing, err := f.Platform.Stores.List(ctx, address)
	if err != nil {
		return 0, err
	}
	f.loop.Call(func() { f.catalogue.Replace(address, listing, requestedAt, bootclock.Now()) })
	return listing.Next, nil
}

func (f *Fleet) readEvents(ctx context.Context, address string, since int64) (kvcache.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedTimeout)
	defer cancel()
	return f.Platform.Stores.Events(ctx, address, since, feedWait)
}

const (
	// maxFreeBatch bounds the number of parts in one call.
	maxFreeBatch = 400
	// freedCheckInterval is the interval at which a leader that leaves checks whether its calls that free parts have ended.
	freedCheckInterval = 5 * time.Millisecond
)

// startFreeing frees parts in the background, because a store may answer slowly or not at all, and the leader has other duties. It
// does nothing while earlier parts are being freed.
func (f *Fleet) startFreeing(ctx context.Context, holding lease.Holding, parts []kvcache.StoredPart) {
	if len(parts) == 0 || !f.freesParts.CompareAndSwap(false, true) {
		return
	}
	f.background.Go(func() {
		defer f.freesParts.Store(false)
		f.freeParts(ctx, holding, parts)
	})
}

// awaitFreed waits until startFreeing has nothing under way.
func (f *Fleet) awaitFreed() {
	for f.freesParts.Load() {
		time.Sleep(freedCheckInterval)
	}
}

// freeParts frees parts in their stores, in batches for each store, until the holding ends. A store that doesn't free a batch is
// left for the next time.
func (f *Fleet) freeParts(ctx context.Context, holding lease.Holding, parts []kvcache.StoredPart) {
	type target struct {
		address string
		epoch   int64
	}
	byStore := make(map[target][]kvcache.Key)
	for _, p := range parts {
		t := target{p.Address, p.Epoch}
		byStore[t] = append(byStore[t], p.Key)
	}
	for t, keys := range byStore {
		for len(keys) > 0 && bootclock.Now().Before(holding.Until) {
			n := min(maxFreeBatch, len(keys))
			err := f.freeBatch(ctx, holding, t.address, t.epoch, keys[:n])
			f.Log.Info(EventPartsFreed, zap.String("store", t.address), zap.Int("parts", n), eventlog.Error(err))
			if err != nil {
				break
			}
			f.Counters.PartsFreed.Inc(int64(n))
			freed := keys[:n]
			f.loop.Post(func() { f.catalogue.RemoveFreed(t.address, freed, bootclock.Now()) })
			keys = keys[n:]
		}
	}
}

// freeBatch frees parts in a store. The call ends before the holding does, so that the next leader sees what was freed.
func (f *Fleet) freeBatch(ctx context.Context, holding lease.Holding, address string, epoch int64, keys []kvcache.Key) error {
	ctx, cancel := context.WithTimeout(ctx, min(stepTimeout, holding.Until.Sub(bootclock.Now())))
	defer cancel()
	return f.Platform.Stores.Free(ctx, address, epoch, keys)
}
