// Package grpcpool keeps gRPC connections to other processes of the system open between calls.
// Configuration spread, rollout and balsamctl use it.
package grpcpool

import (
	"container/list"
	"sync"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"balsamyoke.example/balsamyoke/internal/traffic"
)

var namespace = errorx.NewNamespace("grpcpool")

// ErrAddress means that an address cannot be dialled.
var ErrAddress = namespace.NewType("address")

const (
	// maxReplyBytes bounds one answer.
	maxReplyBytes = 32 << 20
	// bufferBytes is the size of a connection's read and write buffers. Calls are small and rare,
	// and a rollout's holder keeps one connection to each replica.
	bufferBytes = 4 << 10
)

// Pool keeps up to a number of connections, the ones used last. It is safe for concurrent use.
type Pool struct {
	limit int

	mu      sync.Mutex
	entries map[string]*list.Element
	order   *list.List // of *entry, the one used last in front
}

type entry struct {
	address    string
	connection *grpc.ClientConn
}

// New returns an empty pool of up to limit connections.
func New(limit int) *Pool {
	return &Pool{
		limit:   limit,
		entries: make(map[string]*list.Element),
		order:   list.New(),
	}
}

// Get returns the connection to address, an ip:port. It does not wait until it is established.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.entries[address]; ok {
		p.order.MoveToFront(known)
		return known.Value.(*entry).connection, nil
	}
	connection, err := dial(address)
	if err != nil {
		return nil, err
	}
	p.entries[address] = p.order.PushFront(&entry{address: address, connection: connection})
	p.evict()
	return connection, nil
}

func dial(address string) (*grpc.ClientConn, error) {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(traffic.Control.Dial),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)))
	if err != nil {
		return nil, ErrAddress.Wrap(err, "address %q", address)
	}
	return connection, nil
}

// evict closes the connections that were not used for the longest time.
func (p *Pool) evict() {
	for p.order.Len() > p.limit {
		oldest := p.order.Remove(p.order.Back()).(*entry)
		delete(p.entries, oldest.address)
		_ = oldest.connection.Close()
	}
}

// Len returns the number of connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.order.Len()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.order.Len() > 0 {
		oldest := p.order.Remove(p.order.Back()).(*entry)
		delete(p.entries, oldest.address)
		_ = oldest.connection.Close()
	}
}
