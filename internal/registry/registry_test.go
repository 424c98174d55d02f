package registry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/backend"
)

var start = time.Unix(1000, 0)

func newFilled(n int) *Registry {
	r := New()
	for i := range n {
		r.Put(backend.Server{ID: fmt.Sprint("s", i)})
	}
	return r
}

// A server whose registration ends while the store is reachable is removed immediately.
func TestRemovedServerIsNotUsed(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.Remove("s0", start)
	c.Assert(r.Servers(start), qt.HasLen, 5)
}

// Servers whose registrations expired during an outage stay in use until the registrations had time to return.
func TestServersStayInUseAfterOutage(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.StoreUnreachable()
	r.StoreReachable(start)
	r.Remove("s0", start.Add(50*time.Millisecond))
	c.Assert(r.Servers(start.Add(time.Second)), qt.HasLen, 6)
	r.Put(backend.Server{ID: "s0"})
	c.Assert(r.Servers(start.Add(5*time.Second)), qt.HasLen, 6)
	r.Remove("s1", start.Add(6*time.Second))
	c.Assert(r.Servers(start.Add(6*time.Second)), qt.HasLen, 5)
}

// A server whose registration doesn't return in time after an outage is removed.
func TestServerThatDoesNotReturnIsRemoved(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.StoreUnreachable()
	r.StoreReachable(start)
	r.Remove("s0", start)
	c.Assert(r.Servers(start.Add(returnTimeout+time.Millisecond)), qt.HasLen, 5)
	c.Assert(r.HasExpired(), qt.IsFalse)
}

// Many registrations that expire together are treated as an outage that this process has not detected.
func TestServersStayInUseAfterMassExpiry(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	for i := range 4 {
		r.Remove(fmt.Sprint("s", i), start)
	}
	c.Assert(r.Servers(start.Add(100*time.Millisecond)), qt.HasLen, 6)
	c.Assert(r.Servers(start.Add(returnTimeout+time.Millisecond)), qt.HasLen, 2)
}

// A draining server whose registration ends is removed immediately, even after an outage.
func TestDrainedServerIsRemovedDespiteOutage(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.StoreUnreachable()
	r.StoreReachable(start)
	r.Put(backend.Server{ID: "s0", State: backend.Draining})
	r.Remove("s0", start)
	c.Assert(r.Servers(start), qt.HasLen, 5)
}
