package node

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
)

var namespace = errorx.NewNamespace("node")

// ErrBehind means that a wanted configuration did not arrive in time.
var ErrBehind = namespace.NewType("behind", errorx.Temporary())

// configuration is what a role sees of the configuration in force and its spread.
type configuration struct {
	holder *config.Holder
	spread *config.Spread

	mu sync.Mutex
	// changed is closed and replaced when another version comes into force.
	changed chan struct{}
}

func newConfiguration(holder *config.Holder, spread *config.Spread) *configuration {
	c := &configuration{holder: holder, spread: spread, changed: make(chan struct{})}
	holder.Subscribe(func(*config.Snapshot) { c.signal() })
	return c
}

func (c *configuration) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *configuration) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Current implements config.Source.
func (c *configuration) Current() *config.Snapshot { return c.holder.Current() }

// CatchUp implements config.Source. It returns ErrBehind when ctx
// ends first.
func (c *configuration) CatchUp(ctx context.Context, version uint64, from string) error {
	for {
		changed := c.next()
		if c.holder.Version() >= version {
			return nil
		}
		c.spread.Heard(version, from)
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrBehind.Wrap(ctx.Err(), "version %d is in force, %d is wanted", c.holder.Version(), version)
		}
	}
}
