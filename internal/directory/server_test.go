package directory

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/control"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// startOwner serves an empty table over gRPC and returns its address and a function that stops it.
func startOwner(t *testing.T) (string, func()) {
	loop := control.NewLoop()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { loop.Run(ctx); close(stopped) }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	wire.RegisterDirectoryServer(server, NewServer(loop, NewTable(0)))
	served := make(chan struct{})
	go func() { _ = server.Serve(listener); close(served) }()
	stop := func() {
		server.Stop()
		cancel()
		<-stopped
		<-served
	}
	return listener.Addr().String(), stop
}

func TestLookupFindsAnnouncementsWhenOneOwnerIsDown(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	first, stopFirst := startOwner(t)
	second, stopSecond := startOwner(t)
	ring := NewRing([]Member{
		{Instance: "agent-1", FailureDomain: "a", Address: first},
		{Instance: "agent-2", FailureDomain: "b", Address: second},
	})
	client := NewClient("a")
	defer client.Close()
	names := testNames(20)
	_, err := client.Lookup(ctx, names, 0)
	c.Assert(errorx.IsOfType(err, ErrNoOwner), qt.IsTrue)
	client.SetRing(ring)
	runs, err := client.Lookup(ctx, names, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.HasLen, 0)

	announcer := NewAnnouncer(ring, 0)
	for i, name := range names[:10] {
		announcer.AddHolding(replicaHolding(name, "holder"), names[LookupIndex(i)])
	}
	for _, batch := range announcer.Next(time.Now()) {
		c.Assert(client.Announce(ctx, "holder", 7, batch), qt.IsNil)
	}
	want := []Run{
		{Holder: "holder", Tier: wire.Tier_TIER_REPLICA, Start: 0, End: 4, Bytes: 100},
		{Holder: "holder", Tier: wire.Tier_TIER_REPLICA, Start: 4, End: 10, Bytes: 100},
	}
	runs, err = client.Lookup(ctx, names, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.DeepEquals, want)

	stopFirst()
	runs, err = client.Lookup(ctx, names, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.DeepEquals, want)
	stopSecond()
	_, err = client.Lookup(ctx, names, 0)
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)
}

func TestSilentOwnerLeavesTimeForTheOther(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never replies
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	responding, stop := startOwner(t)
	defer stop()
	client := NewClient("a")
	defer client.Close()
	client.SetRing(NewRing([]Member{
		{Instance: "agent-1", FailureDomain: "a", Address: silent.Addr().String()},
		{Instance: "agent-2", FailureDomain: "b", Address: responding},
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = client.Lookup(ctx, testNames(1), 0)
	c.Assert(err, qt.IsNil)
}

func TestBusyOwnerRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	loop := control.NewLoop() // never runs, so its queue fills
	for loop.TryPost(func() {}) {
	}
	server := NewServer(loop, NewTable(0))
	startedAt := time.Now()
	_, err := server.Lookup(context.Background(), &wire.LookupRequest{})
	c.Assert(err, qt.ErrorMatches, ".*ResourceExhausted.*")
	_, err = server.Announce(context.Background(), &wire.AnnounceRequest{})
	c.Assert(err, qt.ErrorMatches, ".*ResourceExhausted.*")
	c.Assert(time.Since(startedAt) < time.Second, qt.IsTrue)
}

func TestCancelledCallDoesNotBlockTheOwner(t *testing.T) {
	c := qt.New(t)
	server := NewServer(control.NewLoop(), NewTable(0)) // the loop never runs
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := server.Lookup(ctx, &wire.LookupRequest{})
	c.Assert(err, qt.ErrorMatches, ".*DeadlineExceeded.*")
}

func TestMalformedCallsAreRefused(t *testing.T) {
	c := qt.New(t)
	server := NewServer(control.NewLoop(), NewTable(0))
	_, err := server.Lookup(context.Background(), &wire.LookupRequest{Pieces: [][]byte{{1, 2}}})
	c.Assert(err, qt.ErrorMatches, ".*has 2 bytes, not 16.*")
	_, err = server.Lookup(context.Background(), &wire.LookupRequest{Pieces: make([][]byte, maxLookupPieces+1)})
	c.Assert(err, qt.ErrorMatches, ".*513 pieces exceed 512.*")
}
