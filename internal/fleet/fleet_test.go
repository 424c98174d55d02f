package fleet

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/leaktest"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/relaytest"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestMain(m *testing.M) { leaktest.VerifyMain(m) }

const eventuallyTimeout = 15 * time.Second

// documents reads plain values: op/config holds a version, op/weights/MODEL a weight version, op/evacuate/DOMAIN {}, servers/ID an
// address and, after spaces, a failure domain and a software version.
type documents struct{}

func (documents) OperatorPrefix() string     { return "op/" }
func (documents) ServerPrefix() string       { return "servers/" }
func (documents) ServerID(key string) string { return strings.TrimPrefix(key, "servers/") }

func (documents) EvacuatedDomain(key string) string {
	domain, _ := strings.CutPrefix(key, "op/evacuate/")
	if domain == key {
		return ""
	}
	return domain
}

func (documents) Read(key string, value []byte) (Document, error) {
	if strings.HasPrefix(key, "servers/") {
		address, rest, _ := strings.Cut(string(value), " ")
		domain, software, _ := strings.Cut(rest, " ")
		return Document{Server: &backend.Server{ID: strings.TrimPrefix(key, "servers/"), Service: "app", Address: address, FailureDomain: domain, SoftwareVersion: software, Slots: 4}}, nil
	}
	if strings.HasPrefix(key, "op/evacuate/") {
		if string(value) != "{}" {
			return Document{}, fmt.Errorf("evacuation %q", value)
		}
		return Document{}, nil
	}
	var version int64
	if _, err := fmt.Sscan(string(value), &version); err != nil {
		return Document{}, err
	}
	if model, ok := strings.CutPrefix(key, "op/weights/"); ok {
		return Document{Weights: &TargetWeights{Model: model, Version: version}}, nil
	}
	return Document{Configuration: &routing.Configuration{Version: version, Services: []routing.Service{{Name: "app"}}}}, nil
}

type unavailablePlatform struct{}

func (unavailablePlatform) Report(context.Context, string) (backend.Report, error) {
	return backend.Report{}, weights.ErrUnavailable.New("no engine")
}

func (unavailablePlatform) Switch(context.Context, weights.Order) (weights.Outcome, error) {
	return weights.Refused, nil
}

func (unavailablePlatform) Events(context.Context, string, int64, time.Duration) (kvcache.Batch, error) {
	return kvcache.Batch{}, weights.ErrUnavailable.New("no store")
}

func (unavailablePlatform) List(context.Context, string) (kvcache.Batch, error) {
	return kvcache.Batch{}, weights.ErrUnavailable.New("no store")
}

func (unavailablePlatform) Free(context.Context, string, int64, []kvcache.Key) error { return nil }

// switchableStore is the metadata store with reads that fail once offline is closed.
type switchableStore struct {
	*memkv.Store
	offline chan struct{}
}

func (g *switchableStore) isDown() bool {
	select {
	case <-g.offline:
		return true
	default:
		return false
	}
}

func (g *switchableStore) Snapshot(ctx context.Context, prefix string) (metastore.Listing, error) {
	if g.isDown() {
		return metastore.Listing{}, metastore.ErrUnavailable.New("store is down")
	}
	return g.Store.Snapshot(ctx, prefix)
}

func (g *switchableStore) Changes(ctx context.Context, prefix string, from metastore.Position, wait time.Duration) (metastore.Changes, error) {
	if g.isDown() {
		return metastore.Changes{}, metastore.ErrUnavailable.New("store is down")
	}
	changes, err := g.Store.Changes(ctx, prefix, from, min(wait, 200*time.Millisecond))
	if g.isDown() {
		return metastore.Changes{}, metastore.ErrUnavailable.New("store is down")
	}
	return changes, err
}

// self returns a gateway that nobody can reach.
func self(name string) *wire.Peer { return &wire.Peer{Instance: name, FailureDomain: "a"} }

func newTestLog(c *qt.C) *eventlog.Log {
	log := eventlog.New(&bytes.Buffer{})
	c.Cleanup(log.Close)
	return log
}

// startFleet runs a Fleet called name on the store.
func startFleet(c *qt.C, name string, store *switchableStore, seeds ...string) *Fleet {
	return startFleetOn(c, name, store, seeds...)
}

// startFleetOn runs a Fleet called name on any metadata store. Its failure domain is what follows "@" in name, or "a".
func startFleetOn(c *qt.C, name string, store Metastore, seeds ...string) *Fleet {
	return startFleetBehind(c, name, store, func(controlAddress string) string { return controlAddress }, seeds...)
}

