package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// cluster is a set of processes in one test; calls between them are function calls.
type cluster struct {
	kv     *memkv.Store
	nodes  []*node
	byName map[string]*node
	random *rand.Rand
	// lose is the share of notify calls that get lost, half of them after they arrived.
	lose float64
	// unreachable failure domains answer no call.
	unreachable map[string]bool
}

type node struct {
	peer    Peer
	cluster *cluster
	holder  *Holder
	spread  *Spread
}

func newCluster(seed uint64, nodes, domains int) *cluster {
	c := &cluster{
		kv:          memkv.New(),
		byName:      make(map[string]*node),
		random:      rand.New(rand.NewPCG(seed, 1)),
		unreachable: make(map[string]bool),
	}
	for i := range nodes {
		c.add(fmt.Sprintf("node-%d", i), fmt.Sprintf("domain-%d", i%domains))
	}
	return c
}

func (c *cluster) add(name, domain string) *node {
	n := &node{
		peer:    Peer{Instance: name, ControlAddress: name, FailureDomain: domain},
		cluster: c,
		holder:  NewHolder(),
	}
	n.spread = NewSpread(SpreadOptions{
		Self: n.peer, Holder: n.holder, Store: NewStore(c.kv), Peers: n, Messenger: n,
	})
	c.nodes = append(c.nodes, n)
	c.byName[name] = n
	return n
}

// Count implements Peers.
func (n *node) Count() int { return len(n.cluster.nodes) - 1 }

// Peers implements Peers.
func (n *node) Peers(count int) []Peer {
	var peers []Peer
	for _, i := range n.cluster.random.Perm(len(n.cluster.nodes)) {
		if other := n.cluster.nodes[i]; other != n && (count == 0 || len(peers) < count) {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

var errLost = status.Error(codes.Unavailable, "lost")

// Notify implements Messenger.
func (n *node) Notify(ctx context.Context, address string, request *wire.NotifyRequest) (*wire.NotifyReply, error) {
	to := n.cluster.byName[address]
	chance := n.cluster.random.Float64()
	if n.cluster.unreachable[to.peer.FailureDomain] || chance < n.cluster.lose/2 {
		return nil, errLost
	}
	reply, err := to.spread.Server().Notify(ctx, request)
	if chance < n.cluster.lose {
		return nil, errLost
	}
	return reply, err
}

// Pull implements Messenger.
func (n *node) Pull(ctx context.Context, address string, request *wire.PullRequest) (*wire.PullReply, error) {
	to := n.cluster.byName[address]
	if n.cluster.unreachable[to.peer.FailureDomain] {
		return nil, errLost
	}
	return to.spread.Server().Pull(ctx, request)
}

// round lets one exchangeInterval pass: each node ticks once, in random order.
func (c *cluster) round(now time.Time) {
	for _, i := range c.random.Perm(len(c.nodes)) {
		c.nodes[i].spread.tick(context.Background(), now)
		c.nodes[i].spread.readers.Wait()
		c.settle()
	}
}

// settle lets nodes that were woken pull and tell others, until none is.
func (c *cluster) settle() {
	for again := true; again; {
		again = false
		for _, n := range c.nodes {
			select {
			case <-n.spread.wake:
				n.spread.step(context.Background())
				again = true
			default:
			}
		}
	}
}

func (c *cluster) behind(version uint64) int {
	count := 0
	for _, n := range c.nodes {
		if !n.holder.Ready() || n.holder.Version() < version {
			count++
		}
	}
	return count
}

func (c *cluster) apply(tb testing.TB, version uint64) {
	_, err := NewStore(c.kv).Apply(context.Background(), version-1, sample(int(version)), fmt.Sprint(version))
	qt.Assert(tb, err, qt.IsNil)
}

const (
	// inForceWithin is the target: an accepted version is in force everywhere within 12 s.
	inForceWithin = 12 * time.Second
	rounds        = int(inForceWithin / exchangeInterval)
)

// One watcher sees the new version, then the service goes down and most calls between processes
// are lost.
func TestVersionIsInForceEverywhereInTimeWhenNotifiesAreLost(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			cluster := newCluster(seed, 300, 6)
			cluster.apply(t, 1)
			now := time.Unix(0, 0)
			cluster.round(now)
			c.Assert(cluster.behind(1), qt.Equals, 0)

			cluster.apply(t, 2)
			cluster.lose = 0.7
			cluster.nodes[0].spread.readRoot(context.Background())
			setDown(cluster.kv, true)
			for range rounds {
				now = now.Add(exchangeInterval)
				cluster.round(now)
			}
			c.Assert(cluster.behind(2), qt.Equals, 0)
		})
	}
}

