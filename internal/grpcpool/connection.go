package grpcpool

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/traffic"
)

const (
	// patienceShare is the share of the time of a call after which it is sent once more on a new channel, if nothing at all has
	// arrived on the old one since the call began.
	patienceShare = 0.5
	// minPatience bounds that time from below: a busy process takes that long to answer.
	minPatience = 80 * time.Millisecond
	// minChannelAge is the age from which a channel is replaced. A younger one that stays silent shows that the process, not
	// the channel, is at fault.
	minChannelAge = time.Second
)

// Connection makes calls to one address over a channel that it replaces when the channel has become silent: it is open, and
// nothing arrives on it any more, as after a middlebox has forgotten it. It implements grpc.ClientConnInterface.
//
// No keep-alive is sent: calls find a silent channel, and those of a pool for repeatable calls still get their reply.
type Connection struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	current *channel
}

// channel is a gRPC connection, which may use several TCP connections one after the other.
type channel struct {
	*grpc.ClientConn
	openedAt time.Time
	// heardAt is when the latest bytes arrived, in nanoseconds since openedAt.
	heardAt atomic.Int64
	// calls is the number of calls in progress, retired is set when no more calls use the channel. Connection.mu guards them.
	calls   int
	retired bool
}

// heardConn records when bytes arrive.
type heardConn struct {
	net.Conn
	channel *channel
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.channel.heardAt.Store(int64(time.Since(c.channel.openedAt)))
	}
	return n, err
}

func (ch *channel) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := traffic.Control.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &heardConn{Conn: conn, channel: ch}, nil
}

func (ch *channel) heardSince(at time.Time) bool {
	return ch.openedAt.Add(time.Duration(ch.heardAt.Load())).After(at)
}

// Invoke implements grpc.ClientConnInterface.
func (c *Connection) Invoke(ctx context.Context, method string, args, reply any, options ...grpc.CallOption) error {
	message, isMessage := reply.(proto.Message)
	deadline, hasDeadline := ctx.Deadline()
	if !c.pool.repeats || !isMessage || !hasDeadline {
		return c.invokeOnce(ctx, method, args, reply, options)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	results := make(chan result, 2)
	first := c.begin(ctx, results, method, args, message, options)
	patience := time.NewTimer(max(minPatience, time.Duration(patienceShare*float64(time.Until(deadline)))))
	defer patience.Stop()
	select {
	case r := <-results:
		return r.deliver(message)
	case <-patience.C:
	}
	if !c.replace(first, started) {
		return (<-results).deliver(message)
	}
	c.begin(ctx, results, method, args, message, options)
	r := <-results
	if r.err != nil {
		r = <-results
	}
	return r.deliver(message)
}

// result is the result of one of the calls that are made for one Invoke.
type result struct {
	reply proto.Message
	err   error
}

func (r result) deliver(into proto.Message) error {
	if r.err == nil {
		proto.Merge(into, r.reply)
	}
	return r.err
}

// begin makes a call on the current channel, which it returns, and sends its result to results.
func (c *Connection) begin(ctx context.Context, results chan<- result, method string, args any, message proto.Message, options []grpc.CallOption) *channel {
	ch := c.acquire()
	go func() {
		reply := message.ProtoReflect().New().Interface()
		err := ch.Invoke(ctx, method, args, reply, options...)
		c.release(ch)
		results <- result{reply, err}
	}()
	return ch
}

// invokeOnce makes a call that can't be repeated. If nothing arrives until its deadline, the next call uses a new channel.
func (c *Connection) invokeOnce(ctx context.Context, method string, args, reply any, options []grpc.CallOption) error {
	started := time.Now()
	ch := c.acquire()
	defer c.release(ch)
	err := ch.Invoke(ctx, method, args, reply, options...)
	if status.Code(err) == codes.DeadlineExceeded {
		c.replace(ch, started)
	}
	return err
}

// NewStream implements grpc.ClientConnInterface.
func (c *Connection) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, options ...grpc.CallOption) (grpc.ClientStream, error) {
	ch := c.acquire()
	defer c.release(ch)
	return ch.NewStream(ctx, desc, method, options...)
}

// GetState returns the state of the current channel.
func (c *Connection) GetState() connectivity.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.GetState()
}

func (c *Connection) acquire() *channel {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.calls++
	return c.current
}

func (c *Connection) release(ch *channel) {
	c.mu.Lock()
	ch.calls--
	unused := ch.retired && ch.calls == 0
	c.mu.Unlock()
	if unused {
		_ = ch.Close()
	}
}

// replace replaces the channel if nothing has arrived on it since a call began, unless it is young. Calls in progress stay on
// it. It reports whether a channel other than ch is current.
func (c *Connection) replace(ch *channel, callBegan time.Time) bool {
	if ch.heardSince(callBegan) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != ch {
		return true
	}
	if ch.retired || time.Since(ch.openedAt) < minChannelAge {
		return false
	}
	fresh, err := dial(c.address)
	if err != nil {
		return false
	}
	c.current = fresh
	ch.retired = true
	if ch.calls == 0 {
		_ = ch.Close()
	}
	if c.pool.replaced != nil {
		c.pool.replaced(c.address)
	}
	return true
}

// close closes the connection. Calls in progress fail.
func (c *Connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.retired = true
	_ = c.current.Close()
}
