package limits

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startLimiters starts limiters that draw over loopback and returns them with their servers by instance.
func startLimiters(c *qt.C, count int, limit Limit) ([]*Limiter, map[string]*grpc.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	c.Cleanup(func() { cancel(); group.Wait() })
	var entries []Entry
	var limiters []*Limiter
	servers := make(map[string]*grpc.Server)
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		entry := Entry{Instance: fmt.Sprintf("entry-%d", i), ControlAddress: listener.Addr().String()}
		entries = append(entries, entry)
		pool := grpcpool.New(count)
		c.Cleanup(pool.Close)
		limiter := NewLimiter(Options{
			Self:        entry.Instance,
			Entries:     func() []Entry { return entries },
			LimitOf:     func(string) Limit { return limit },
			Connections: pool,
		})
		server := grpc.NewServer()
		wire.RegisterQuotaServer(server, limiter)
		group.Go(func() { _ = server.Serve(listener) })
		c.Cleanup(server.Stop)
		limiters = append(limiters, limiter)
		servers[entry.Instance] = server
	}
	for _, limiter := range limiters {
		group.Go(func() { limiter.Run(ctx) })
	}
	return limiters, servers
}

// spend sends every limiter 100 requests a second and returns how many passed.
func spend(limiters []*Limiter, length time.Duration) int {
	passed := 0
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		for _, limiter := range limiters {
			if ok, _ := limiter.Allow("org", 1); ok {
				passed++
			}
		}
	}
	return passed
}

func TestEntriesShareALimitOverTheWire(t *testing.T) {
	c := qt.New(t)
	limiters, servers := startLimiters(c, 3, Limit{Requests: 40})
	passed := spend(limiters, time.Second)
	// 40/s for 1 s, one burst, the shares of the first interval and one request for each entry.
	c.Assert(passed <= 40+40+40+3, qt.IsTrue, qt.Commentf("passed %d", passed))
	c.Assert(passed >= 30, qt.IsTrue, qt.Commentf("passed %d", passed))

	owner, _ := ownerOf("org", "", limiters[0].options.Entries())
	servers[owner.Instance].Stop()
	var others []*Limiter
	for _, limiter := range limiters {
		if limiter.options.Self != owner.Instance {
			others = append(others, limiter)
		}
	}
	spend(others, 3*time.Second)
	for _, limiter := range others {
		c.Assert(limiter.State().LostOwners, qt.Equals, 1)
	}
	passed = spend(others, time.Second)
	// Each entry spends a third of the limit, and its share of one interval that may have accumulated.
	c.Assert(float64(passed) <= 2*(40.0/3)*(1+1)+2, qt.IsTrue, qt.Commentf("passed %d", passed))
	c.Assert(passed > 0, qt.IsTrue)
}
