package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// heldUpStore is a metadata store that answers, but whose answers to calls that wait for changes aren't read while they are held up, as
// at a gateway that was frozen. All answers are held up while silent.
type heldUpStore struct {
	*memkv.Store
	mu     sync.Mutex
	waits  chan struct{}
	silent chan struct{}
	reads  atomic.Int64
}

func newHeldUpStore(c *qt.C) *heldUpStore {
	s := &heldUpStore{Store: memkvWithConfiguration(c), waits: make(chan struct{}), silent: make(chan struct{})}
	close(s.waits)
	close(s.silent)
	return s
}

// hold holds up answers to calls that wait, or all of them, until release is called.
func (s *heldUpStore) hold(all bool) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(chan struct{})
	s.waits = held
	if all {
		s.silent = held
	}
	return sync.OnceFunc(func() { close(held) })
}

func (s *heldUpStore) Changes(ctx context.Context, prefix string, from metastore.Position, wait time.Duration) (metastore.Changes, error) {
	if wait == 0 && prefix == "servers/" {
		s.reads.Add(1)
	}
	changes, err := s.Store.Changes(ctx, prefix, from, wait)
	s.mu.Lock()
	held := s.silent
	if wait > 0 {
		held = s.waits
	}
	s.mu.Unlock()
	select {
	case <-held:
		return changes, err
	case <-ctx.Done():
		return metastore.Changes{}, metastore.ErrUnavailable.Wrap(ctx.Err(), "held up")
	}
}

// placeRest places the rest of a stream that v1 began.
func placeRest(f *Fleet) (dispatch.Placement, *dispatch.Refusal) {
	return f.Place(context.Background(), &dispatch.Request{
		Service: "app", TargetLatency: time.Second, TimeLeft: time.Second, Continues: true, SoftwareVersion: "v1",
	}, nil)
}

// startWithServers runs a Fleet on a store with servers of the software version v1.
func startWithServers(c *qt.C, ids ...string) (*heldUpStore, *Fleet) {
	store := newHeldUpStore(c)
	for _, id := range ids {
		put(c, store.Store, "servers/"+id, "127.0.0.1:1 a v1")
	}
	f := startFleetOn(c, "a", store)
	eventually(c, "streams go on", func() bool {
		p, refusal := placeRest(f)
		if refusal == nil {
			f.withdraw(p)
		}
		return refusal == nil
	})
	return store, f
}

// Guards against a gateway that wakes from a freeze and sends the rest of a stream to a server that has started again with other
// software meanwhile.
func TestRestOfStreamIsNotSentAtRegistrationFromBeforeAFreeze(t *testing.T) {
	c := qt.New(t)
	store, f := startWithServers(c, "s1", "s2")
	defer store.hold(false)()
	put(c, store.Store, "servers/s1", "127.0.0.1:1 a v2")
	for range 10 {
		p, refusal := placeRest(f)
		c.Assert(refusal, qt.IsNil)
		c.Assert(p.Server, qt.Equals, "s2")
		f.withdraw(p)
	}
	put(c, store.Store, "servers/s2", "127.0.0.1:1 a v2")
	for range 10 {
		p, refusal := placeRest(f)
		c.Assert(refusal, qt.IsNotNil, qt.Commentf("placed on %s", p.Server))
	}
}

// Guards against a call to the metadata store for each of many streams that are taken up at once.
func TestStreamsTakenUpAtOnceShareReadsOfRegistrations(t *testing.T) {
	c := qt.New(t)
	store, f := startWithServers(c, "s1")
	defer store.hold(false)()
	put(c, store.Store, "servers/s1", "127.0.0.1:1 a v2")
	before, begun := store.reads.Load(), time.Now()
	var streams sync.WaitGroup
	for range 200 {
		streams.Go(func() {
			_, refusal := placeRest(f)
			c.Check(refusal, qt.IsNotNil)
		})
	}
	streams.Wait()
	made, allowed := store.reads.Load()-before, 2+int64(time.Since(begun)/registrationReadInterval)
	c.Check(made <= allowed, qt.IsTrue, qt.Commentf("%d reads, %d allowed", made, allowed))
}

