package rollout

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxReplicas bounds the number of connections that a holder keeps to agents.
const maxReplicas = 4096

// Replicas makes a holder's calls to the agents of its service. Addresses are ip:port.
type Replicas interface {
	Order(ctx context.Context, address string, request *wire.OrderRequest) (*wire.OrderReply, error)
	Status(ctx context.Context, address string) (*wire.ReplicaStatus, error)
}

// GRPCReplicas implements Replicas over gRPC. Its methods return ErrUnavailable when a call fails.
type GRPCReplicas struct {
	pool *grpcpool.Pool
}

// NewGRPCReplicas returns a GRPCReplicas without connections.
func NewGRPCReplicas() *GRPCReplicas { return &GRPCReplicas{pool: grpcpool.New(maxReplicas)} }

// Close closes all connections.
func (r *GRPCReplicas) Close() { r.pool.Close() }

// Order implements Replicas.
func (r *GRPCReplicas) Order(ctx context.Context, address string, request *wire.OrderRequest) (*wire.OrderReply, error) {
	client, err := r.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Order(ctx, request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "order to %s", address)
	}
	return reply, nil
}

// Status implements Replicas.
func (r *GRPCReplicas) Status(ctx context.Context, address string) (*wire.ReplicaStatus, error) {
	client, err := r.client(address)
	if err != nil {
		return nil, err
	}
	status, err := client.Status(ctx, &wire.ReplicaStatusRequest{})
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "status of %s", address)
	}
	return status, nil
}

func (r *GRPCReplicas) client(address string) (wire.OrdersClient, error) {
	connection, err := r.pool.Get(address)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "agent %s", address)
	}
	return wire.NewOrdersClient(connection), nil
}

// orderRequest returns the wire message of a scan or an order.
func orderRequest(call Call, holder, service string) *wire.OrderRequest {
	request := &wire.OrderRequest{
		Fence:         call.Fence,
		Holder:        holder,
		Service:       service,
		WeightVersion: call.Load.WeightVersion,
		Adapter:       call.Load.Adapter,
	}
	switch {
	case call.Kind != CallOrder:
		request.Kind = wire.OrderKind_ORDER_KIND_UNSPECIFIED
	case call.Load.Adapter != "":
		request.Kind = wire.OrderKind_ORDER_KIND_LOAD_ADAPTER
	default:
		request.Kind = wire.OrderKind_ORDER_KIND_LOAD_VERSION
	}
	return request
}

func observationOf(status *wire.ReplicaStatus) Observation {
	return Observation{
		Instance:      status.GetInstance(),
		Incarnation:   status.GetIncarnation(),
		WeightVersion: status.GetWeightVersion(),
		Loading:       status.GetLoadingVersion(),
		LoadAge:       time.Duration(status.GetLoadAgeMs()) * time.Millisecond,
		Adapters:      status.GetAdapters(),
		Leaving:       status.GetLeaving(),
		HighestFence:  status.GetHighestFence(),
	}
}
