package rollout

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

func newLessor(kv metastore.KV, owner string, now *time.Time) *lease.Lessor {
	lessor := NewLessor(kv, "assistant", owner)
	lessor.Clock = func() time.Time { return *now }
	return lessor
}

func TestOneHolderAtATimeWithRisingFences(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New()
	defer kv.Close()
	now := time.Unix(0, 0)
	first, second := newLessor(kv, "first", &now), newLessor(kv, "second", &now)

	holding, err := first.Acquire(ctx)
	c.Assert(err, qt.IsNil)
	_, err = second.Acquire(ctx)
	c.Assert(errorx.IsOfType(err, lease.ErrHeld), qt.IsTrue)
	holderFence, err := ReadHolder(ctx, kv, "assistant")
	c.Assert(err, qt.IsNil)
	c.Assert(holderFence, qt.Equals, holding.Fence)

	kv.Expire(holding.Lease)
	holderFence, err = ReadHolder(ctx, kv, "assistant")
	c.Assert(err, qt.IsNil)
	c.Assert(holderFence, qt.Equals, uint64(0))
	now = now.Add(renewInterval)
	_, err = first.Renew(ctx, holding)
	c.Assert(errorx.IsOfType(err, lease.ErrLost), qt.IsTrue)
	next, err := second.Acquire(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(next.Fence > holding.Fence, qt.IsTrue)
}

func TestHoldingEndsByTheHoldersClockDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New()
	defer kv.Close()
	now := time.Unix(0, 0)
	lessor := newLessor(kv, "first", &now)
	holding, err := lessor.Acquire(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(holding.Until.Sub(now) < leaseTTL, qt.IsTrue)

	now = now.Add(renewInterval)
	renewed, err := lessor.Renew(ctx, holding)
	c.Assert(err, qt.IsNil)
	c.Assert(renewed.Until.After(holding.Until), qt.IsTrue)

	kv.SetFaults(memkv.Faults{Down: true})
	now = now.Add(renewInterval)
	kept, err := lessor.Renew(ctx, renewed)
	c.Assert(err, qt.IsNil)
	c.Assert(kept.Until, qt.Equals, renewed.Until)
	now = renewed.Until
	_, err = lessor.Renew(ctx, kept)
	c.Assert(errorx.IsOfType(err, lease.ErrLost), qt.IsTrue)
}

func TestLostResponseToTheLeaseCreationIsResolvedByReading(t *testing.T) {
	c := qt.New(t)
	kv := memkv.New()
	defer kv.Close()
	now := time.Unix(0, 0)
	lessor := newLessor(&lostSwapReplies{Store: kv}, "first", &now)
	holding, err := lessor.Acquire(context.Background())
	c.Assert(err, qt.IsNil)
	holderFence, err := ReadHolder(context.Background(), kv, "assistant")
	c.Assert(err, qt.IsNil)
	c.Assert(holderFence, qt.Equals, holding.Fence)
}

// lostSwapReplies carries out compare-and-swap writes and loses their replies.
type lostSwapReplies struct{ *memkv.Store }

func (l *lostSwapReplies) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	_, _ = l.Store.CompareAndSwap(ctx, swap)
	return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.New("reply lost")
}
