package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/quarantine"
)

// Crashes that different gateways have seen count together, every gateway holds the part, and one that serves a request
// with it releases it everywhere.
func TestGatewaysHoldAndReleasePartsTogether(t *testing.T) {
	c := qt.New(t)
	store := memkv.New()
	defer store.Close()
	put(c, store, "op/config", "1")
	put(c, store, "servers/s1", "127.0.0.1:1")
	fleets := make([]*Fleet, 3)
	for i := range fleets {
		fleets[i] = startFleet(c, fmt.Sprint("g", i), &switchableStore{store, make(chan struct{})})
	}
	bad, sound := []quarantine.Part{{Scope: "m", ID: "bad"}}, []quarantine.Part{{Scope: "m", ID: "sound"}}
	refused := func(f *Fleet, parts []quarantine.Part) bool {
		p, refusal := f.Place(context.Background(), &dispatch.Request{Service: "app", TargetLatency: time.Second}, parts)
		if refusal == nil {
			f.RecordEnd(p, dispatch.Served, true, quarantine.Request{Parts: sound})
			return false
		}
		return refusal.Reason == dispatch.Quarantined
	}
	for _, f := range fleets {
		eventually(c, "each gateway knows the others and the server", func() bool {
			var known int
			f.loop.Call(func() { known = len(f.members.Live(bootclock.Now())) })
			_, refusal := f.Place(context.Background(), &dispatch.Request{Service: "app", TargetLatency: time.Second}, bad)
			return known == len(fleets)-1 && refusal == nil
		})
	}
	for i, f := range fleets {
		f.RecordCrash(quarantine.Crash{Server: fmt.Sprint("old", i), At: bootclock.Now(), Suspects: []quarantine.Suspect{
			{Part: bad[0], Request: uint64(i), SentAt: bootclock.Now()},
		}})
		time.Sleep(20 * time.Millisecond)
		for _, f := range fleets {
			c.Assert(refused(f, sound), qt.IsFalse)
		}
	}
	started := time.Now()
	for _, f := range fleets {
		eventually(c, "each gateway holds the part", func() bool { return refused(f, bad) })
		c.Assert(refused(f, sound), qt.IsFalse)
	}
	c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
	fleets[1].loop.Post(func() { fleets[1].quarantine.RecordServed(bootclock.Now(), "s1", quarantine.Request{Parts: bad}) })
	for _, f := range fleets {
		eventually(c, "each gateway releases the part", func() bool { return !refused(f, bad) })
	}
}
