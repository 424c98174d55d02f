package store

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is an HTTP server with pieces in memory. A test can make it return a fixed status.
type fakeStore struct {
	mu     sync.Mutex
	pieces map[string][]byte
	status atomic.Int32
	calls  atomic.Int32
}

func (f *fakeStore) serve(ctx *fasthttp.RequestCtx) {
	f.calls.Add(1)
	if status := f.status.Load(); status != 0 {
		ctx.SetStatusCode(int(status))
		return
	}
	name := strings.TrimPrefix(string(ctx.Path()), piecesPath)
	f.mu.Lock()
	defer f.mu.Unlock()
	content, ok := f.pieces[name]
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		f.pieces[name] = append([]byte(nil), ctx.PostBody()...)
		return
	case fasthttp.MethodDelete:
		delete(f.pieces, name)
	}
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(content)
}

func startStore(t *testing.T) (*fakeStore, *Client) {
	fake := &fakeStore{pieces: map[string][]byte{}}
	server, err := httpserver.Start("127.0.0.1:0", fake.serve, false)
	qt.Assert(t, err, qt.IsNil)
	client := New("store-1", server.Address())
	t.Cleanup(func() {
		client.Close()
		server.Stop()
	})
	return fake, client
}

func TestGetReturnsACompletePieceOrAnError(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fake, client := startStore(t)
	name, other := piece.Name{1}, piece.Name{2}
	_, _, err := client.Get(ctx, name, Urgent)
	c.Assert(errorx.IsOfType(err, ErrMiss), qt.IsTrue)
	c.Assert(client.Put(ctx, name, 7, []byte("cache"), Export), qt.IsNil)
	data, generation, err := client.Get(ctx, name, Urgent)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "cache")
	c.Assert(generation, qt.Equals, uint64(7))

	sealed := fake.pieces[name.String()]
	for cut := range sealed {
		fake.pieces[name.String()] = sealed[:cut]
		_, _, err := client.Get(ctx, name, Urgent)
		c.Assert(errorx.IsOfType(err, ErrDamaged), qt.IsTrue, qt.Commentf("cut at %d: %v", cut, err))
	}
	fake.pieces[other.String()] = sealed
	_, _, err = client.Get(ctx, other, Urgent)
	c.Assert(errorx.IsOfType(err, ErrDamaged), qt.IsTrue)

	has, err := client.Has(ctx, name, Patient)
	c.Assert(err, qt.IsNil)
	c.Assert(has, qt.IsTrue)
	c.Assert(client.Delete(ctx, name, Export), qt.IsNil)
	c.Assert(client.Delete(ctx, name, Export), qt.IsNil)
	has, err = client.Has(ctx, name, Patient)
	c.Assert(err, qt.IsNil)
	c.Assert(has, qt.IsFalse)
	c.Assert(client.Suspended(time.Now()), qt.IsFalse)
}

func TestFullStoreIsNotSuspended(t *testing.T) {
	c := qt.New(t)
	fake, client := startStore(t)
	fake.status.Store(fasthttp.StatusInsufficientStorage)
	err := client.Put(context.Background(), piece.Name{1}, 1, nil, Export)
	c.Assert(errorx.IsOfType(err, ErrFull), qt.IsTrue)
	c.Assert(client.Suspended(time.Now()), qt.IsFalse)
}

func TestFailingStoreIsCalledOnce(t *testing.T) {
	c := qt.New(t)
	fake, client := startStore(t)
	fake.status.Store(fasthttp.StatusInternalServerError)
	_, _, err := client.Get(context.Background(), piece.Name{1}, Urgent)
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)
	for range 10 {
		_, _, err = client.Get(context.Background(), piece.Name{1}, Urgent)
		c.Assert(errorx.IsOfType(err, ErrSuspended), qt.IsTrue)
	}
	c.Assert(fake.calls.Load(), qt.Equals, int32(1))
}

func TestUnresponsiveStoreCostsOneDeadline(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client := New("store-1", listener.Addr().String())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, _, err = client.Get(ctx, piece.Name{1}, Urgent)
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)
	_, _, err = client.Get(context.Background(), piece.Name{1}, Urgent)
	c.Assert(errorx.IsOfType(err, ErrSuspended), qt.IsTrue)
}

func TestCancelledCallDoesNotSuspend(t *testing.T) {
	c := qt.New(t)
	_, client := startStore(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := client.Get(ctx, piece.Name{1}, Urgent)
	c.Assert(err, qt.IsNotNil)
	c.Assert(client.Suspended(time.Now()), qt.IsFalse)
}

func TestBreakerAllowsOneTrialAndBacksOff(t *testing.T) {
	c := qt.New(t)
	var b Breaker
	now := time.Unix(1000, 0)
	c.Assert(b.Allow(now), qt.IsTrue)
	b.Failure(now)
	b.Failure(now) // a call that started before the suspension
	wait := firstSuspension
	for range 10 {
		c.Assert(b.Allow(now.Add(wait-1)), qt.IsFalse)
		now = now.Add(wait)
		c.Assert(b.Suspended(now), qt.IsFalse)
		c.Assert(b.Allow(now), qt.IsTrue)
		c.Assert(b.Suspended(now), qt.IsTrue)
		c.Assert(b.Allow(now), qt.IsFalse)
		b.Failure(now)
		wait = min(2*wait, maxSuspension)
	}
	c.Assert(wait, qt.Equals, maxSuspension)
	now = now.Add(wait)
	c.Assert(b.Allow(now), qt.IsTrue)
	b.Success()
	c.Assert(b.Allow(now), qt.IsTrue)
	c.Assert(b.Allow(now), qt.IsTrue)
}
