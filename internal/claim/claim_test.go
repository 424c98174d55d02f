package claim

import (
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testbed is a key-value service and a wall clock that tests advance.
type testbed struct {
	t  *testing.T
	kv *memkv.Store

	mu  sync.Mutex
	now time.Time
}

func newTestbed(t *testing.T) *testbed {
	bed := &testbed{t: t, kv: memkv.New(), now: time.Now()}
	t.Cleanup(bed.kv.Close)
	return bed
}

func (b *testbed) clock() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *testbed) advance(by time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.now.Add(by)
}

// entry starts the claimer of one entry.
func (b *testbed) entry() *Claimer {
	claimer := New(b.kv, b.clock)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		claimer.Run(ctx)
	}()
	b.t.Cleanup(func() { cancel(); <-stopped })
	return claimer
}

func keyAt(created time.Time, serial uint64) Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], serial|1<<63)
	return Key{id: id}
}

func executor(c *qt.C, incarnation uint64) Executor {
	id, err := attempt.NewID()
	c.Assert(err, qt.IsNil)
	return Executor{Attempt: id, Instance: "agent-1", Address: "127.0.0.1:9", Incarnation: incarnation}
}

func request(c *qt.C, key Key) Request {
	return Request{Organisation: "harbour", Key: key, Digest: Digest{1}, TTL: time.Hour, Executor: executor(c, 1)}
}

func TestKeysMustCarryTheirTime(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "booking-7", uuid.New().String()} {
		_, err := ParseKey(text)
		c.Assert(errorx.IsOfType(err, ErrInvalidKey), qt.IsTrue, qt.Commentf("key %q", text))
	}
	now := time.UnixMilli(time.Now().UnixMilli())
	key, err := ParseKey(keyAt(now, 1).String())
	c.Assert(err, qt.IsNil)
	c.Assert(key.Time().Equal(now), qt.IsTrue)
	c.Assert(key.Check(now.Add(time.Hour), time.Hour), qt.IsNil)
	c.Assert(errorx.IsOfType(key.Check(now.Add(time.Hour+time.Second), time.Hour), ErrExpiredKey), qt.IsTrue)
	c.Assert(errorx.IsOfType(key.Check(now.Add(MaxTTL+time.Second), 100*MaxTTL), ErrExpiredKey), qt.IsTrue)
	c.Assert(key.Check(now.Add(-MaxClockSkew), time.Hour), qt.IsNil)
	c.Assert(errorx.IsOfType(key.Check(now.Add(-MaxClockSkew-time.Second), time.Hour), ErrFutureKey), qt.IsTrue)
}

func TestOneOfManyClaimsWins(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entries := []*Claimer{bed.entry(), bed.entry(), bed.entry()}
	const keys, callers = 20, 9
	bindingsByKey := make([][]Binding, keys)
	var mu sync.Mutex
	var calling sync.WaitGroup
	for k := range keys {
		key := keyAt(bed.clock(), uint64(k))
		for caller := range callers {
			r := request(c, key)
			calling.Go(func() {
				binding, err := entries[caller%len(entries)].Claim(context.Background(), r)
				c.Check(err, qt.IsNil)
				mu.Lock()
				defer mu.Unlock()
				bindingsByKey[k] = append(bindingsByKey[k], binding)
			})
		}
	}
	calling.Wait()
	for _, bindings := range bindingsByKey {
		mine := 0
		for _, binding := range bindings {
			c.Assert(binding.Executor, qt.Equals, bindings[0].Executor)
			if binding.Mine {
				mine++
			}
		}
		c.Assert(mine, qt.Equals, 1)
	}
}

func TestOtherRequestUnderTheSameKeyIsRefused(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry := bed.entry()
	r := request(c, keyAt(bed.clock(), 1))
	_, err := entry.Claim(context.Background(), r)
	c.Assert(err, qt.IsNil)
	r.Digest = Digest{2}
	r.Executor = executor(c, 1)
	_, err = entry.Claim(context.Background(), r)
	c.Assert(errorx.IsOfType(err, ErrKeyReused), qt.IsTrue)

	r.Organisation = "quarry"
	binding, err := entry.Claim(context.Background(), r)
	c.Assert(err, qt.IsNil)
	c.Assert(binding.Mine, qt.IsTrue)
}

// The service executes a claim but its reply is lost. The retry must recognise the entry's own claim.
func TestLostReplyIsResolvedByRetry(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry := bed.entry()
	_, err := entry.Claim(context.Background(), request(c, keyAt(bed.clock(), 1)))
	c.Assert(err, qt.IsNil)

	bed.kv.SetFaults(memkv.Faults{LoseResponses: 1})
	r := request(c, keyAt(bed.clock(), 2))
	binding, err := entry.Claim(context.Background(), r)
	c.Assert(err, qt.IsNil)
	c.Assert(binding.Mine, qt.IsTrue)
	c.Assert(binding.Executor, qt.Equals, r.Executor)
	c.Assert(entry.Stats().Retried, qt.Equals, int64(1))

	again, err := bed.entry().Claim(context.Background(), request(c, r.Key))
	c.Assert(err, qt.IsNil)
	c.Assert(again.Mine, qt.IsFalse)
	c.Assert(again.Executor, qt.Equals, r.Executor)
}

