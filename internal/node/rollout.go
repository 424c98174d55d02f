package node

import (
	"context"
	"fmt"
	"sync"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/rollout"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// agentRollout holds what an agent runs for rollouts: the server that checks the fence of orders to its model
// engine, and the driver of its service. Agents of plain services have none; the methods of a nil
// agentRollout do nothing.
type agentRollout struct {
	backend  *engineBackend
	server   *rollout.Server
	driver   *rollout.Driver
	replicas *rollout.GRPCReplicas
	leaving  func() bool

	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newRollout(s agent.Settings, c *common) *agentRollout {
	if s.ServiceType != manifest.ServiceModel {
		return nil
	}
	incarnation := process.NewIncarnation()
	holder := c.configuration.holder
	r := &agentRollout{
		backend:  &engineBackend{client: engine.New(s.Backend)},
		replicas: rollout.NewGRPCReplicas(),
	}
	r.server = rollout.NewServer(rollout.ServerOptions{
		Instance:      s.Instance,
		Incarnation:   incarnation,
		Service:       s.Service,
		KV:            c.kv,
		Backend:       r.backend,
		Leaving:       func() bool { return r.leaving != nil && r.leaving() },
		ConfigVersion: holder.Version,
	})
	r.driver = rollout.NewDriver(rollout.Options{
		Service:  s.Service,
		Instance: s.Instance,
		Owner:    fmt.Sprintf("%s/%x", s.Instance, incarnation),
		KV:       c.kv,
		Replicas: r.replicas,
		Members:  func() []rollout.Member { return c.instances.agentsOf(s.Service) },
		Target:   func() (rollout.Target, bool) { return targetOf(holder.Current(), s.Service) },
		Logger:   c.logger,
	})
	return r
}

// targetOf returns the rollout target of a service, and false when the configuration is unconfirmed or
// lacks the service.
func targetOf(snapshot *config.Snapshot, service string) (rollout.Target, bool) {
	if snapshot == nil || !snapshot.Confirmed {
		return rollout.Target{}, false
	}
	configured, ok := snapshot.Index.Service(service)
	if !ok {
		return rollout.Target{}, false
	}
	return rollout.Target{
		Service:            configured.Name,
		WeightVersion:      configured.WeightVersion,
		Adapters:           configured.Adapters,
		Replicas:           configured.Replicas,
		MaxConcurrentLoads: configured.MaxConcurrentLoads,
	}, true
}

// start runs the driver until ctx ends or stop is called. ctx ends when the process starts to leave, so that
// a leaving process releases the lease at once.
func (r *agentRollout) start(ctx context.Context, leaving func() bool) {
	if r == nil {
		return
	}
	r.leaving = leaving
	ctx, r.cancel = context.WithCancel(ctx)
	r.background.Go(func() { r.driver.Run(ctx) })
}

func (r *agentRollout) stop() {
	if r == nil {
		return
	}
	r.cancel()
	r.background.Wait()
	r.replicas.Close()
	r.backend.client.Close()
}

func (r *agentRollout) register(server *grpc.Server) {
	if r != nil {
		wire.RegisterOrdersServer(server, r.server)
	}
}

// engineBackend implements rollout.Backend with the client of a model engine.
type engineBackend struct {
	client *engine.Client
}

// State implements rollout.Backend.
func (b *engineBackend) State(ctx context.Context) (rollout.BackendState, error) {
	state, err := b.client.State(ctx)
	if err != nil {
		return rollout.BackendState{}, err
	}
	return rollout.BackendState{
		WeightVersion: state.Serving,
		Loading:       state.Loading,
		Adapters:      state.Adapters,
		Role:          state.Role,
	}, nil
}

// Order implements rollout.Backend.
func (b *engineBackend) Order(ctx context.Context, request *wire.OrderRequest) error {
	_, err := b.client.Order(ctx, engine.Order{
		Fence:         request.GetFence(),
		Kind:          orderKind(request.GetKind()),
		WeightVersion: request.GetWeightVersion(),
		Adapter:       request.GetAdapter(),
		Role:          request.GetRole(),
	})
	for _, refusal := range []*errorx.Type{engine.ErrUnreachable, engine.ErrRefused, engine.ErrFenced} {
		if errorx.IsOfType(err, refusal) {
			return rollout.ErrRefused.Wrap(err, "engine")
		}
	}
	return err
}

func orderKind(kind wire.OrderKind) engine.OrderKind {
	switch kind {
	case wire.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return engine.OrderLoadAdapter
	case wire.OrderKind_ORDER_KIND_SET_ROLE:
		return engine.OrderSetRole
	default:
		return engine.OrderLoadVersion
	}
}
