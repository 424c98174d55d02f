package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
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
