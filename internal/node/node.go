// Package node puts a role together with the platform's services, the spread of configurations and
// the rollout, and runs it. The cmd mains call it after their settings are checked.
package node

import (
	"context"

	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/entry"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/process"
)

// RunEntry runs the entry role until ctx ends.
func RunEntry(ctx context.Context, s entry.Settings) error {
	logger := process.NewLogger("balsam-entry", s.Instance)
	shared := newServices(s.Identity, s.Control, s.KV, s.InstanceList, logger)
	shared.start()
	defer shared.stop()
	e, err := entry.New(s, entry.Dependencies{
		Configuration: shared,
		Instances:     shared.list,
		Logger:        logger,
		Register:      shared.register,
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// RunAgent runs the agent role until ctx ends. The agent of a model service also gates the orders
// to its backend server and may drive the rollout of its service.
func RunAgent(ctx context.Context, s agent.Settings) error {
	logger := process.NewLogger("balsam-agent", s.Instance)
	shared := newServices(s.Identity, s.Control, s.KV, s.InstanceList, logger)
	shared.start()
	defer shared.stop()
	var rollout *rolloutPart
	register := shared.register
	if s.ServiceType == manifest.ServiceModel {
		rollout = newRollout(s, shared, logger)
		register = func(server *grpc.Server) {
			shared.register(server)
			rollout.register(server)
		}
	}
	a := agent.New(s, agent.Dependencies{Configuration: shared, Logger: logger, Register: register})
	if rollout != nil {
		rollout.leaving = a.IsLeaving
		rollout.start(ctx)
		defer rollout.stop()
	}
	return a.Run(ctx)
}
