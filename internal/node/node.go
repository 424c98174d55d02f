// Package node puts a role together with the platform's services and runs it. The cmd mains call
// it after their settings are checked.
package node

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/entry"
	"balsamyoke.example/balsamyoke/internal/platform/etcdhttp"
	"balsamyoke.example/balsamyoke/internal/platform/listhttp"
	"balsamyoke.example/balsamyoke/internal/process"
)

// followInterval is how often the root of the configuration is read.
const followInterval = 500 * time.Millisecond

// RunEntry runs the entry role until ctx ends.
func RunEntry(ctx context.Context, s entry.Settings) error {
	logger := process.NewLogger("balsam-entry", s.Instance)
	follower := newFollower(s.KV, logger)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go follower.run(background)
	e, err := entry.New(s, entry.Dependencies{
		Configuration: follower,
		Instances:     listhttp.New(s.InstanceList),
		Logger:        logger,
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// RunAgent runs the agent role until ctx ends.
func RunAgent(ctx context.Context, s agent.Settings) error {
	logger := process.NewLogger("balsam-agent", s.Instance)
	follower := newFollower(s.KV, logger)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go follower.run(background)
	return agent.New(s, agent.Dependencies{Configuration: follower, Logger: logger}).Run(ctx)
}

// follower keeps a Holder up to date from the key-value service.
type follower struct {
	holder *config.Holder
	store  *config.Store
	logger *zap.Logger
}

func newFollower(address string, logger *zap.Logger) *follower {
	return &follower{
		holder: config.NewHolder(),
		store:  config.NewStore(etcdhttp.New(address)),
		logger: logger,
	}
}

// Current implements entry.Configuration and agent.Configuration.
func (f *follower) Current() *config.Snapshot { return f.holder.Current() }

// CatchUp implements entry.Configuration and agent.Configuration.
func (f *follower) CatchUp(ctx context.Context, version uint64, _ string) error {
	for f.holder.Version() < version {
		if err := f.read(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *follower) run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		if err := f.read(ctx); err != nil && !errorx.IsOfType(err, config.ErrUnavailable) && !errorx.IsOfType(err, config.ErrNotFound) {
			f.logger.Warn("configuration not read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read puts the newest configuration in force.
func (f *follower) read(ctx context.Context) error {
	root, err := f.store.Root(ctx)
	if err != nil {
		return err
	}
	if root.Version > f.holder.Version() {
		bundle, err := f.store.Load(ctx, root.Version, root.Digest, f.holder.Delta(nil).Documents)
		if err != nil {
			return err
		}
		if _, err := f.holder.Offer(bundle); err != nil {
			return err
		}
		f.logger.Info("configuration in force", zap.Uint64("version", root.Version))
	}
	f.holder.Confirm(root.Version)
	return nil
}
