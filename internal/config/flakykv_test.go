package config

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

// setDown makes all calls to the service fail, or work again.
func setDown(kv *memkv.Store, down bool) { kv.SetFaults(memkv.Faults{Down: down}) }

// flakyKV loses a fraction of the calls and responses of one client.
type flakyKV struct {
	*memkv.Store
	mu     sync.Mutex
	random *rand.Rand
}

func (f *flakyKV) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *flakyKV) Get(ctx context.Context, key string) (metastore.Record, error) {
	runtime.Gosched()
	if f.randomFloat() < 0.1 {
		return metastore.Record{}, metastore.ErrUnavailable.New("lost read")
	}
	return f.Store.Get(ctx, key)
}

func (f *flakyKV) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	runtime.Gosched()
	switch chance := f.randomFloat(); {
	case chance < 0.1:
		return metastore.SwapResult{}, metastore.ErrUnavailable.New("call lost before it was sent")
	case chance < 0.2:
		return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.New("lost call")
	case chance < 0.4:
		_, _ = f.Store.CompareAndSwap(ctx, swap)
		return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.New("lost response")
	}
	return f.Store.CompareAndSwap(ctx, swap)
}
