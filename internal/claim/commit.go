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
	// maxCalls bounds concurrent calls. Claims queue during a call, so that batches grow as the service
	// slows down.
	maxCalls = 1
	// commitTimeout bounds the commit of a batch, with all its tries.
	commitTimeout = 2 * time.Second
	// callTimeout bounds one call to the service.
	callTimeout = 600 * time.Millisecond
	// retryWait is the base of the pause before a retry, which doubles with each try.
	retryWait = 20 * time.Millisecond
	// maxTries bounds the calls for one batch.
	maxTries = 3
)

// write is one swap to be sent to the service.
type write struct {
	created time.Time
	swap    metastore.Swap
	done    chan writeResult
}

type writeResult struct {
	result metastore.SwapResult
	err    error
}

// write passes a swap to Run and waits for its result. It returns ErrUnavailable when the swap was not
// sent, and ErrOutcomeUnknown when ctx ends before the result: the swap may still take effect.
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

// Run gathers claims into batches and commits them until ctx ends. It returns after all calls have
// ended.
func (c *Claimer) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	defer close(c.stopped)
	slots := make(chan struct{}, maxCalls)
	var deferred []*write
	for {
		batch, stillDeferred := c.gather(ctx, deferred)
		deferred = stillDeferred
		if len(batch) == 0 {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			failAll(append(batch, deferred...), metastore.ErrUnavailable.Wrap(ctx.Err(), "claims are closing"))
			return
		}
		running.Go(func() {
			defer func() { <-slots }()
			c.commit(ctx, batch)
		})
	}
}

// gather returns the next batch, which has at most one swap for each key, and the swaps deferred to
// later batches. The batch is empty when ctx has ended.
func (c *Claimer) gather(ctx context.Context, deferred []*write) (batch, stillDeferred []*write) {
	keys := make(map[string]bool)
	add := func(w *write) {
		if keys[w.swap.Key] || len(batch) >= maxBatch {
			stillDeferred = append(stillDeferred, w)
			return
		}
		keys[w.swap.Key] = true
		batch = append(batch, w)
	}
	for _, w := range deferred {
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
			return batch, stillDeferred
		case <-ctx.Done():
			return batch, stillDeferred
		}
	}
	return batch, stillDeferred
}

func failAll(batch []*write, err error) {
	for _, w := range batch {
		w.done <- writeResult{err: err}
	}
}

// commit writes a batch. It retries a call whose reply is lost: the retried swaps are refused if the
// first call took effect, and their results contain the stored claims.
func (c *Claimer) commit(ctx context.Context, batch []*write) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	var results []metastore.SwapResult
	var err error
	for try := range maxTries {
		if try > 0 {
			c.retried.Add(1)
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
		failAll(batch, err)
		return
	}
	for i, w := range batch {
		w.done <- writeResult{result: results[i]}
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

// pause waits. It returns false when ctx ends first.
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
