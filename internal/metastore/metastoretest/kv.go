// Package metastoretest is the contract suite that every implementation of metastore's interfaces must
// pass. The tests of the fakes and of the wire adapters call it.
package metastoretest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// KV is an implementation under test with the fault switches of the service behind it.
type KV struct {
	metastore.KV
	SetFaults func(memkv.Faults) error
}

// TestKV tests the contract of metastore.KV. open must return an empty service on each call.
func TestKV(t *testing.T, open func(c *qt.C) KV) {
	tests := map[string]func(c *qt.C, kv KV){
		"SwapCreatesChangesAndDeletes":     testSwap,
		"SwapsOfOneCallAreIndependent":     testSwapEach,
		"OnlyOneOfManyRacersSwaps":         testRace,
		"ListReturnsPrefixInOrder":         testList,
		"LargeValuesAreRefused":            testLargeValue,
		"ExpiredLeaseDeletesItsKeys":       testLeaseExpiry,
		"RevokedLeaseDeletesItsKeys":       testRevoke,
		"WatchHasNoGaps":                   testWatch,
		"WatchEndsWithItsContext":          testWatchContext,
		"LostResponseLeavesOutcomeUnknown": testLostResponse,
		"DownServiceIsUnavailable":         testDown,
		"EndedContextIsNotSuccess":         testContext,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			test(c, open(c))
		})
	}
}

func timeoutContext(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	c.Cleanup(cancel)
	return ctx
}

func assertType(c *qt.C, err error, want *errorx.Type) {
	c.Helper()
	c.Assert(errorx.IsOfType(err, want), qt.IsTrue, qt.Commentf("got %v, want %s", err, want.FullName()))
}

func eventually(c *qt.C, holds func() bool) {
	c.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	c.Fatal("condition not met in time")
}

func testSwap(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	_, err := kv.Get(ctx, "a")
	assertType(c, err, metastore.ErrNotFound)

	created, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Value: []byte("1")})
	c.Assert(err, qt.IsNil)
	c.Assert(created.Swapped, qt.IsTrue)
	c.Assert(created.Revision > 0, qt.IsTrue)

	refused, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Value: []byte("2")})
	c.Assert(err, qt.IsNil)
	c.Assert(refused.Swapped, qt.IsFalse)
	c.Assert(refused.Current, qt.DeepEquals, metastore.Record{
		Key: "a", Value: []byte("1"), CreateRevision: created.Revision, ModRevision: created.Revision, Era: created.Era,
	})

	changed, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Expect: created.Revision, Value: []byte("2")})
	c.Assert(err, qt.IsNil)
	c.Assert(changed.Swapped, qt.IsTrue)
	record, err := kv.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(record, qt.DeepEquals, metastore.Record{
		Key: "a", Value: []byte("2"), CreateRevision: created.Revision, ModRevision: changed.Revision, Era: changed.Era,
	})

	deleted, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Expect: changed.Revision, Delete: true})
	c.Assert(err, qt.IsNil)
	c.Assert(deleted.Swapped, qt.IsTrue)
	_, err = kv.Get(ctx, "a")
	assertType(c, err, metastore.ErrNotFound)

	refused, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Expect: changed.Revision, Value: []byte("3")})
	c.Assert(err, qt.IsNil)
	c.Assert(refused.Swapped, qt.IsFalse)
	c.Assert(refused.Current, qt.DeepEquals, metastore.Record{Key: "a"})
}

