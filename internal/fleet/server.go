package fleet

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxPeerRequest bounds a request of another gateway or of balsamctl, in bytes. The largest name all cache stores.
	maxPeerRequest = 64 << 10
	// maxPeerCalls bounds the calls at the same time on one connection.
	maxPeerCalls = 64
	// peerWindow is how much of the requests on one connection may arrive before they are read, in bytes.
	peerWindow = 64 << 10
	// maxPeerIdle is how long a connection without calls is kept. A connection that its client has given up as silent would
	// otherwise stay open for ever.
	maxPeerIdle = 2 * time.Minute
	// maxPeerHeaders bounds the headers of a call, in bytes.
	maxPeerHeaders = 8 << 10
)

// ServerOptions returns the options of the server that Register adds a service to. They bound the memory for what its clients
// send.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxPeerRequest),
		grpc.MaxConcurrentStreams(maxPeerCalls),
		grpc.MaxHeaderListSize(maxPeerHeaders),
		grpc.InitialWindowSize(peerWindow),
		grpc.InitialConnWindowSize(peerWindow),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxPeerIdle}),
	}
}

// newPool returns a pool of up to limit connections to other gateways. All calls to them may be made twice: they read, and an ask
// for a grant that is counted twice only makes its owner grant less.
func (f *Fleet) newPool(limit int) *grpcpool.Pool {
	return grpcpool.NewRepeating(limit, func(address string) {
		f.Counters.ChannelsReplaced.Inc(1)
		f.Log.Warn(EventChannelReplaced, zap.String("kind", "gateway"), zap.String("address", address))
	})
}

// Register registers the service that other gateways call.
func (f *Fleet) Register(server *grpc.Server) {
	wire.RegisterGatewaysServer(server, &service{fleet: f})
}
