package config

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxConnections bounds the connections that a process keeps open to peers.
	maxConnections = 16
	// maxReplyBytes bounds one answer to a pull.
	maxReplyBytes = 32 << 20
)

// GRPCMessenger is a Messenger over gRPC. It keeps the connections used last.
type GRPCMessenger struct {
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	order       []string // addresses, the one used last at the end
}

// NewGRPCMessenger returns a messenger without connections.
func NewGRPCMessenger() *GRPCMessenger {
	return &GRPCMessenger{connections: make(map[string]*grpc.ClientConn)}
}

// Notify implements Messenger.
func (m *GRPCMessenger) Notify(ctx context.Context, address string, request *wire.NotifyRequest) (*wire.NotifyReply, error) {
	client, err := m.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Notify(ctx, request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "notify %s", address)
	}
	return reply, nil
}

// Pull implements Messenger.
func (m *GRPCMessenger) Pull(ctx context.Context, address string, request *wire.PullRequest) (*wire.PullReply, error) {
	client, err := m.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Pull(ctx, request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "pull from %s", address)
	}
	return reply, nil
}

// Close closes all connections.
func (m *GRPCMessenger) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, connection := range m.connections {
		_ = connection.Close()
	}
	clear(m.connections)
	m.order = nil
}

func (m *GRPCMessenger) client(address string) (wire.ConfigurationClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	connection, ok := m.connections[address]
	if !ok {
		opened, err := open(address)
		if err != nil {
			return nil, err
		}
		connection = opened
		m.connections[address] = connection
	}
	m.use(address)
	return wire.NewConfigurationClient(connection), nil
}

func open(address string) (*grpc.ClientConn, error) {
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)))
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "address %q", address)
	}
	return connection, nil
}

// use moves address to the end of the order and closes the connection used longest ago when there
// are too many.
func (m *GRPCMessenger) use(address string) {
	kept := m.order[:0]
	for _, other := range m.order {
		if other != address {
			kept = append(kept, other)
		}
	}
	m.order = append(kept, address)
	if len(m.order) <= maxConnections {
		return
	}
	oldest := m.order[0]
	m.order = m.order[1:]
	_ = m.connections[oldest].Close()
	delete(m.connections, oldest)
}
