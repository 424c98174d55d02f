// Package claim binds each idempotency key to one attempt on one agent incarnation, through
// compare-and-swap in the platform's key-value service. An entry claims the key of a non-idempotent
// request before it dispatches the request; the goroutine that serves the request calls Claim and
// Rebind, and one goroutine runs Run.
//
// Invariants:
//   - At any time at most one attempt is bound to a key. Only the call that bound it dispatches it.
//   - A claim is replaced only by Rebind, whose caller has proof that the bound attempt never runs.
//   - A claim is stored for as long as any entry accepts its key: keys carry their time of creation,
//     claims are attached to leases that outlast MaxTTL, and a claim that is confirmed too late is not
//     used.
//
// The service counts calls, not swaps, so the claims of one entry share calls of up to maxBatch swaps.
package claim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Request asks for a claim.
type Request struct {
	Organisation string
	Key          Key
	Digest       Digest
	// TTL is the configured lifetime of keys.
	TTL time.Duration
	// Executor identifies the attempt that runs when the claim succeeds.
	Executor Executor
}

// Stats counts what a Claimer did.
type Stats struct {
	// Claims and Rebinds count confirmed bindings of this process.
	Claims  int64 `json:"claims"`
	Rebinds int64 `json:"rebinds"`
	// Taken counts claims that found the key bound to another attempt.
	Taken int64 `json:"taken"`
	// Calls counts swap calls to the service, Retried the retries after a call without a result.
	Calls   int64 `json:"calls"`
	Retried int64 `json:"repeated"`
	Failed  int64 `json:"failed"`
}

// Claimer makes the claims of one entry. It is safe for concurrent use.
type Claimer struct {
	kv      metastore.KV
	now     func() time.Time
	leases  *leases
	pending chan *write
	stopped chan struct{}

	claims, rebinds, taken atomic.Int64
	calls, retried, failed atomic.Int64
}

// New returns a Claimer that calls now to read the wall clock. Claims wait until Run is called.
func New(kv metastore.KV, now func() time.Time) *Claimer {
	return &Claimer{
		kv:      kv,
		now:     now,
		leases:  newLeases(kv),
		pending: make(chan *write),
		stopped: make(chan struct{}),
	}
}

// Claim binds the key to the request's executor, or returns the binding that the key already has.
// Errors are ErrExpiredKey, ErrFutureKey, ErrKeyReused, ErrUnavailable and ErrUnreadable; after an
// error the executor's attempt must not be dispatched.
func (c *Claimer) Claim(ctx context.Context, r Request) (Binding, error) {
	if err := r.Key.Check(c.now(), r.TTL); err != nil {
		return Binding{}, err
	}
	binding, err := c.bind(ctx, r, 0)
	if err != nil {
		return Binding{}, err
	}
	if binding.Mine {
		c.claims.Add(1)
	} else {
		c.taken.Add(1)
	}
	return binding, nil
}

// Rebind replaces a binding by the request's executor. The caller must have proof that the replaced
// attempt has not run and never will. When another caller has replaced it first, Rebind returns that
// caller's binding. Errors are those of Claim.
func (c *Claimer) Rebind(ctx context.Context, r Request, replaced Binding) (Binding, error) {
	binding, err := c.bind(ctx, r, replaced.revision)
	if err == nil && binding.Mine {
		c.rebinds.Add(1)
	}
	return binding, err
}

// Exists reports whether the key is bound to an attempt. It returns ErrUnavailable when the service
// cannot be read.
func (c *Claimer) Exists(ctx context.Context, organisation string, key Key) (bool, error) {
	_, err := c.kv.Get(ctx, recordKey(organisation, key))
	if errorx.IsOfType(err, metastore.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, ErrUnavailable.Wrap(err, "cannot read the claim of key %s", key)
	}
	return true, nil
}

func (c *Claimer) bind(ctx context.Context, r Request, expect metastore.Revision) (Binding, error) {
	if err := r.Key.checkConfirmed(c.now()); err != nil {
		return Binding{}, err
	}
	value, err := encode(r.Executor, r.Digest)
	if err != nil {
		return Binding{}, ErrUnreadable.Wrap(err, "cannot encode the claim")
	}
	result, err := c.write(ctx, &write{
		created: r.Key.Time(),
		swap:    metastore.Swap{Key: recordKey(r.Organisation, r.Key), Expect: expect, Value: value},
		done:    make(chan writeResult, 1),
	})
	if err != nil {
		c.failed.Add(1)
		return Binding{}, ErrUnavailable.Wrap(err, "the claim of key %s was not confirmed", r.Key)
	}
	// The write may have been delayed, so the age of the key is checked again.
	if err := r.Key.checkConfirmed(c.now()); err != nil {
		return Binding{}, err
	}
	return bindingAfterSwap(r, result)
}

// bindingAfterSwap returns the binding that is stored after a swap. A swap that was refused because an
// earlier copy of it had taken effect finds its own attempt.
func bindingAfterSwap(r Request, result metastore.SwapResult) (Binding, error) {
	if result.Swapped {
		return Binding{Executor: r.Executor, Mine: true, revision: result.Revision}, nil
	}
	if result.Current.ModRevision == 0 {
		return Binding{}, ErrExpiredKey.New("the claim of key %s no longer exists", r.Key)
	}
	binding, err := decode(result.Current, r.Digest)
	if err != nil {
		return Binding{}, err
	}
	binding.Mine = binding.Attempt == r.Executor.Attempt
	return binding, nil
}

// Stats returns the counters.
func (c *Claimer) Stats() Stats {
	return Stats{
		Claims:  c.claims.Load(),
		Rebinds: c.rebinds.Load(),
		Taken:   c.taken.Load(),
		Calls:   c.calls.Load(),
		Retried: c.retried.Load(),
		Failed:  c.failed.Load(),
	}
}
