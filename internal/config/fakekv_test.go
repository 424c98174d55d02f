package config

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/platform"
)

// fakeKV is an in-memory service whose calls can be made to fail.
type fakeKV struct {
	mu       sync.Mutex
	revision platform.Revision
	records  map[string]platform.Record
	watchers map[chan platform.Event]string

	down  atomic.Bool
	calls atomic.Int64
}

func newFakeKV() *fakeKV {
	return &fakeKV{
		records:  make(map[string]platform.Record),
		watchers: make(map[chan platform.Event]string),
	}
}

func (f *fakeKV) Get(_ context.Context, key string) (platform.Record, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return platform.Record{}, platform.ErrUnavailable.New("down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	record, ok := f.records[key]
	if !ok {
		return platform.Record{}, platform.ErrNotFound.New("key %q", key)
	}
	return record, nil
}

func (f *fakeKV) List(_ context.Context, prefix string) ([]platform.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []platform.Record
	for key, record := range f.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, swap platform.Swap) (platform.SwapResult, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return platform.SwapResult{}, platform.ErrUnavailable.New("down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.records[swap.Key]
	if current.ModRevision != swap.Expect {
		return platform.SwapResult{Current: current}, nil
	}
	f.revision++
	record := platform.Record{Key: swap.Key, Value: swap.Value, CreateRevision: current.CreateRevision, ModRevision: f.revision}
	if current.ModRevision == 0 {
		record.CreateRevision = f.revision
	}
	if swap.Delete {
		delete(f.records, swap.Key)
	} else {
		f.records[swap.Key] = record
	}
	for watcher, prefix := range f.watchers {
		if strings.HasPrefix(swap.Key, prefix) {
			watcher <- platform.Event{Record: record, Deleted: swap.Delete}
		}
	}
	return platform.SwapResult{Swapped: true, Revision: f.revision}, nil
}

func (f *fakeKV) CompareAndSwapEach(ctx context.Context, swaps []platform.Swap) ([]platform.SwapResult, error) {
	results := make([]platform.SwapResult, len(swaps))
	for i, swap := range swaps {
		result, err := f.CompareAndSwap(ctx, swap)
		if err != nil {
			return nil, err
		}
		results[i] = result
	}
	return results, nil
}

func (f *fakeKV) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.ErrInvalid.New("no leases")
}

func (f *fakeKV) KeepAlive(context.Context, platform.LeaseID) error {
	return platform.ErrLeaseNotFound.New("no leases")
}

func (f *fakeKV) Revoke(context.Context, platform.LeaseID) error { return nil }

func (f *fakeKV) Watch(ctx context.Context, prefix string, _ platform.Revision) (<-chan platform.Event, error) {
	if f.down.Load() {
		return nil, platform.ErrUnavailable.New("down")
	}
	const room = 1024
	events := make(chan platform.Event, room)
	f.mu.Lock()
	f.watchers[events] = prefix
	f.mu.Unlock()
	context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watchers, events)
		close(events)
	})
	return events, nil
}

// flakyKV loses a share of the calls and of the answers of one client.
type flakyKV struct {
	*fakeKV
	mu     sync.Mutex
	random *rand.Rand
}

func (f *flakyKV) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *flakyKV) Get(ctx context.Context, key string) (platform.Record, error) {
	runtime.Gosched()
	if f.draw() < 0.1 {
		return platform.Record{}, platform.ErrUnavailable.New("lost read")
	}
	return f.fakeKV.Get(ctx, key)
}

func (f *flakyKV) CompareAndSwap(ctx context.Context, swap platform.Swap) (platform.SwapResult, error) {
	runtime.Gosched()
	switch chance := f.draw(); {
	case chance < 0.1:
		return platform.SwapResult{}, platform.ErrUnavailable.New("lost before the service")
	case chance < 0.2:
		return platform.SwapResult{}, platform.ErrOutcomeUnknown.New("lost call")
	case chance < 0.4:
		_, _ = f.fakeKV.CompareAndSwap(ctx, swap)
		return platform.SwapResult{}, platform.ErrOutcomeUnknown.New("lost answer")
	}
	return f.fakeKV.CompareAndSwap(ctx, swap)
}
