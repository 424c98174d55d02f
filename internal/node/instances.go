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

// instancesInterval is how often the instance list is read.
const instancesInterval = time.Second

// instances keeps the last reading of the platform's instance list. During an outage of the list
// the last reading stays.
type instances struct {
	list platform.InstanceList
	self string
	last atomic.Pointer[[]platform.Instance]
}

func newInstances(list platform.InstanceList, self string) *instances {
	i := &instances{list: list, self: self}
	i.last.Store(&[]platform.Instance{})
	return i
}

func (i *instances) run(ctx context.Context) {
	ticker := time.NewTicker(instancesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.read(ctx)
		}
	}
}

func (i *instances) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, instancesInterval)
	defer cancel()
	read, err := i.list.Instances(ctx)
	if err == nil {
		i.last.Store(&read)
	}
}

// Peers implements config.Peers.
func (i *instances) Peers(n int) []config.Peer {
	listed := *i.last.Load()
	if n == 0 {
		n = len(listed)
	}
	peers := make([]config.Peer, 0, n)
	for _, at := range rand.Perm(len(listed)) {
		if len(peers) == n {
			break
		}
		instance := listed[at]
		if instance.ID == i.self || instance.ControlAddress == "" || instance.State != platform.InstanceLive {
			continue
		}
		peers = append(peers, config.Peer{
			Instance:       instance.ID,
			ControlAddress: instance.ControlAddress,
			FailureDomain:  instance.FailureDomain,
		})
	}
	return peers
}

// agentsOf returns the live agents of a service.
func (i *instances) agentsOf(service string) []rollout.Member {
	var members []rollout.Member
	for _, instance := range *i.last.Load() {
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
