package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

// A server leaves long after an outage in which nothing changed. It isn't used any more at once, although its removal is
// the first change since the outage.
func TestRemovalLongAfterOutageIsFinal(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	for _, id := range []string{"s1", "s2", "s3"} {
		put(c, store, "servers/"+id, "127.0.0.1:1")
	}
	f := startFleetOn(c, "a", store)
	servers := func() (n int) {
		f.loop.Call(func() { n = len(f.registry.Servers(bootclock.Now())) })
		return n
	}
	eventually(c, "all servers are known", func() bool { return servers() == 3 })
	store.SetFaults(memkv.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	store.SetFaults(memkv.Faults{})
	time.Sleep(maxFollowRetry + returnedFor)
	record, err := store.Get(context.Background(), "servers/s1")
	c.Assert(err, qt.IsNil)
	_, err = store.CompareAndSwap(context.Background(), metastore.Swap{Key: "servers/s1", Expect: record.ModRevision, Delete: true})
	c.Assert(err, qt.IsNil)
	removedAt := time.Now()
	eventually(c, "the server is gone", func() bool { return servers() == 2 })
	c.Assert(time.Since(removedAt) < time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(removedAt)))
}

// The first call after an outage returns at once, so that the end of the outage is known before the next change.
func TestFirstCallAfterOutageDoesNotWait(t *testing.T) {
	c := qt.New(t)
	for contactTime, want := range map[time.Duration]time.Duration{
		0: minFollowWait, 3 * time.Second: 2 * time.Second, time.Minute: maxFollowWait,
	} {
		f := New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), ContactTime: contactTime})
		c.Assert(f.pollWait("servers/", false), qt.Equals, want)
		c.Assert(f.pollWait("servers/", true), qt.Equals, time.Duration(0))
	}
}

// Guards against a call that lasts until the configuration is no longer confirmed.
func TestCallForTheConfigurationEndsWhileItIsConfirmed(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Platform: Platform{Documents: documents{}}, Self: self("a"), Log: newTestLog(c), ContactTime: time.Minute})
	c.Check(f.pollWait("op/", false), qt.Equals, time.Duration(0))
	for _, age := range []time.Duration{0, 3 * time.Second, configurationTTL} {
		f.confirmedAt.Store(bootclock.Now().Add(-age).UnixNano())
		wait := f.pollWait("op/", false)
		c.Check(wait <= max(0, configurationTTL-followMargin-age), qt.IsTrue, qt.Commentf("%s at the age of %s", wait, age))
	}
}
