package memkv_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/metastore/metastoretest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestContract(t *testing.T) {
	metastoretest.TestKV(t, func(c *qt.C) metastoretest.KV {
		store := memkv.New()
		c.Cleanup(store.Close)
		setFaults := func(f memkv.Faults) error {
			store.SetFaults(f)
			return nil
		}
		return metastoretest.KV{KV: store, SetFaults: setFaults}
	})
}

func TestCallsAreCounted(t *testing.T) {
	c := qt.New(t)
	store := memkv.New()
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	lease, err := store.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(store.KeepAlive(ctx, lease), qt.IsNil)
	_, err = store.CompareAndSwap(ctx, metastore.Swap{Key: "a", Lease: lease})
	c.Assert(err, qt.IsNil)
	_, err = store.List(ctx, "")
	c.Assert(err, qt.IsNil)
	events, err := store.Watch(ctx, "", 0)
	c.Assert(err, qt.IsNil)
	<-events
	calls := store.Calls()
	c.Assert(calls, qt.Equals, memkv.Calls{Grant: 1, KeepAlive: 1, Swap: 1, List: 1, Watch: 1, OpenWatches: 1})
	c.Assert(calls.Writes(), qt.Equals, int64(3))
	c.Assert(calls.Reads(), qt.Equals, int64(2))
	store.Expire(lease)
	_, err = store.Get(ctx, "a")
	c.Assert(errorx.IsOfType(err, metastore.ErrNotFound), qt.IsTrue)
	cancel()
}