// startFleetBehind is startFleetOn for a Fleet that tells the others the address which announce returns for its control
// address.
func startFleetBehind(c *qt.C, name string, store Metastore, announce func(controlAddress string) string, seeds ...string) *Fleet {
	f, _ := startStoppableFleet(c, name, store, func(o *Options) {
		o.Self.ControlAddress, o.Seeds = announce(o.Self.GetControlAddress()), seeds
	})
	return f
}

// startStoppableFleet is startFleetOn for a Fleet with other options, which may be stopped before the end of the test.
func startStoppableFleet(c *qt.C, name string, store Metastore, configure func(*Options)) (f *Fleet, stop func()) {
	beatAddress, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	controlAddress, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	log := eventlog.New(&bytes.Buffer{})
	_, domain, found := strings.Cut(name, "@")
	if !found {
		domain = "a"
	}
	options := Options{
		Platform: Platform{Metastore: store, Documents: documents{}, Engines: unavailablePlatform{}, Stores: unavailablePlatform{}},
		Log:      log, Counters: NewCounters(tally.NoopScope), Incarnation: process.NewIncarnation(),
		Self:          &wire.Peer{Instance: name, BeatAddress: beatAddress, ControlAddress: controlAddress, FailureDomain: domain},
		LeaseTTL:      time.Second,
		WeightsWithin: 10 * time.Second,
	}
	configure(&options)
	f = New(options)
	server, err := process.ServeControl(controlAddress, func(s *grpc.Server) { f.Register(s) })
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
		server.Stop()
		log.Close()
	})
	c.Cleanup(stop)
	return f, stop
}

func eventually(c *qt.C, description string, condition func() bool) {
	c.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("condition not met in time: %s", description)
}

// awaitPeers waits until each gateway hears all the others, and checks that none had to wait for the next listing of announcements.
func awaitPeers(c *qt.C, fleets ...*Fleet) {
	c.Helper()
	at := time.Now()
	for _, f := range fleets {
		eventually(c, f.Self.GetInstance()+" hears the others", func() bool { return liveCount(f) == len(fleets)-1 })
	}
	c.Check(time.Since(at) < peerListInterval/2, qt.IsTrue, qt.Commentf("the gateways heard each other after %s", time.Since(at)))
}

func startStore(c *qt.C) *memkv.Store {
	store := memkv.New()
	c.Cleanup(store.Close)
	return store
}

func put(c *qt.C, store *memkv.Store, key, value string) {
	record, err := store.Get(context.Background(), key)
	if err != nil {
		record.ModRevision = 0
	}
	_, err = store.CompareAndSwap(context.Background(), metastore.Swap{Key: key, Value: []byte(value), Expect: record.ModRevision})
	c.Assert(err, qt.IsNil)
}

func (f *Fleet) version() int64 {
	if table := f.Table(); table != nil {
		return table.Version
	}
	return 0
}

// A gateway that can't reach the metadata store receives configurations and servers from other gateways.
func TestGatewayCatchesUpFromPeersDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	reachable, offline := &switchableStore{store, make(chan struct{})}, &switchableStore{store, make(chan struct{})}
	a, b := startFleet(c, "a", reachable), startFleet(c, "b", offline)
	eventually(c, "both have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
	eventually(c, "b has received a beat of a", func() bool {
		n := 0
		b.loop.Call(func() { n = len(b.members.Live(bootclock.Now())) })
		return n == 1
	})
	close(offline.offline)
	put(c, store, "op/config", "2")
	put(c, store, "servers/s1", "127.0.0.1:1")
	startedAt := time.Now()
	eventually(c, "the unreachable gateway has version 2", func() bool { return b.version() == 2 })
	c.Assert(time.Since(startedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(startedAt)))
	eventually(c, "it has the server", func() bool {
		n := 0
		b.loop.Call(func() { n = len(b.registry.Servers(bootclock.Now())) })
		return n == 1
	})
}

// A gateway that knows of a later configuration and can't get it doesn't know who is isolated, so that its organisations share no
// KV cache until it has caught up.
func TestGatewayThatIsBehindSharesNoCache(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	online, offline := &switchableStore{store, make(chan struct{})}, &switchableStore{store, make(chan struct{})}
	unreachable := func(string) string { return "127.0.0.1:1" }
	a, b := startFleetBehind(c, "a", online, unreachable), startFleet(c, "b", offline)
	eventually(c, "both have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
	// The boundary of requests on public routes, which share cache while no organisation is isolated.
	shared := a.CacheBoundary("")
	c.Assert(b.CacheBoundary(""), qt.Equals, shared)
	awaitPeers(c, a, b)
	close(offline.offline)
	put(c, store, "op/config", "2")
	eventually(c, "one gateway has version 2", func() bool { return a.version() == 2 })
	changedAt := time.Now()
	eventually(c, "the other one shares no cache", func() bool { return b.CacheBoundary("") != shared })
	c.Assert(b.version(), qt.Equals, int64(1))
	c.Assert(time.Since(changedAt) < maxConfigurationLag+time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(changedAt)))
	c.Assert(a.CacheBoundary(""), qt.Equals, shared)
}

