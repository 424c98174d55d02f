package node

import (
	"context"
	"sync"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/platform/etcdhttp"
	"balsamyoke.example/balsamyoke/internal/platform/listhttp"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// services are what every process has: the platform's services and the configuration in force.
type services struct {
	kv        *etcdhttp.Client
	list      *listhttp.Client
	instances *instances
	holder    *config.Holder
	messenger *config.GRPCMessenger
	spread    *config.Spread

	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newServices(identity process.Identity, control, kv, list string, logger *zap.Logger) *services {
	s := &services{
		kv:        etcdhttp.New(kv),
		list:      listhttp.New(list),
		holder:    config.NewHolder(),
		messenger: config.NewGRPCMessenger(),
	}
	s.instances = newInstances(s.list, identity.Instance)
	s.spread = config.NewSpread(config.SpreadOptions{
		Self: config.Peer{
			Instance:       identity.Instance,
			ControlAddress: control,
			FailureDomain:  identity.FailureDomain,
		},
		Holder:    s.holder,
		Store:     config.NewStore(s.kv),
		Peers:     s.instances,
		Messenger: s.messenger,
		Logger:    logger,
	})
	return s
}

// start reads the instance list once, so that the first look at peers is not at an empty list, and
// goes on in the background.
func (s *services) start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.background.Go(func() {
		s.instances.read(ctx)
		s.background.Go(func() { s.instances.run(ctx) })
		s.spread.Run(ctx)
	})
}

// stop ends what start began.
func (s *services) stop() {
	s.cancel()
	s.background.Wait()
	s.messenger.Close()
	s.list.Close()
	s.kv.Close()
}

func (s *services) register(server *grpc.Server) {
	wire.RegisterConfigurationServer(server, s.spread.Server())
}

// Current implements entry.Configuration and agent.Configuration.
func (s *services) Current() *config.Snapshot { return s.holder.Current() }

// CatchUp implements entry.Configuration and agent.Configuration.
func (s *services) CatchUp(ctx context.Context, version uint64, from string) error {
	return s.spread.CatchUp(ctx, version, from)
}