func testSwapEach(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	existing, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "held", Value: []byte("x")})
	c.Assert(err, qt.IsNil)
	results, err := kv.CompareAndSwapEach(ctx, []metastore.Swap{
		{Key: "new", Value: []byte("1")},
		{Key: "held", Value: []byte("stolen")},
		{Key: "absent", Expect: existing.Revision, Value: []byte("1")},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(results, qt.HasLen, 3)
	c.Assert(results[0].Swapped, qt.IsTrue)
	c.Assert(results[1].Swapped, qt.IsFalse)
	c.Assert(string(results[1].Current.Value), qt.Equals, "x")
	c.Assert(results[2].Swapped, qt.IsFalse)
	c.Assert(results[2].Current.ModRevision, qt.Equals, metastore.Revision(0))
	record, err := kv.Get(ctx, "new")
	c.Assert(err, qt.IsNil)
	c.Assert(record.ModRevision, qt.Equals, results[0].Revision)

	_, err = kv.CompareAndSwapEach(ctx, []metastore.Swap{{Key: "twice"}, {Key: "twice"}})
	assertType(c, err, metastore.ErrInvalid)
}

func testRace(c *qt.C, kv KV) {
	const racers = 16
	ctx := timeoutContext(c)
	results := make([]metastore.SwapResult, racers)
	var running sync.WaitGroup
	for i := range racers {
		running.Go(func() {
			swap := metastore.Swap{Key: "claim", Value: fmt.Appendf(nil, "%d", i)}
			var err error
			results[i], err = kv.CompareAndSwap(ctx, swap)
			c.Check(err, qt.IsNil)
		})
	}
	running.Wait()
	record, err := kv.Get(ctx, "claim")
	c.Assert(err, qt.IsNil)
	winners := 0
	for i, r := range results {
		if r.Swapped {
			winners++
			c.Assert(string(record.Value), qt.Equals, fmt.Sprint(i))
			continue
		}
		c.Assert(r.Current, qt.DeepEquals, record)
	}
	c.Assert(winners, qt.Equals, 1)
}

func testList(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	for _, key := range []string{"p/b", "p/a", "q", "p", "p/\U0010ffff"} {
		_, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: key, Value: []byte(key)})
		c.Assert(err, qt.IsNil)
	}
	keys := func(prefix string) (keys []string) {
		records, err := kv.List(ctx, prefix)
		c.Assert(err, qt.IsNil)
		for _, r := range records {
			c.Assert(string(r.Value), qt.Equals, r.Key)
			keys = append(keys, r.Key)
		}
		return keys
	}
	c.Assert(keys("p/"), qt.DeepEquals, []string{"p/a", "p/b", "p/\U0010ffff"})
	c.Assert(keys(""), qt.DeepEquals, []string{"p", "p/a", "p/b", "p/\U0010ffff", "q"})
	c.Assert(keys("z"), qt.IsNil)
}

func testLargeValue(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	_, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Value: make([]byte, memkv.MaxValueBytes+1)})
	assertType(c, err, metastore.ErrInvalid)
	_, err = kv.Get(ctx, "a")
	assertType(c, err, metastore.ErrNotFound)
	_, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Value: make([]byte, memkv.MaxValueBytes)})
	c.Assert(err, qt.IsNil)
}

// leasedKey creates a key under a lease of one second.
func leasedKey(c *qt.C, kv KV) metastore.LeaseID {
	ctx := timeoutContext(c)
	lease, err := kv.Grant(ctx, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(lease, qt.Not(qt.Equals), metastore.LeaseID{})
	_, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "leased", Value: []byte("x"), Lease: lease})
	c.Assert(err, qt.IsNil)
	record, err := kv.Get(ctx, "leased")
	c.Assert(err, qt.IsNil)
	c.Assert(record.Lease, qt.Equals, lease)
	c.Assert(kv.KeepAlive(ctx, lease), qt.IsNil)
	return lease
}

func testLeaseExpiry(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	lease := leasedKey(c, kv)
	eventually(c, func() bool {
		_, err := kv.Get(ctx, "leased")
		return errorx.IsOfType(err, metastore.ErrNotFound)
	})
	assertType(c, kv.KeepAlive(ctx, lease), metastore.ErrLeaseNotFound)
	_, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "late", Lease: lease})
	assertType(c, err, metastore.ErrLeaseNotFound)
}

func testRevoke(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	lease := leasedKey(c, kv)
	c.Assert(kv.Revoke(ctx, lease), qt.IsNil)
	_, err := kv.Get(ctx, "leased")
	assertType(c, err, metastore.ErrNotFound)
	assertType(c, kv.Revoke(ctx, lease), metastore.ErrLeaseNotFound)
}