// A gateway that is never long behind any one configuration isn't behind, however fast they change.
func TestConfigurationLagIsCountedByVersion(t *testing.T) {
	c := qt.New(t)
	var lag configurationLag
	now := time.Unix(1000, 0)
	for version := range int64(50) {
		c.Assert(lag.observe(version, version+1, now.Add(time.Duration(version)*maxConfigurationLag/4)), qt.IsFalse)
	}
	now = now.Add(50 * maxConfigurationLag / 4)
	c.Assert(lag.observe(50, 51, now), qt.IsFalse)
	c.Assert(lag.observe(50, 60, now.Add(maxConfigurationLag)), qt.IsTrue)
	c.Assert(lag.observe(51, 60, now.Add(maxConfigurationLag)), qt.IsFalse)
	c.Assert(lag.observe(51, 60, now.Add(2*maxConfigurationLag)), qt.IsTrue)
	c.Assert(lag.observe(60, 60, now.Add(2*maxConfigurationLag)), qt.IsFalse)
}

// A gateway that starts while it can't reach the metadata store reads the configuration from the seeds.
func TestNewGatewayReadsFromSeeds(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "7")
	a := startFleet(c, "a", &switchableStore{store, make(chan struct{})})
	eventually(c, "the first gateway has version 7", func() bool { return a.version() == 7 })
	offline := &switchableStore{store, make(chan struct{})}
	close(offline.offline)
	b := startFleet(c, "b", offline, "127.0.0.1:1", a.Self.GetControlAddress())
	eventually(c, "the new gateway has version 7", func() bool { return b.version() == 7 })
}

// Exactly one gateway is the leader. When it leaves, another becomes the leader with a higher fence.
func TestOneGatewayLeads(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	fleets := []*Fleet{startFleet(c, "a", &switchableStore{store, make(chan struct{})}), startFleet(c, "b", &switchableStore{store, make(chan struct{})})}
	leaders := func() (list []*Fleet) {
		for _, f := range fleets {
			f.loop.Call(func() {
				if f.lead.fence > 0 {
					list = append(list, f)
				}
			})
		}
		return list
	}
	eventually(c, "one gateway is the leader", func() bool { return len(leaders()) == 1 })
	first := leaders()[0]
	fence := int64(0)
	first.loop.Call(func() { fence = first.lead.fence })
	first.Leave()
	eventually(c, "the other gateway is the leader", func() bool {
		list := leaders()
		return len(list) == 1 && list[0] != first
	})
	next := leaders()[0]
	next.loop.Call(func() { c.Check(next.lead.fence > fence, qt.IsTrue) })
}

