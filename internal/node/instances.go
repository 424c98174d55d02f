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
	// listInterval is the shortest time between two readings of the instance list.
	listInterval = time.Second
	// emptyInterval is the time until the next reading of a list without rows.
	emptyInterval = 100 * time.Millisecond
	// listBytesPerSecond bounds what readings of the list cost on the mean. Long lists are read
	// less often: what processes say of themselves is newer than the list anyway.
	listBytesPerSecond = 4 << 10
	// rowBytes estimates one row of the list on the wire.
	rowBytes = 256
)

// instances is the process's one copy of the platform's instance list. It implements
// metastore.InstanceList and config.Peers for the parts of a role, so that none reads the list itself.
type instances struct {
	self   string
	list   metastore.InstanceList
	listed atomic.Pointer[[]metastore.Instance]
	// known says that listed holds a reading.
	known atomic.Bool
	// peers are the other processes of listed.
	peers atomic.Pointer[[]config.Peer]
}

func newInstances(self string, list metastore.InstanceList) *instances {
	i := &instances{self: self, list: list}
	i.listed.Store(&[]metastore.Instance{})
	i.peers.Store(&[]config.Peer{})
	return i
}

// run reads the instance list until ctx ends and keeps the last one during an outage.
func (i *instances) run(ctx context.Context) {
	for {
		i.read(ctx)
		timer := time.NewTimer(readInterval(len(*i.listed.Load())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// readInterval returns the time until the next reading of a list of the given length, with a
// quarter of jitter so that processes that started together spread out.
func readInterval(rows int) time.Duration {
	if rows == 0 {
		return emptyInterval
	}
	paced := time.Duration(rows) * rowBytes * time.Second / listBytesPerSecond
	interval := max(listInterval, paced)
	return interval*3/4 + rand.N(interval/2)
}

func (i *instances) read(ctx context.Context) {
	listed, err := i.list.Instances(ctx)
	if err != nil {
		return
	}
	i.listed.Store(&listed)
	i.peers.Store(i.peersOf(listed))
	i.known.Store(true)
}

// Instances implements metastore.InstanceList with the last reading. It returns ErrUnavailable
// before the first one.
func (i *instances) Instances(context.Context) ([]metastore.Instance, error) {
	if !i.known.Load() {
		return nil, metastore.ErrUnavailable.New("the instance list was not read yet")
	}
	return *i.listed.Load(), nil
}

// peersOf returns the other processes of a reading; stores and this process are none.
func (i *instances) peersOf(listed []metastore.Instance) *[]config.Peer {
	peers := make([]config.Peer, 0, len(listed))
	for _, instance := range listed {
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
	known := *i.peers.Load()
	if n == 0 || n >= len(known) {
		return shuffled(known)
	}
	drawn := make([]config.Peer, 0, n)
	taken := make(map[int]bool, n)
	for len(drawn) < n {
		at := rand.IntN(len(known))
		if !taken[at] {
			taken[at] = true
			drawn = append(drawn, known[at])
		}
	}
	return drawn
}

func shuffled(known []config.Peer) []config.Peer {
	peers := slices.Clone(known)
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers
}

// agentsOf returns the live agents of a service, this process with them.
func (i *instances) agentsOf(service string) []rollout.Member {
	var members []rollout.Member
	for _, instance := range *i.listed.Load() {
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
