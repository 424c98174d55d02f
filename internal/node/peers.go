package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/platform"
)

// listInterval is how often the instance list is read.
const listInterval = time.Second

// peers knows the other processes of the system from the instance list.
type peers struct {
	self  string
	list  platform.InstanceList
	known atomic.Pointer[[]config.Peer]
}

func newPeers(self string, list platform.InstanceList) *peers {
	p := &peers{self: self, list: list}
	p.known.Store(&[]config.Peer{})
	return p
}

// run reads the instance list until ctx ends and keeps the last one during an outage.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *peers) read(ctx context.Context) {
	instances, err := p.list.Instances(ctx)
	if err != nil {
		return
	}
	known := make([]config.Peer, 0, len(instances))
	for _, instance := range instances {
		if instance.ControlAddress == "" || instance.ID == p.self {
			continue
		}
		known = append(known, config.Peer{
			Instance:       instance.ID,
			ControlAddress: instance.ControlAddress,
			FailureDomain:  instance.FailureDomain,
		})
	}
	p.known.Store(&known)
}

// Peers implements config.Peers.
func (p *peers) Peers(n int) []config.Peer {
	drawn := append([]config.Peer(nil), *p.known.Load()...)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	if n == 0 || n > len(drawn) {
		return drawn
	}
	return drawn[:n]
}
