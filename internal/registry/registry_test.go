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
	c.Assert(r.IsUnsettled(), qt.IsFalse)
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

// Registrations that a restored store lacks may return like those that expired in an outage.
func TestServersStayInUseAfterRestore(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.StoreRestored(start)
	r.Remove("s0", start)
	c.Assert(r.Servers(start.Add(time.Second)), qt.HasLen, 6)
	c.Assert(r.Servers(start.Add(returnTimeout+time.Millisecond)), qt.HasLen, 5)
}

// Guards against a registration of an earlier run that a restored store has until the server writes again, and against an expired one.
func TestOnlyRegistrationsOfPresentRunsAreCurrent(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	c.Check(r.IsCurrent("s0", start), qt.IsTrue)
	r.StoreRestored(start)
	c.Check(r.IsCurrent("s0", start.Add(returnTimeout-time.Millisecond)), qt.IsFalse)
	c.Check(r.IsCurrent("s0", start.Add(returnTimeout)), qt.IsTrue)
	r.Remove("s0", start)
	c.Check(r.Servers(start), qt.HasLen, 6)
	c.Check(r.IsCurrent("s0", start.Add(returnTimeout)), qt.IsFalse)
}

// A restored store may list a draining server as ready. The same run of the server stays draining; a new run doesn't.
func TestDrainingOutlivesRestore(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.Put(backend.Server{ID: "s", StartedMS: 1, State: backend.Draining})
	r.Put(backend.Server{ID: "s", StartedMS: 1, State: backend.Ready})
	c.Assert(r.Servers(start)[0].State, qt.Equals, backend.Draining)
	r.Put(backend.Server{ID: "s", StartedMS: 2, State: backend.Ready})
	c.Assert(r.Servers(start)[0].State, qt.Equals, backend.Ready)
}

// A registration from before a server left is not used when a restored store lists it again, unless it is renewed
// or outlives the time in which that of a server that has left expires.
func TestResurrectedRegistration(t *testing.T) {
	c := qt.New(t)
	r := newFilled(1)
	r.Remove("s0", start)
	r.PutResurrected(backend.Server{ID: "s0"}, start)
	c.Assert(r.Servers(start.Add(time.Second)), qt.HasLen, 0)
	c.Assert(r.IsUnsettled(), qt.IsTrue)
	r.Remove("s0", start.Add(2*time.Second))
	c.Assert(r.Servers(start.Add(2*time.Second)), qt.HasLen, 0, qt.Commentf("it doesn't count as one that may return"))
	r.PutResurrected(backend.Server{ID: "s0"}, start)
	r.Put(backend.Server{ID: "s0"})
	c.Assert(r.Servers(start.Add(time.Second)), qt.HasLen, 1)
	r.PutResurrected(backend.Server{ID: "s0"}, start)
	c.Assert(r.Servers(start.Add(resurrectedTimeout)), qt.HasLen, 1)
}

// A server that left while the store was reachable has left, also when an outage begins right afterwards.
func TestServerThatLeftBeforeOutageStaysGone(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.Remove("s0", start)
	c.Assert(r.Servers(start), qt.HasLen, 5)
	r.StoreUnreachable()
	c.Assert(r.Servers(start.Add(1500*time.Millisecond)), qt.HasLen, 5)
	r.StoreReachable(start.Add(1600 * time.Millisecond))
	c.Assert(r.Servers(start.Add(1700*time.Millisecond)), qt.HasLen, 5)
}

// Servers whose registrations name them no longer aren't kept in use as those that an outage made expire are.
func TestDroppedServersDoNotCountAsExpired(t *testing.T) {
	c := qt.New(t)
	r := newFilled(4)
	r.StoreUnreachable()
	r.Remove("s0", start)
	c.Assert(r.Servers(start), qt.HasLen, 4, qt.Commentf("it expired in an outage"))
	r.StoreReachable(start)
	for _, id := range []string{"s0", "s1", "s2"} {
		r.Drop(id)
	}
	c.Assert(r.Servers(start), qt.HasLen, 1)
	r.Put(backend.Server{ID: "s1"})
	c.Assert(r.Servers(start), qt.HasLen, 2)
}

// Guards against servers whose removals are received together, late, and count as expired although the store was available.
func TestServersRemovedWhileTheStoreIsAvailableAreNotUsed(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	r.SetRenewalInterval(time.Second)
	now := start
	for range 4 {
		now = now.Add(time.Second)
		r.RecordReply(now, now)
	}
	r.StoreUnreachable()
	r.StoreReachable(now)
	for i := range 4 {
		r.Remove(fmt.Sprint("s", i), now)
	}
	c.Check(r.Servers(now), qt.HasLen, 2)
}

// Guards against servers that are out of use as soon as some of the registrations that expired with theirs have returned.
func TestServersStayInUseWhileOthersOfAMassExpiryReturn(t *testing.T) {
	c := qt.New(t)
	r := newFilled(6)
	for i := range 4 {
		r.Remove(fmt.Sprint("s", i), start)
	}
	c.Check(r.Servers(start), qt.HasLen, 6)
	for i := range 3 {
		r.Put(backend.Server{ID: fmt.Sprint("s", i)})
	}
	c.Check(r.Servers(start.Add(massExpiryWindow+time.Millisecond)), qt.HasLen, 6)
	c.Check(r.Servers(start.Add(returnTimeout+time.Millisecond)), qt.HasLen, 5)
}