func testWatch(c *qt.C, kv KV) {
	const writes = 100
	ctx := timeoutContext(c)
	first, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "w/a", Value: []byte("0")})
	c.Assert(err, qt.IsNil)
	second, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "w/a", Expect: first.Revision, Value: []byte("1")})
	c.Assert(err, qt.IsNil)
	events, err := kv.Watch(ctx, "w/", first.Revision)
	c.Assert(err, qt.IsNil)
	at := second.Revision
	for i := 2; i < writes; i++ {
		_, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: fmt.Sprintf("other/%d", i)})
		c.Assert(err, qt.IsNil)
		result, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "w/a", Expect: at, Value: fmt.Appendf(nil, "%d", i)})
		c.Assert(err, qt.IsNil)
		at = result.Revision
	}
	_, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "w/a", Expect: at, Delete: true})
	c.Assert(err, qt.IsNil)
	last := first.Revision
	for i := 1; i < writes; i++ {
		event := <-events
		c.Assert(string(event.Record.Value), qt.Equals, fmt.Sprint(i))
		c.Assert(event.Record.ModRevision > last, qt.IsTrue)
		c.Assert(event.Record.CreateRevision, qt.Equals, first.Revision)
		last = event.Record.ModRevision
	}
	event := <-events
	c.Assert(event.Deleted, qt.IsTrue)
	c.Assert(event.Record.Key, qt.Equals, "w/a")
	c.Assert(event.Record.ModRevision > last, qt.IsTrue)
}

func testWatchContext(c *qt.C, kv KV) {
	ctx, cancel := context.WithCancel(timeoutContext(c))
	events, err := kv.Watch(ctx, "", 0)
	c.Assert(err, qt.IsNil)
	cancel()
	for range events {
		c.Fatal("an event without a change")
	}
}

func testLostResponse(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	c.Assert(kv.SetFaults(memkv.Faults{LoseResponses: 1}), qt.IsNil)
	_, err := kv.CompareAndSwap(ctx, metastore.Swap{Key: "a", Value: []byte("kept")})
	assertType(c, err, metastore.ErrOutcomeUnknown)
	record, err := kv.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(record.Value), qt.Equals, "kept")
}

func testDown(c *qt.C, kv KV) {
	ctx := timeoutContext(c)
	events, err := kv.Watch(ctx, "", 0)
	c.Assert(err, qt.IsNil)
	_, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "before"})
	c.Assert(err, qt.IsNil)
	c.Assert((<-events).Record.Key, qt.Equals, "before")

	c.Assert(kv.SetFaults(memkv.Faults{Down: true}), qt.IsNil)
	_, open := <-events
	c.Assert(open, qt.IsFalse)
	_, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "during"})
	assertType(c, err, metastore.ErrUnavailable)
	_, err = kv.Get(ctx, "before")
	assertType(c, err, metastore.ErrUnavailable)
	_, err = kv.List(ctx, "")
	assertType(c, err, metastore.ErrUnavailable)
	_, err = kv.Watch(ctx, "", 0)
	assertType(c, err, metastore.ErrUnavailable)

	c.Assert(kv.SetFaults(memkv.Faults{}), qt.IsNil)
	records, err := kv.List(ctx, "")
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 1)
}

func testContext(c *qt.C, kv KV) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c.Assert(kv.SetFaults(memkv.Faults{SlowMS: 500}), qt.IsNil)
	_, err := kv.Get(ctx, "a")
	assertType(c, err, metastore.ErrUnavailable)
	_, err = kv.CompareAndSwap(ctx, metastore.Swap{Key: "a"})
	c.Assert(err, qt.IsNotNil)
	c.Assert(strings.HasPrefix(errorx.GetTypeName(err), "metastore."), qt.IsTrue)
	c.Assert(kv.SetFaults(memkv.Faults{}), qt.IsNil)
}
