package fleet

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Guards against a restarted store that others hold for long known as soon as one gateway has read it: they saved to it at once.
func TestHeartbeatConfirmsNoEpochThatWasJustRead(t *testing.T) {
	c := qt.New(t)
	f := New(Options{
		Self: &wire.Peer{Instance: "a", FailureDomain: "a"}, Log: eventlog.New(&bytes.Buffer{}), Counters: NewCounters(tally.NoopScope),
	})
	defer f.Log.Close()
	const store = "10.0.0.1:1"
	f.catalogue.SetStores([]routing.CacheStore{{Address: store, CapacityTokens: 20_000, Managed: true}}, 18_432)
	received := bootclock.Now()
	f.catalogue.Apply(store, kvcache.Batch{Epoch: 2}, received.Add(-feedWait), received)
	beat := &wire.Beat{}
	f.addEpochs(beat)
	c.Assert(beat.GetStoreEpochs(), qt.HasLen, 1)
	c.Assert(beat.GetStoreEpochs()[0].GetAgeMs(), qt.Equals, uint32(0))
	later := received.Add(time.Second)
	f.catalogue.Apply(store, kvcache.Batch{Epoch: 2}, later, later)
	beat = &wire.Beat{}
	f.addEpochs(beat)
	c.Assert(beat.GetStoreEpochs()[0].GetAgeMs(), qt.Equals, uint32(1000))
}