// Without any call between processes the paced reads carry a version through a small deployment.
func TestPacedReadsReachASmallDeploymentAlone(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 40, 3)
	cluster.apply(t, 1)
	now := time.Unix(0, 0)
	cluster.round(now)
	cluster.apply(t, 2)
	cluster.lose = 1
	for range rounds {
		now = now.Add(exchangeInterval)
		cluster.round(now)
	}
	c.Assert(cluster.behind(2), qt.Equals, 0)
}

func TestReadsOfTheRootStayBoundedAsTheFleetGrows(t *testing.T) {
	c := qt.New(t)
	for _, processes := range []int{2, 40, 200, 3100 + 7900} {
		perSecond := float64(processes) / readInterval(processes).Seconds()
		c.Assert(perSecond <= fleetReadsPerSecond, qt.IsTrue, qt.Commentf("%d processes: %v/s", processes, perSecond))
		perSecond = float64(processes) / startReadInterval(processes).Seconds()
		c.Assert(perSecond <= startReadsPerSecond, qt.IsTrue, qt.Commentf("%d fresh processes: %v/s", processes, perSecond))
	}
}

func TestAFewProcessesOfEachDomainWatch(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 300, 6)
	watching := make(map[string]int)
	for _, n := range cluster.nodes {
		if watches(n.peer, n.Peers(0)) {
			watching[n.peer.FailureDomain]++
		}
	}
	c.Assert(watching, qt.HasLen, 6)
	for domain, count := range watching {
		c.Assert(count, qt.Equals, watchersPerDomain, qt.Commentf(domain))
	}
}

func TestPullsOverTheLimitAreRefused(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 1, 1)
	cluster.apply(t, 1)
	cluster.round(time.Unix(0, 0))
	server := cluster.nodes[0].spread.Server()
	size := cluster.nodes[0].holder.Delta(nil).bytes()
	served := uint64(0)
	for {
		_, err := server.Pull(context.Background(), &wire.PullRequest{})
		if err != nil {
			c.Assert(status.Code(err), qt.Equals, codes.ResourceExhausted)
			break
		}
		served += size
		c.Assert(served < 2*pullBurst, qt.IsTrue)
	}
	c.Assert(served > pullBurst/2, qt.IsTrue)
}

func TestPullSendsOnlyWhatTheCallerLacks(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 2, 1)
	cluster.apply(t, 1)
	cluster.round(time.Unix(0, 0))
	cluster.apply(t, 2)
	ahead, other := cluster.nodes[0], cluster.nodes[1]
	ahead.spread.readRoot(context.Background())
	reply, err := ahead.spread.Server().Pull(context.Background(), &wire.PullRequest{
		HaveVersion: other.holder.Version(), HaveDigests: shorten(other.holder.Digests()),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.GetDocuments(), qt.HasLen, 2)
	accepted, err := other.holder.Offer(fromReply(reply))
	c.Assert(err, qt.IsNil)
	c.Assert(accepted, qt.IsTrue)
}

// listed is a fixed list of peers.
type listed struct {
	mu    sync.Mutex
	peers []Peer
}

func (l *listed) set(peers ...Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// Count implements Peers.
func (l *listed) Count() int { return len(l.Peers(0)) }

func (l *listed) Peers(n int) []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == 0 || n > len(l.peers) {
		n = len(l.peers)
	}
	return append([]Peer(nil), l.peers[:n]...)
}

// Two running processes over gRPC: one watches the service, the other cannot reach it.
func TestVersionsTravelOverGRPC(t *testing.T) {
	c := qt.New(t)
	kv, cut := memkv.New(), memkv.New()
	setDown(cut, true)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()

	lists := []*listed{{}, {}}
	holders := []*Holder{NewHolder(), NewHolder()}
	for i, service := range []*memkv.Store{kv, cut} {
		messenger := NewGRPCMessenger()
		defer messenger.Close()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		self := Peer{Instance: fmt.Sprint(i), ControlAddress: listener.Addr().String(), FailureDomain: "a"}
		lists[1-i].set(self)
		spread := NewSpread(SpreadOptions{
			Self: self, Holder: holders[i], Store: NewStore(service), Peers: lists[i], Messenger: messenger,
		})
		server := grpc.NewServer()
		wire.RegisterConfigurationServer(server, spread.Server())
		group.Go(func() { _ = server.Serve(listener) })
		defer server.Stop()
		group.Go(func() { spread.Run(ctx) })
	}
	for version := uint64(1); version <= 3; version++ {
		_, err := NewStore(kv).Apply(ctx, version-1, sample(int(version)), fmt.Sprint(version))
		c.Assert(err, qt.IsNil)
		for _, holder := range holders {
			waitFor(c, func() bool { return holder.Ready() && holder.Version() == version })
		}
	}
}

func waitFor(c *qt.C, done func() bool) {
	deadline := time.Now().Add(inForceWithin)
	for !done() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not done within %v", inForceWithin))
		time.Sleep(5 * time.Millisecond)
	}
}
