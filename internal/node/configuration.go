package node

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
)

var namespace = errorx.NewNamespace("node")

// ErrBehind means that a required configuration version did not come into force in time.
var ErrBehind = namespace.NewType("behind", errorx.Temporary())

// configuration gives a role the configuration in force. It implements config.Source.
type configuration struct {
	holder      *config.Holder
	propagation *config.Propagator

	mu sync.Mutex
	// changed is closed and replaced when another version comes into force.
	changed chan struct{}
}

func newConfiguration(holder *config.Holder, propagation *config.Propagator) *configuration {
	c := &configuration{holder: holder, propagation: propagation, changed: make(chan struct{})}
	holder.Subscribe(func(*config.Snapshot) { c.signal() })
	return c
}

func (c *configuration) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *configuration) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Current implements config.Source.
func (c *configuration) Current() *config.Snapshot { return c.holder.Current() }

// CatchUp implements config.Source. It returns ErrBehind when ctx ends before the version is in force.
func (c *configuration) CatchUp(ctx context.Context, version uint64, from string) error {
	for {
		changed := c.nextChange()
		if c.holder.Version() >= version {
			return nil
		}
		c.propagation.RecordVersion(version, from)
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrBehind.Wrap(ctx.Err(), "configuration version %d is in force, version %d is required",
				c.holder.Version(), version)
		}
	}
}