// Guards against the rest of a stream that waits, or goes on, while the metadata store doesn't answer.
func TestRestOfStreamIsRefusedWhileRegistrationsCannotBeRead(t *testing.T) {
	c := qt.New(t)
	store, f := startWithServers(c, "s1", "s2", "s3", "s4")
	release := store.hold(true)
	defer release()
	begun := time.Now()
	_, refusal := placeRest(f)
	c.Assert(refusal, qt.IsNotNil)
	c.Check(time.Since(begun) < 4*confirmTimeout, qt.IsTrue, qt.Commentf("refused after %s", time.Since(begun)))
	release()
	eventually(c, "streams go on", func() bool {
		_, refusal := placeRest(f)
		return refusal == nil
	})
}

// Guards against streams that broke off because their gateway didn't run for a moment before it read the registrations.
func TestRestOfStreamWaitsForAReadThatBeginsLate(t *testing.T) {
	c := qt.New(t)
	_, f := startWithServers(c, "s1")
	read, beginsIn, makes := f.registrationReads.join(bootclock.Now(), registrationReadInterval)
	c.Assert(makes, qt.IsTrue)
	time.AfterFunc(2*confirmTimeout, func() { f.makeRegistrationRead(context.Background(), read, beginsIn) })
	_, refusal := placeRest(f)
	c.Assert(refusal, qt.IsNil)
}

// Guards against a gateway that is frozen after it has confirmed a server's run, before it sends the rest of a stream.
func TestRestOfStreamIsNotSentAtConfirmationFromBeforeAFreeze(t *testing.T) {
	c := qt.New(t)
	_, f := startWithServers(c, "s1")
	p, refusal := placeRest(f)
	c.Assert(refusal, qt.IsNil)
	c.Check(f.MaySend(p), qt.IsTrue)
	p.RunConfirmedAt = bootclock.Now().Add(-confirmedFor)
	c.Check(f.MaySend(p), qt.IsFalse)
}

// Guards against a read that was made before a request came, and against reads at shorter intervals than allowed.
func TestReadsOfRegistrationsBeginAfterTheirRequests(t *testing.T) {
	c := qt.New(t)
	start := bootclock.Now()
	var reads registrationReads
	first, beginsIn, makes := reads.join(start, registrationReadInterval)
	c.Check(makes && beginsIn == 0, qt.IsTrue)
	shared, _, makes := reads.join(start, registrationReadInterval)
	c.Check(shared == first && !makes, qt.IsTrue)
	reads.begin(start)
	second, beginsIn, makes := reads.join(start.Add(time.Millisecond), registrationReadInterval)
	c.Check(second != first && makes, qt.IsTrue)
	c.Check(beginsIn, qt.Equals, registrationReadInterval-time.Millisecond)
	reads.begin(start)
	none, _, makes := reads.join(start.Add(time.Millisecond), 2*confirmTimeout)
	c.Check(none == nil && !makes, qt.IsTrue)
}

// Guards against the rest of a stream that is sent at a registration which the metadata store has from a copy, before the server has
// written the one of its present run again.
func TestRestOfStreamIsNotSentAtRegistrationFromACopy(t *testing.T) {
	c := qt.New(t)
	store, f := startWithServers(c, "s1")
	early := store.Copy()
	put(c, store.Store, "servers/s1", "127.0.0.1:1 a v2")
	eventually(c, "the gateway knows the new run", func() bool {
		_, refusal := placeRest(f)
		return refusal != nil
	})
	store.Restore(early)
	eventually(c, "the gateway has seen the new era", func() bool { return f.era.Load() == int64(store.Era()) })
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		p, refusal := placeRest(f)
		c.Assert(refusal, qt.IsNotNil, qt.Commentf("placed on %s", p.Server))
	}
	eventually(c, "streams go on at the server that is still at that version", func() bool {
		_, refusal := placeRest(f)
		return refusal == nil
	})
}

