package claim

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// maxBatch bounds the swaps of one call.
	maxBatch = 128
	// batchWait is how long the first claim of a batch waits for others.
	batchWait = 2 * time.Millisecond
	// maxCalls bounds calls under way at once. Claims gather meanwhile, so that batches grow as the
	// service slows down.
	maxCalls = 1
	// commitTimeout bounds a batch with all its tries.
	commitTimeout = 2 * time.Second
	// callTimeout bounds one call to the service.
	callTimeout = 600 * time.Millisecond
	// retryWait is the pause before a call is repeated.
	retryWait = 20 * time.Millisecond
	// maxTries bounds the calls for one batch.
	maxTries = 3
)

// write is one swap on its way to the service.
type write struct {
	created time.Time
	swap    metastore.Swap
	done    chan written
}

type written struct {
	result metastore.SwapResult
	err    error
}

// write hands a swap to the committer and waits for its result. When ctx ends first the swap may
// still take effect.
func (c *Claimer) write(ctx context.Context, w *write) (metastore.SwapResult, error) {
	select {
	case c.pending <- w:
	case <-c.stopped:
		return metastore.SwapResult{}, metastore.ErrUnavailable.New("claims are closed")
	case <-ctx.Done():
		return metastore.SwapResult{}, metastore.ErrUnavailable.Wrap(ctx.Err(), "claim was not sent")
	}
	select {
	case outcome := <-w.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.Wrap(ctx.Err(), "claim was not confirmed")
	}
}

// Run gathers claims into batches and commits them until ctx ends. It returns when no call is under
// way any more.
func (c *Claimer) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	defer close(c.stopped)
	slots := make(chan struct{}, maxCalls)
	var held []*write
	for {
		batch, rest := c.gather(ctx, held)
		held = rest
		if len(batch) == 0 {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			fail(append(batch, held...), metastore.ErrUnavailable.Wrap(ctx.Err(), "claims are closing"))
			return
		}
		running.Go(func() {
			defer func() { <-slots }()
			c.commit(ctx, batch)
		})
	}
}

// gather returns the next batch, one swap for each key, and the swaps held for the batch after it.
// The batch is empty when ctx has ended.
func (c *Claimer) gather(ctx context.Context, held []*write) (batch, rest []*write) {
	keys := make(map[string]bool)
	add := func(w *write) {
		if keys[w.swap.Key] || len(batch) >= maxBatch {
			rest = append(rest, w)
			return
		}
		keys[w.swap.Key] = true
		batch = append(batch, w)
	}
	for _, w := range held {
		add(w)
	}
	if len(batch) == 0 {
		select {
		case w := <-c.pending:
			add(w)
		case <-ctx.Done():
			return nil, nil
		}
	}
	timer := time.NewTimer(batchWait)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case w := <-c.pending:
			add(w)
		case <-timer.C:
			return batch, rest
		case <-ctx.Done():
			return batch, rest
		}
	}
	return batch, rest
}

func fail(batch []*write, err error) {
	for _, w := range batch {
		w.done <- written{err: err}
	}
}

// commit writes a batch. A call whose answer is lost is repeated: the repeated swaps are refused
// where the first call took effect, and show the stored claims.
func (c *Claimer) commit(ctx context.Context, batch []*write) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var results []metastore.SwapResult
	var err error
	for try := range maxTries {
		if try > 0 {
			c.repeated.Add(1)
			if !pause(ctx, retryWait<<try) {
				break
			}
		}
		if results, err = c.call(ctx, batch); err == nil {
			break
		}
		if errorx.IsOfType(err, metastore.ErrLeaseNotFound) {
			c.leases.reset()
		}
	}
	if err != nil {
		fail(batch, err)
		return
	}
	for i, w := range batch {
		w.done <- written{result: results[i]}
	}
}

func (c *Claimer) call(ctx context.Context, batch []*write) ([]metastore.SwapResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	swaps := make([]metastore.Swap, len(batch))
	for i, w := range batch {
		lease, err := c.leases.get(ctx, w.created, c.now())
		if err != nil {
			return nil, err
		}
		swaps[i] = w.swap
		swaps[i].Lease = lease
	}
	c.calls.Add(1)
	results, err := c.kv.CompareAndSwapEach(ctx, swaps)
	if err == nil && len(results) != len(swaps) {
		return nil, metastore.ErrOutcomeUnknown.New("%d results for %d swaps", len(results), len(swaps))
	}
	return results, err
}

// pause waits and returns false when ctx ended first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
