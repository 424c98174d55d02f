package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/rollout"
)

const (
	// minReadInterval is the shortest interval, before jitter, between two reads of the instance list.
	minReadInterval = time.Second
	// emptyListInterval is the time until the next read after a list without rows.
	emptyListInterval = 100 * time.Millisecond
	// listBytesPerSecond bounds the mean traffic of reads of the list. Long lists are read less
	// often, because the reports of the processes themselves are more recent than the list anyway.
	listBytesPerSecond = 4 << 10
	// rowBytes is the estimated size of one row of the list on the wire.
	rowBytes = 256
)

// instances is the process's only copy of the platform's instance list. It implements
// metastore.InstanceList and config.Peers for the components of a role, so that they don't read the list
// themselves.
type instances struct {
	self string
	list metastore.InstanceList
	rows atomic.Pointer[[]metastore.Instance]
	// loaded reports whether rows holds the result of a read.
	loaded atomic.Bool
	// peers are the other processes in rows.
	peers atomic.Pointer[[]config.Peer]
}

func newInstances(self string, list metastore.InstanceList) *instances {
	i := &instances{self: self, list: list}
	i.rows.Store(&[]metastore.Instance{})
	i.peers.Store(&[]config.Peer{})
	return i
}

// run reads the instance list at intervals until ctx ends. During an outage it keeps the last result.
func (i *instances) run(ctx context.Context) {
	for {
		i.read(ctx)
		timer := time.NewTimer(readInterval(len(*i.rows.Load())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// readInterval returns the time until the next read of a list with the given number of rows. The jitter of
// up to a quarter keeps processes that started together from reading at the same time.
func readInterval(rows int) time.Duration {
	if rows == 0 {
		return emptyListInterval
	}
	paced := time.Duration(rows) * rowBytes * time.Second / listBytesPerSecond
	interval := max(minReadInterval, paced)
	return interval*3/4 + rand.N(interval/2)
}

func (i *instances) read(ctx context.Context) {
	rows, err := i.list.Instances(ctx)
	if err != nil {
		return
	}
	i.rows.Store(&rows)
	i.peers.Store(i.peersOf(rows))
	i.loaded.Store(true)
}

// Instances implements metastore.InstanceList with the result of the last read. It returns
// metastore.ErrUnavailable before the first one.
func (i *instances) Instances(context.Context) ([]metastore.Instance, error) {
	if !i.loaded.Load() {
		return nil, metastore.ErrUnavailable.New("the instance list was not read yet")
	}
	return *i.rows.Load(), nil
}

// peersOf returns the processes of a list other than this one. Stores have no control address and are left out.
func (i *instances) peersOf(rows []metastore.Instance) *[]config.Peer {
	peers := make([]config.Peer, 0, len(rows))
	for _, instance := range rows {
		if instance.ControlAddress == "" || instance.ID == i.self {
			continue
		}
		peers = append(peers, config.Peer{
			Instance:       instance.ID,
			ControlAddress: instance.ControlAddress,
			FailureDomain:  instance.FailureDomain,
		})
	}
	return &peers
}

// Count implements config.Peers.
func (i *instances) Count() int { return len(*i.peers.Load()) }

// Peers implements config.Peers.
func (i *instances) Peers(n int) []config.Peer {
	all := *i.peers.Load()
	if n == 0 || n >= len(all) {
		return shuffled(all)
	}
	sample := make([]config.Peer, 0, n)
	picked := make(map[int]bool, n)
	for len(sample) < n {
		index := rand.IntN(len(all))
		if !picked[index] {
			picked[index] = true
			sample = append(sample, all[index])
		}
	}
	return sample
}

func shuffled(all []config.Peer) []config.Peer {
	copied := slices.Clone(all)
	rand.Shuffle(len(copied), func(a, b int) { copied[a], copied[b] = copied[b], copied[a] })
	return copied
}

// agentsOf returns the live agents of a service, including this process.
func (i *instances) agentsOf(service string) []rollout.Member {
	var members []rollout.Member
	for _, instance := range *i.rows.Load() {
		if instance.Role != metastore.RoleAgent || instance.Service != service || instance.State != metastore.InstanceLive {
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
