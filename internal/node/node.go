// Package node connects a role to the platform's services and runs it. The main packages in cmd call it
// once their settings are checked.
package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/entry"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/listhttp"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
	"balsamyoke.example/balsamyoke/platform"
)

// common holds the components that every role uses.
type common struct {
	logger        *zap.Logger
	kv            metastore.KV
	instances     *instances
	configuration *configuration
	propagation   *config.Propagator
}

// newCommon creates the components that every role uses, with clients of the platform's services.
func newCommon(program string, s process.Settings) *common {
	c := &common{
		logger:    process.NewLogger(program, s.Instance),
		kv:        platform.NewMetastore(s.KV),
		instances: newInstances(s.Instance, listhttp.New(s.InstanceList)),
	}
	holder := config.NewHolder()
	c.propagation = config.NewPropagator(config.PropagatorOptions{
		Self: config.Peer{
			Instance:       s.Instance,
			ControlAddress: s.Control,
			FailureDomain:  s.FailureDomain,
		},
		Holder:    holder,
		Store:     config.NewStore(c.kv),
		Peers:     c.instances,
		Messenger: config.NewGRPCMessenger(),
		Logger:    c.logger,
	})
	c.configuration = newConfiguration(holder, c.propagation)
	return c
}

// start runs the background tasks of every role, and the extra ones of this role, until the returned
// function is called.
func (c *common) start(extra ...func(context.Context)) context.CancelFunc {
	background, stop := context.WithCancel(context.Background())
	for _, run := range extra {
		go run(background)
	}
	go c.instances.run(background)
	go c.propagation.Run(background)
	return stop
}

// register adds the control services that every role serves to the server.
func (c *common) register(server *grpc.Server) {
	wire.RegisterConfigurationServer(server, c.propagation.Server())
}

// RunEntry runs the entry role until ctx ends.
func RunEntry(ctx context.Context, s entry.Settings) error {
	c := newCommon("balsam-entry", s.Settings)
	claimer := claim.New(c.kv, time.Now)
	e, err := entry.New(s, entry.Dependencies{
		Configuration: c.configuration,
		Instances:     c.instances,
		Claims:        claimer,
		Logger:        c.logger,
		Register:      c.register,
		Inspect:       func() any { return c.inspect(nil) },
	})
	if err != nil {
		return err
	}
	defer c.start(claimer.Run)()
	return e.Run(ctx)
}

// RunAgent runs the agent role until ctx ends.
func RunAgent(ctx context.Context, s agent.Settings) error {
	c := newCommon("balsam-agent", s.Settings)
	rollout := newRollout(s, c)
	a := agent.New(s, agent.Dependencies{
		Configuration: c.configuration,
		Instances:     c.instances,
		Logger:        c.logger,
		Register: func(server *grpc.Server) {
			c.register(server)
			rollout.register(server)
		},
		Inspect: func() any { return c.inspect(rollout) },
	})
	defer c.start()()
	rollout.start(ctx, a.IsLeaving)
	defer rollout.stop()
	return a.Run(ctx)
}
