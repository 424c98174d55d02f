// Package grpcpool keeps gRPC connections to other processes of the system open between calls.
// Configuration propagation, rollout and balsamctl use it.
package grpcpool

import (
	"container/list"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

var namespace = errorx.NewNamespace("grpcpool")

// ErrAddress means that an address cannot be dialled.
var ErrAddress = namespace.NewType("address")

const (
	// maxReplyBytes bounds the size of one reply. The largest are listings of full cache stores, and configurations.
	maxReplyBytes = 16 << 20
	// bufferBytes is the size of a connection's read buffer and of its write buffer. It is small because calls
	// are small and rare, and the holder of a rollout keeps one connection to each replica.
	bufferBytes = 4 << 10
	// maxReconnectPause bounds the pause between two attempts to connect. Processes come back within seconds, and the default of two
	// minutes would leave them unreachable for longer than they were away.
	maxReconnectPause = time.Second
	firstReconnect    = 100 * time.Millisecond
	connectTimeout    = 2 * time.Second
)

var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: firstReconnect, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectPause},
	MinConnectTimeout: connectTimeout,
}

// Pool keeps the most recently used connections, up to a limit. It is safe for concurrent use.
type Pool struct {
	limit int
	// repeats is set if calls may be made twice.
	repeats bool
	// replaced is called when a silent channel to an address was replaced; nil for none. It must not block.
	replaced func(address string)

	mu      sync.Mutex
	entries map[string]*list.Element
	lru     *list.List // of *Connection, the most recently used in front
}

// New returns an empty Pool that keeps up to limit connections.
func New(limit int) *Pool {
	return &Pool{
		limit:   limit,
		entries: make(map[string]*list.Element),
		lru:     list.New(),
	}
}

// NewRepeating returns a Pool for calls that may be made twice: one that gets no answer on a silent channel is made once more on a
// new channel. It calls replaced, which must not block, with the address of each channel that is replaced.
func NewRepeating(limit int, replaced func(address string)) *Pool {
	p := New(limit)
	p.repeats, p.replaced = true, replaced
	return p
}

// Get returns the connection to address, an ip:port. It does not wait until the connection is established.
// It returns ErrAddress if the address is invalid.
func (p *Pool) Get(address string) (*Connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element, ok := p.entries[address]; ok {
		p.lru.MoveToFront(element)
		return element.Value.(*Connection), nil
	}
	opened, err := dial(address)
	if err != nil {
		return nil, err
	}
	connection := &Connection{pool: p, address: address, current: opened}
	p.entries[address] = p.lru.PushFront(connection)
	p.evict()
	return connection, nil
}

func dial(address string) (*channel, error) {
	ch := &channel{openedAt: time.Now()}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(ch.dial),
		grpc.WithConnectParams(reconnect),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)))
	if err != nil {
		return nil, ErrAddress.Wrap(err, "address %q", address)
	}
	ch.ClientConn = connection
	return ch, nil
}

// evict closes the least recently used connections over the limit. The mutex is held.
func (p *Pool) evict() {
	for p.lru.Len() > p.limit {
		oldest := p.lru.Remove(p.lru.Back()).(*Connection)
		delete(p.entries, oldest.address)
		oldest.close()
	}
}

// Len returns the number of open connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lru.Len()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.lru.Len() > 0 {
		oldest := p.lru.Remove(p.lru.Back()).(*Connection)
		delete(p.entries, oldest.address)
		oldest.close()
	}
}
