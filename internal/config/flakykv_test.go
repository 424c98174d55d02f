package config

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"

	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/platform/memkv"
)

// setDown makes the service fail or answer again.
func setDown(kv *memkv.Store, down bool) { kv.SetFaults(memkv.Faults{Down: down}) }

// flakyKV loses a share of the calls and of the answers of one client.
type flakyKV struct {
	*memkv.Store
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
	return f.Store.Get(ctx, key)
}

func (f *flakyKV) CompareAndSwap(ctx context.Context, swap platform.Swap) (platform.SwapResult, error) {
	runtime.Gosched()
	switch chance := f.draw(); {
	case chance < 0.1:
		return platform.SwapResult{}, platform.ErrUnavailable.New("lost before the service")
	case chance < 0.2:
		return platform.SwapResult{}, platform.ErrOutcomeUnknown.New("lost call")
	case chance < 0.4:
		_, _ = f.Store.CompareAndSwap(ctx, swap)
		return platform.SwapResult{}, platform.ErrOutcomeUnknown.New("lost answer")
	}
	return f.Store.CompareAndSwap(ctx, swap)
}
