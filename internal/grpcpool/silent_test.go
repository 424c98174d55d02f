package grpcpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health/grpc_health_v1"

	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/relaytest"
)

// callTime is the time of each call, silenceLimit the bound on the time until calls get replies again.
const (
	callTime     = 600 * time.Millisecond
	silenceLimit = 3 * time.Second
)

// promptService is a service about which a healthServer answers without delay.
const promptService = "prompt"

// healthServer answers checks after a delay.
type healthServer struct {
	grpc_health_v1.UnimplementedHealthServer
	delay time.Duration
	calls atomic.Int64
}

func (s *healthServer) Check(ctx context.Context, request *grpc_health_v1.HealthCheckRequest) (*grpc_health_v1.HealthCheckResponse, error) {
	s.calls.Add(1)
	if request.Service != promptService {
		select {
		case <-time.After(s.delay):
		case <-ctx.Done():
		}
	}
	return &grpc_health_v1.HealthCheckResponse{Status: grpc_health_v1.HealthCheckResponse_SERVING}, nil
}

func startHealthServer(c *qt.C, delay time.Duration) (*healthServer, *relaytest.Relay) {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp4", address)
	c.Assert(err, qt.IsNil)
	s := &healthServer{delay: delay}
	server := grpc.NewServer()
	grpc_health_v1.RegisterHealthServer(server, s)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(server.Stop)
	relay, err := relaytest.Start(address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(relay.Stop)
	return s, relay
}

func check(pool *Pool, address string) error {
	return checkWithin(pool, address, callTime, "")
}

func checkWithin(pool *Pool, address string, callTime time.Duration, service string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	connection, err := pool.Get(address)
	if err != nil {
		return err
	}
	_, err = grpc_health_v1.NewHealthClient(connection).Check(ctx, &grpc_health_v1.HealthCheckRequest{Service: service}, grpc.WaitForReady(true))
	return err
}

// Guards against review/4: a channel that had become silent was kept, although all calls on it timed out. Calls that may be made
// twice get their reply all the same, in whichever direction the channel is silent and however often; after others that
// time out, the next one uses a new channel.
func TestSilentChannelIsReplaced(t *testing.T) {
	for name, direction := range map[string]relaytest.Direction{"requests": relaytest.Requests, "replies": relaytest.Replies, "both": relaytest.Both} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			_, relay := startHealthServer(c, 0)
			var replaced atomic.Int64
			repeating := NewRepeating(1, func(string) { replaced.Add(1) })
			defer repeating.Close()
			once := New(1)
			defer once.Close()
			c.Assert(check(repeating, relay.Address()), qt.IsNil)
			c.Assert(check(once, relay.Address()), qt.IsNil)
			const rounds = 3
			for range rounds {
				time.Sleep(minChannelAge)
				relay.Silence(direction)
				c.Assert(check(repeating, relay.Address()), qt.IsNil)
				silentSince := time.Now()
				for check(once, relay.Address()) != nil {
					c.Assert(time.Since(silentSince) < silenceLimit, qt.IsTrue)
				}
			}
			c.Assert(replaced.Load(), qt.Equals, int64(rounds))
		})
	}
}

// Many calls at the same time on a silent channel open one new channel, not one each.
func TestCallsShareTheNewChannel(t *testing.T) {
	c := qt.New(t)
	_, relay := startHealthServer(c, 0)
	pool := NewRepeating(1, nil)
	defer pool.Close()
	c.Assert(check(pool, relay.Address()), qt.IsNil)
	time.Sleep(minChannelAge)
	relay.Silence(relaytest.Both)
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() { c.Check(check(pool, relay.Address()), qt.IsNil) })
	}
	calls.Wait()
	c.Assert(relay.Opened(), qt.Equals, 2)
}

// A channel on which something arrives is kept, although the process answers late.
func TestSoundChannelIsKept(t *testing.T) {
	const (
		lateCallTime = 6 * time.Second
		delay        = lateCallTime * 8 / 10
		callers      = 12
		calls        = 2 // of each caller
	)
	c := qt.New(t)
	server, relay := startHealthServer(c, delay)
	pool := NewRepeating(1, nil)
	defer pool.Close()
	c.Assert(checkWithin(pool, relay.Address(), lateCallTime, promptService), qt.IsNil)
	time.Sleep(minChannelAge)
	lateReplies := make(chan struct{}, callers*calls)
	var late sync.WaitGroup
	for i := range callers {
		late.Go(func() {
			time.Sleep(time.Duration(i) * lateCallTime / 16)
			for range calls {
				c.Check(checkWithin(pool, relay.Address(), lateCallTime, ""), qt.IsNil)
				lateReplies <- struct{}{}
			}
		})
	}
	// Until the first late reply, prompt ones show that the channel is sound.
	for len(lateReplies) == 0 {
		c.Check(checkWithin(pool, relay.Address(), lateCallTime, promptService), qt.IsNil)
		time.Sleep(lateCallTime / 20)
	}
	late.Wait()
	c.Assert(relay.Opened(), qt.Equals, 1)
	c.Assert(server.calls.Load() > callers*calls, qt.IsTrue)
}

// Channels without calls cost nothing: with 68 gateways there are 4,556 ends.
func TestIdleChannelSendsNothing(t *testing.T) {
	c := qt.New(t)
	_, relay := startHealthServer(c, 0)
	pool := NewRepeating(1, nil)
	defer pool.Close()
	c.Assert(check(pool, relay.Address()), qt.IsNil)
	time.Sleep(minChannelAge)
	before := relay.Passed()
	time.Sleep(2 * silenceLimit)
	c.Assert(relay.Passed(), qt.Equals, before)
}
