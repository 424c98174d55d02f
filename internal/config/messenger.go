package config

import (
	"context"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxConnections bounds the connections that a process keeps open to peers.
const maxConnections = 16

// GRPCMessenger is a Messenger over gRPC. It keeps the most recently used connections open.
type GRPCMessenger struct {
	pool *grpcpool.Pool
}

// NewGRPCMessenger returns a messenger without connections.
func NewGRPCMessenger() *GRPCMessenger {
	return &GRPCMessenger{pool: grpcpool.New(maxConnections)}
}

// Close closes all connections.
func (m *GRPCMessenger) Close() { m.pool.Close() }

// Notify implements Messenger.
func (m *GRPCMessenger) Notify(ctx context.Context, address string, request *wire.NotifyRequest) (*wire.NotifyReply, error) {
	client, err := m.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Notify(ctx, request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "cannot notify peer %s", address)
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
		return nil, ErrUnavailable.Wrap(err, "cannot pull from peer %s", address)
	}
	return reply, nil
}

func (m *GRPCMessenger) client(address string) (wire.ConfigurationClient, error) {
	connection, err := m.pool.Get(address)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "cannot connect to peer %s", address)
	}
	return wire.NewConfigurationClient(connection), nil
}