// The replies to all tries are lost. The entry must not dispatch the attempt, although its claim may be stored.
func TestUnconfirmedWriteIsNotAClaim(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry := bed.entry()
	_, err := entry.Claim(context.Background(), request(c, keyAt(bed.clock(), 1)))
	c.Assert(err, qt.IsNil)

	bed.kv.SetFaults(memkv.Faults{LoseResponses: maxTries})
	r := request(c, keyAt(bed.clock(), 2))
	_, err = entry.Claim(context.Background(), r)
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)

	// The write took effect, so the key stays bound to the attempt that was never dispatched.
	other, err := entry.Claim(context.Background(), request(c, r.Key))
	c.Assert(err, qt.IsNil)
	c.Assert(other.Mine, qt.IsFalse)
	c.Assert(other.Executor, qt.Equals, r.Executor)
}

func TestOutageRefusesClaims(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry := bed.entry()
	bed.kv.SetFaults(memkv.Faults{Down: true})
	r := request(c, keyAt(bed.clock(), 1))
	_, err := entry.Claim(context.Background(), r)
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)
	bed.kv.SetFaults(memkv.Faults{})
	binding, err := entry.Claim(context.Background(), r)
	c.Assert(err, qt.IsNil)
	c.Assert(binding.Mine, qt.IsTrue)
}

// Two entries have proof that the attempt of the same claim never runs. Only the first may replace the claim;
// the other must get the new binding, or a second attempt would run.
func TestRebindReplacesOnlyTheProvenClaim(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry, other := bed.entry(), bed.entry()
	first, err := entry.Claim(context.Background(), request(c, keyAt(bed.clock(), 1)))
	c.Assert(err, qt.IsNil)
	key := keyAt(bed.clock(), 1)

	second, err := other.Rebind(context.Background(), request(c, key), first)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Mine, qt.IsTrue)
	late, err := entry.Rebind(context.Background(), request(c, key), first)
	c.Assert(err, qt.IsNil)
	c.Assert(late.Mine, qt.IsFalse)
	c.Assert(late.Executor, qt.Equals, second.Executor)

	bed.kv.SetFaults(memkv.Faults{LoseResponses: 1})
	third, err := entry.Rebind(context.Background(), request(c, key), late)
	c.Assert(err, qt.IsNil)
	c.Assert(third.Mine, qt.IsTrue)
}

// A request could run twice if its key were accepted after the lease of its claim had expired, so the lease must
// end after the last possible use of the key.
func TestClaimOutlivesItsKey(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry := bed.entry()
	key := keyAt(bed.clock(), 1)
	_, err := entry.Claim(context.Background(), request(c, key))
	c.Assert(err, qt.IsNil)
	created := bed.clock()
	lastUse := created.Add(MaxTTL + writeAllowance + MaxClockSkew)
	leaseEnd := bucketEnd(bucketOf(key.Time()))
	c.Assert(leaseEnd.Add(-MaxClockSkew).After(lastUse), qt.IsTrue)

	bed.advance(MaxTTL + time.Second)
	r := request(c, key)
	r.TTL = 10 * MaxTTL
	_, err = entry.Claim(context.Background(), r)
	c.Assert(errorx.IsOfType(err, ErrExpiredKey), qt.IsTrue)
}

// hookedKV calls beforeSwap between an entry's check of a key and its write.
type hookedKV struct {
	*memkv.Store
	beforeSwap func()
}

func (h *hookedKV) CompareAndSwapEach(ctx context.Context, swaps []metastore.Swap) ([]metastore.SwapResult, error) {
	h.beforeSwap()
	return h.Store.CompareAndSwapEach(ctx, swaps)
}

// The entry pauses between its check of the key and its write. When it continues, the key has expired.
func TestClaimThatIsConfirmedTooLateIsNotUsed(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	pauseEntry := func() { bed.advance(MaxTTL + 2*writeAllowance) }
	claimer := New(&hookedKV{Store: bed.kv, beforeSwap: pauseEntry}, bed.clock)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); claimer.Run(ctx) }()
	defer func() { cancel(); <-stopped }()

	_, err := claimer.Claim(context.Background(), request(c, keyAt(bed.clock(), 1)))
	c.Assert(errorx.IsOfType(err, ErrExpiredKey), qt.IsTrue)
}

func TestExpiredLeaseIsReplaced(t *testing.T) {
	c := qt.New(t)
	bed := newTestbed(t)
	entry := bed.entry()
	_, err := entry.Claim(context.Background(), request(c, keyAt(bed.clock(), 1)))
	c.Assert(err, qt.IsNil)
	record, err := bed.kv.Get(context.Background(), recordKey("harbour", keyAt(bed.clock(), 1)))
	c.Assert(err, qt.IsNil)
	bed.kv.Expire(record.Lease)
	binding, err := entry.Claim(context.Background(), request(c, keyAt(bed.clock(), 2)))
	c.Assert(err, qt.IsNil)
	c.Assert(binding.Mine, qt.IsTrue)
}
