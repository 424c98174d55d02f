package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/rollout"
)

// listInterval is how often the instance list is read.
const listInterval = time.Second

// peers knows the other processes of the system from the instance list.
type peers struct {
	self   string
	list   platform.InstanceList
	known  atomic.Pointer[[]config.Peer]
	listed atomic.Pointer[[]platform.Instance]
}

func newPeers(self string, list platform.InstanceList) *peers {
	p := &peers{self: self, list: list}
	p.known.Store(&[]config.Peer{})
	p.listed.Store(&[]platform.Instance{})
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
	p.listed.Store(&instances)
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

// agentsOf returns the live agents of a service, this process with them.
func (p *peers) agentsOf(service string) []rollout.Member {
	var members []rollout.Member
	for _, instance := range *p.listed.Load() {
		if instance.Role != platform.RoleAgent || instance.Service != service || instance.State != platform.InstanceLive {
			continue
		}
		members = append(members, rollout.Member{
			Instance:       instance.ID,
			ControlAddress: instance.ControlAddress,
			FailureDomain:  instance.FailureDomain,
		})
	}
	return members
}
