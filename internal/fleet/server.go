package fleet

import (
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxPeerRequest bounds a request of another gateway or of balsamctl, in bytes. The largest name all cache stores.
	maxPeerRequest = 64 << 10
	// maxPeerCalls bounds the calls at the same time on one connection.
	maxPeerCalls = 64
	// peerWindow is how much of the requests on one connection may arrive before they are read, in bytes.
	peerWindow = 64 << 10
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
	}
}

// Register registers the service that other gateways call.
func (f *Fleet) Register(server *grpc.Server) {
	wire.RegisterGatewaysServer(server, &service{fleet: f})
}
