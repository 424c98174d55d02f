package registry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/backend"
)

var start = time.Unix(1000, 0)

func filled(n int) *Registry {
	r := New()
	for i := range n {
		r.Put(backend.Server{ID: fmt.Sprint("s", i)})
	}
	return r
}

// A server whose registration ends while the store is well is gone at once.
func TestRemovedServerIsGone(t *testing.T) {
	c := qt.New(t)
	r := filled(6)
	r.Remove("s0", start)
	c.Assert(r.Servers(start), qt.HasLen, 5)
}

// Registrations that lapsed during an outage keep their servers in use until they had time to return.
func TestLapsesOfAnOutageAreHeld(t *testing.T) {
	c := qt.New(t)
	r := filled(6)
	r.StoreAway()
	r.StoreBack(start)
	r.Remove("s0", start.Add(50*time.Millisecond))
	c.Assert(r.Servers(start.Add(time.Second)), qt.HasLen, 6)
	r.Put(backend.Server{ID: "s0"})
	c.Assert(r.Servers(start.Add(5*time.Second)), qt.HasLen, 6)
	r.Remove("s1", start.Add(6*time.Second))
	c.Assert(r.Servers(start.Add(6*time.Second)), qt.HasLen, 5)
}

// One that doesn't return in time is gone.
func TestServerThatDoesNotReturnIsGone(t *testing.T) {
	c := qt.New(t)
	r := filled(6)
	r.StoreAway()
	r.StoreBack(start)
	r.Remove("s0", start)
	c.Assert(r.Servers(start.Add(returnFor+time.Millisecond)), qt.HasLen, 5)
	c.Assert(r.Lapsing(), qt.IsFalse)
}

// Many registrations that vanish together are taken for an outage that nobody noticed.
func TestMassLapseIsHeld(t *testing.T) {
	c := qt.New(t)
	r := filled(6)
	for i := range 4 {
		r.Remove(fmt.Sprint("s", i), start)
	}
	c.Assert(r.Servers(start.Add(100*time.Millisecond)), qt.HasLen, 6)
	c.Assert(r.Servers(start.Add(returnFor+time.Millisecond)), qt.HasLen, 2)
}

// A server that said it was leaving is not held.
func TestDrainedServerIsNotHeld(t *testing.T) {
	c := qt.New(t)
	r := filled(6)
	r.StoreAway()
	r.StoreBack(start)
	r.Put(backend.Server{ID: "s0", State: backend.Draining})
	r.Remove("s0", start)
	c.Assert(r.Servers(start), qt.HasLen, 5)
}