// Guards against a stream that begins at a server whose registration is of an earlier run, and whose rest then goes to servers with the
// software of that run.
func TestStreamThatBeginsInAnOutageIsOfTheRunThatTheServerReports(t *testing.T) {
	c := qt.New(t)
	store := newHeldUpStore(c)
	f := startFleetOn(c, "a", store)
	eventually(c, "the configuration is in force", func() bool { return f.version() == 1 })
	f.loop.Call(func() {
		f.dispatcher.SetServices([]routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4, CacheTokens: 1000, TokenBytes: 1, Models: []string{"m"}}}})
		f.dispatcher.SetServers([]backend.Server{{
			ID: "e", Service: "llm", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 4, StartedMS: 1000, SoftwareVersion: "v1",
			Versions: map[string]int64{"m": 1},
		}})
	})
	p, refusal := f.Place(context.Background(), &dispatch.Request{Service: "llm", Model: "m", PromptTokens: 10, TargetLatency: time.Second, TimeLeft: time.Second}, nil)
	c.Assert(refusal, qt.IsNil)
	begin := func(stream string, startedMS int64) string {
		f.loop.Call(func() { f.Platform.Engines = restartedEngines{startedMS: startedMS} })
		return f.RecordOrigin(context.Background(), stream, &p).SoftwareVersion
	}
	c.Check(begin("before the outage", 1000), qt.Equals, "v1")
	store.SetFaults(memkv.Faults{Down: true})
	eventually(c, "the store is known to be down", func() (down bool) {
		f.loop.Call(func() { down = !f.registry.IsStoreReachable() })
		return down
	})
	c.Check(begin("in the registered run", 1000), qt.Equals, "v1")
	c.Check(begin("in the next run", 2000), qt.Equals, "")
	c.Check(begin("in that run, known by now", 2000), qt.Equals, "")
}

// Guards against a stream that begins at a plain service just after a freeze and is recorded at the registration from before.
func TestStreamThatBeginsAfterAFreezeIsOfTheRegistrationSince(t *testing.T) {
	c := qt.New(t)
	store, f := startWithServers(c, "s1", "s2")
	first, refusal := placeRest(f)
	c.Assert(refusal, qt.IsNil)
	defer store.hold(false)()
	put(c, store.Store, "servers/"+first.Server, "127.0.0.1:1 a v2")
	second, refusal := placeRest(f)
	for refusal == nil && second.Server == first.Server {
		second, refusal = placeRest(f)
	}
	c.Assert(refusal, qt.IsNil)
	put(c, store.Store, "servers/"+second.Server, "127.0.0.1:1 a v2")
	f.loop.Call(func() { f.tickedAt = bootclock.Now().Add(-2 * maxTickDelay) })
	c.Check(f.RecordOrigin(context.Background(), "r", &second).SoftwareVersion, qt.Equals, "")
}

// Guards against calls for each stream that begins while nothing indicates that registrations are old.
func TestStreamsBeginWithoutReadsOfRegistrations(t *testing.T) {
	c := qt.New(t)
	store, f := startWithServers(c, "s1")
	p, refusal := placeRest(f)
	c.Assert(refusal, qt.IsNil)
	before := store.reads.Load()
	for i := range 100 {
		c.Assert(f.RecordOrigin(context.Background(), fmt.Sprint("r", i), &p).SoftwareVersion, qt.Equals, "v1")
	}
	c.Check(store.reads.Load(), qt.Equals, before)
	f.loop.Call(func() {
		f.recordTick(bootclock.Now().Add(2 * maxTickDelay))
		c.Check(f.registrationsMayBeOld(f.tickedAt), qt.IsTrue)
		f.recordReply("servers/", f.awakeSince.Add(-time.Millisecond))
		c.Check(f.registrationsMayBeOld(f.tickedAt), qt.IsTrue)
		f.recordReply("servers/", f.awakeSince)
		c.Check(f.registrationsMayBeOld(f.tickedAt), qt.IsFalse)
	})
}
