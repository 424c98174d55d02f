package grpcpool

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/grpc/connectivity"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A pool above its limit closes the connection that was used least recently. A connection that is used between the
// others must stay open.
func TestPoolKeepsTheConnectionsUsedLast(t *testing.T) {
	c := qt.New(t)
	const limit = 3
	pool := New(limit)
	defer pool.Close()
	first, err := pool.Get("127.0.0.1:1")
	c.Assert(err, qt.IsNil)
	second, err := pool.Get("127.0.0.1:2")
	c.Assert(err, qt.IsNil)
	for port := 3; port < 3+2*limit; port++ {
		again, err := pool.Get("127.0.0.1:1")
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.Equals, first)
		_, err = pool.Get(fmt.Sprintf("127.0.0.1:%d", port))
		c.Assert(err, qt.IsNil)
		c.Assert(pool.Len() <= limit, qt.IsTrue)
	}
	c.Assert(second.GetState(), qt.Equals, connectivity.Shutdown)
	c.Assert(first.GetState(), qt.Not(qt.Equals), connectivity.Shutdown)
}
