package lease

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

// A process that starts again doesn't wait for the lease of its earlier run, and takes no other process's lease.
func TestEarlierRunIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	store := memkv.New()
	c.Cleanup(store.Close)
	lessor := func(owner string) *Lessor {
		process, _, _ := strings.Cut(owner, "/")
		return New(store, Options{
			Key: "k", Owner: owner, TTL: time.Minute, Margin: time.Second, RenewInterval: time.Second,
			IsEarlierRun: func(o string) bool { return strings.HasPrefix(o, process+"/") },
		})
	}
	ctx := context.Background()
	first, err := lessor("a/1").Acquire(ctx)
	c.Assert(err, qt.IsNil)
	_, err = lessor("a/1").Acquire(ctx)
	c.Check(errorx.IsOfType(err, ErrHeld), qt.IsTrue, qt.Commentf("the same run: %v", err))
	_, err = lessor("b/1").Acquire(ctx)
	c.Check(errorx.IsOfType(err, ErrHeld), qt.IsTrue, qt.Commentf("another process: %v", err))
	second, err := lessor("a/2").Acquire(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(second.Fence > first.Fence, qt.IsTrue)
	c.Check([]bool{first.FromEarlierRun, second.FromEarlierRun}, qt.DeepEquals, []bool{false, true})
	_, err = lessor("a/1").Renew(ctx, Holding{Until: time.Now().Add(time.Minute), Lease: first.Lease})
	c.Check(errorx.IsOfType(err, ErrLost), qt.IsTrue, qt.Commentf("the earlier run: %v", err))
}