// Gateways that read through another one receive the servers' clock from it and compute their own offset. The
// clocks since boot of two hosts differ: bounding fetches by the other gateway's offset made 40 in 100 fail.
func TestReadersTellTheServersClock(t *testing.T) {
	c := qt.New(t)
	f := New(Options{
		Self: &wire.Peer{Instance: "a", FailureDomain: "a"}, Log: eventlog.New(&bytes.Buffer{}), Counters: NewCounters(tally.NoopScope),
	})
	defer f.Log.Close()
	_, known := f.ServerClock(bootclock.Now())
	c.Assert(known, qt.IsFalse)
	now := bootclock.Now()
	serverNow := int64(1_700_000_000_000)
	f.applyReadings(&wire.CacheReply{ClockMs: serverNow}, now, now)
	ms, known := f.ServerClock(now.Add(time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(ms, qt.Equals, serverNow+1000)
}

// In large deployments two gateways of each failure domain read for the others. A gateway that starts takes a role only
// when it knows the others, or after a while.
func TestReadersPerFailureDomain(t *testing.T) {
	c := qt.New(t)
	readers := 0
	now := bootclock.Now()
	for me := range 12 {
		f := New(Options{
			Self: &wire.Peer{Instance: fmt.Sprintf("g%02d", me), ControlAddress: fmt.Sprintf("10.0.0.%d:1", me), FailureDomain: "a"},
			Log:  eventlog.New(&bytes.Buffer{}), Counters: NewCounters(tally.NoopScope),
		})
		for other := range 12 {
			name := fmt.Sprintf("g%02d", other)
			f.members.HandleBeat(&wire.Beat{Sequence: 1, From: &wire.Peer{
				Instance: name, BeatAddress: name, ControlAddress: fmt.Sprintf("10.0.0.%d:1", other), FailureDomain: "a",
			}}, now)
		}
		f.assignRole(f.startedAt)
		c.Check(f.currentRole().starting, qt.IsTrue, qt.Commentf("the other gateways aren't listed yet"))
		f.peersListed = true
		f.assignRole(now)
		if role := f.currentRole(); role.reads {
			readers++
		} else {
			c.Check(role.readers, qt.DeepEquals, []string{"10.0.0.0:1", "10.0.0.1:1"})
		}
		f.Log.Close()
	}
	c.Assert(readers, qt.Equals, readersPerDomain)
	alone := New(Options{Self: self("a"), Log: newTestLog(c), Counters: NewCounters(tally.NoopScope)})
	alone.assignRole(alone.startedAt.Add(startTimeout))
	c.Assert(alone.currentRole().starting, qt.IsFalse)
}

// The leader stores the time at which a weight version became the target only once. A gateway that starts later
// reads it.
func TestTargetVersionIsPersistedOnce(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	f := startFleet(c, "a", &switchableStore{store, make(chan struct{})})
	eventually(c, "it is the leader", func() (leads bool) {
		f.loop.Call(func() { leads = f.lead.fence > 0 })
		return leads
	})
	setServerClock(f, time.Hour)
	addTargets(f, map[int64]time.Duration{2: 3 * time.Second})
	eventually(c, "the target version is stored", func() bool {
		_, err := store.Get(context.Background(), targetPrefix+"m")
		return err == nil
	})
	writes := store.Calls().Swap
	time.Sleep(600 * time.Millisecond)
	c.Assert(store.Calls().Swap-writes <= 1, qt.IsTrue, qt.Commentf("%d more writes", store.Calls().Swap-writes))
	late := startFleet(c, "b", &switchableStore{store, make(chan struct{})})
	setServerClock(late, time.Hour)
	eventually(c, "the other gateway has the time", func() bool {
		due, known := untilDue(late, 1)
		return known && late.WeightsWithin-due > 2*time.Second
	})
}

// A server that told one gateway that it is leaving is not used by the others either, although its registration says
// nothing of it.
func TestLeavingServersAreReportedToPeers(t *testing.T) {
	c := qt.New(t)
	store := startStore(c)
	put(c, store, "op/config", "1")
	put(c, store, "servers/s1", "127.0.0.1:1")
	put(c, store, "servers/s2", "127.0.0.1:2")
	a, b := startFleet(c, "a", &switchableStore{store, make(chan struct{})}), startFleet(c, "b", &switchableStore{store, make(chan struct{})})
	usedBy := func(f *Fleet) map[string]bool {
		used := make(map[string]bool)
		for range 40 {
			p, refusal := f.Place(context.Background(), &dispatch.Request{Service: "app", TargetLatency: time.Second}, nil)
			if refusal == nil {
				f.RecordEnd(p, dispatch.Served, true, quarantine.Request{})
				used[p.Server] = true
			}
		}
		return used
	}
	eventually(c, "both gateways use both servers", func() bool { return len(usedBy(a)) == 2 && len(usedBy(b)) == 2 })
	a.RecordServerReport("s1", dispatch.ServerReport{Leaving: true})
	c.Assert(usedBy(a), qt.DeepEquals, map[string]bool{"s2": true})
	eventually(c, "the other gateway uses only the server that stays", func() bool {
		used := usedBy(b)
		return len(used) == 1 && used["s2"]
	})
}

// Guards against review/4: channels between gateways that become silent were kept, so that a gateway which gets all changes from
// others had none of the changes after that.
func TestChangesArriveAfterChannelsBetweenGatewaysBecameSilent(t *testing.T) {
	// contactTime is the smallest of the deployments.
	const contactTime = 3 * time.Second
	for name, direction := range map[string]relaytest.Direction{"requests": relaytest.Requests, "replies": relaytest.Replies, "both": relaytest.Both} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := startStore(c)
			put(c, store, "op/config", "1")
			online, offline := &switchableStore{store, make(chan struct{})}, &switchableStore{store, make(chan struct{})}
			var relay *relaytest.Relay
			a := startFleetBehind(c, "a", online, func(address string) string {
				var err error
				relay, err = relaytest.Start(address)
				c.Assert(err, qt.IsNil)
				c.Cleanup(relay.Stop)
				return relay.Address()
			})
			b := startFleet(c, "b", offline)
			eventually(c, "both have version 1", func() bool { return a.version() == 1 && b.version() == 1 })
			awaitPeers(c, a, b)
			close(offline.offline)
			for round := range 3 {
				version := int64(round + 2)
				put(c, store, "op/config", fmt.Sprint(version))
				changedAt := time.Now()
				eventually(c, "the change arrives", func() bool { return b.version() == version })
				c.Check(time.Since(changedAt) < contactTime, qt.IsTrue, qt.Commentf("round %d took %s", round, time.Since(changedAt)))
				time.Sleep(time.Second)
				relay.Silence(direction)
			}
		})
	}
}
