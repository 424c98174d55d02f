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

// cluster is a set of simulated processes; calls between them are function calls.
type cluster struct {
	kv     *memkv.Store
	nodes  []*node
	byName map[string]*node
	random *rand.Rand
	// lossRate is the fraction of notify calls that are lost, half of them after the callee handled them.
	lossRate float64
	// unreachable is the set of failure domains to which all calls fail.
	unreachable map[string]bool
}

type node struct {
	peer       Peer
	cluster    *cluster
	holder     *Holder
	propagator *Propagator
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
	n.propagator = NewPropagator(PropagatorOptions{
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
	if n.cluster.unreachable[to.peer.FailureDomain] || chance < n.cluster.lossRate/2 {
		return nil, errLost
	}
	reply, err := to.propagator.Server().Notify(ctx, request)
	if chance < n.cluster.lossRate {
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
	return to.propagator.Server().Pull(ctx, request)
}

// round simulates one exchangeInterval: each node ticks once, in random order.
func (c *cluster) round(now time.Time) {
	for _, i := range c.random.Perm(len(c.nodes)) {
		c.nodes[i].propagator.tick(context.Background(), now)
		c.nodes[i].propagator.readers.Wait()
		c.settle()
	}
}

// settle runs step on the nodes that requested it, until no node does.
func (c *cluster) settle() {
	for again := true; again; {
		again = false
		for _, n := range c.nodes {
			select {
			case <-n.propagator.stepDue:
				n.propagator.step(context.Background())
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
	_, err := NewStore(c.kv).Apply(context.Background(), version-1, sampleManifest(int(version)), fmt.Sprint(version))
	qt.Assert(tb, err, qt.IsNil)
}

const (
	// maxPropagationTime is the target: an accepted version is in force in all processes within 12 s.
	maxPropagationTime = 12 * time.Second
	rounds             = int(maxPropagationTime / exchangeInterval)
)

// One process reads the new version, then the service goes down and most notify calls between processes are
// lost. The version must still reach all processes in time.
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
			cluster.lossRate = 0.7
			cluster.nodes[0].propagator.readRoot(context.Background())
			setDown(cluster.kv, true)
			for range rounds {
				now = now.Add(exchangeInterval)
				cluster.round(now)
			}
			c.Assert(cluster.behind(2), qt.Equals, 0)
		})
	}
}

// All notify calls between processes are lost. The periodic reads of the root alone must distribute the
// version in a small deployment in time.
func TestPeriodicReadsAloneReachASmallDeployment(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 40, 3)
	cluster.apply(t, 1)
	now := time.Unix(0, 0)
	cluster.round(now)
	cluster.apply(t, 2)
	cluster.lossRate = 1
	for range rounds {
		now = now.Add(exchangeInterval)
		cluster.round(now)
	}
	c.Assert(cluster.behind(2), qt.Equals, 0)
}

func TestReadsOfTheRootStayBoundedAsTheFleetGrows(t *testing.T) {
	c := qt.New(t)
	// The last is the design size: 3,100 entries and 7,900 agents.
	for _, processes := range []int{2, 40, 200, 3100 + 7900} {
		perSecond := float64(processes) / readInterval(processes).Seconds()
		c.Assert(perSecond <= maxFleetReadsPerSecond, qt.IsTrue, qt.Commentf("%d processes: %v/s", processes, perSecond))
		perSecond = float64(processes) / startReadInterval(processes).Seconds()
		c.Assert(perSecond <= maxStartReadsPerSecond, qt.IsTrue, qt.Commentf("%d started processes: %v/s", processes, perSecond))
	}
}

func TestAFewProcessesOfEachDomainWatch(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 300, 6)
	watching := make(map[string]int)
	for _, n := range cluster.nodes {
		if shouldWatch(n.peer, n.Peers(0)) {
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
	server := cluster.nodes[0].propagator.Server()
	pullBytes := cluster.nodes[0].holder.Delta(nil).bytes()
	servedBytes := uint64(0)
	for {
		_, err := server.Pull(context.Background(), &wire.PullRequest{})
		if err != nil {
			c.Assert(status.Code(err), qt.Equals, codes.ResourceExhausted)
			break
		}
		servedBytes += pullBytes
		c.Assert(servedBytes < 2*pullBurst, qt.IsTrue)
	}
	c.Assert(servedBytes > pullBurst/2, qt.IsTrue)
}

func TestPullSendsOnlyWhatTheCallerLacks(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 2, 1)
	cluster.apply(t, 1)
	cluster.round(time.Unix(0, 0))
	cluster.apply(t, 2)
	ahead, other := cluster.nodes[0], cluster.nodes[1]
	ahead.propagator.readRoot(context.Background())
	reply, err := ahead.propagator.Server().Pull(context.Background(), &wire.PullRequest{
		HaveVersion: other.holder.Version(), HaveDigests: digestPrefixes(other.holder.Digests()),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.GetDocuments(), qt.HasLen, 2)
	accepted, err := other.holder.Offer(fromReply(reply))
	c.Assert(err, qt.IsNil)
	c.Assert(accepted, qt.IsTrue)
}

// peerList is a list of peers that a test sets. It implements Peers.
type peerList struct {
	mu    sync.Mutex
	peers []Peer
}

func (l *peerList) set(peers ...Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// Count implements Peers.
func (l *peerList) Count() int { return len(l.Peers(0)) }

func (l *peerList) Peers(n int) []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n == 0 || n > len(l.peers) {
		n = len(l.peers)
	}
	return append([]Peer(nil), l.peers[:n]...)
}

// Two processes run over gRPC: one watches the service, the other cannot reach it and must get each version
// from the first.
func TestVersionsPropagateOverGRPC(t *testing.T) {
	c := qt.New(t)
	kv, unreachableKV := memkv.New(), memkv.New()
	setDown(unreachableKV, true)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()

	peerLists := []*peerList{{}, {}}
	holders := []*Holder{NewHolder(), NewHolder()}
	for i, service := range []*memkv.Store{kv, unreachableKV} {
		messenger := NewGRPCMessenger()
		defer messenger.Close()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		self := Peer{Instance: fmt.Sprint(i), ControlAddress: listener.Addr().String(), FailureDomain: "a"}
		peerLists[1-i].set(self)
		propagator := NewPropagator(PropagatorOptions{
			Self: self, Holder: holders[i], Store: NewStore(service), Peers: peerLists[i], Messenger: messenger,
		})
		server := grpc.NewServer()
		wire.RegisterConfigurationServer(server, propagator.Server())
		group.Go(func() { _ = server.Serve(listener) })
		defer server.Stop()
		group.Go(func() { propagator.Run(ctx) })
	}
	for version := uint64(1); version <= 3; version++ {
		_, err := NewStore(kv).Apply(ctx, version-1, sampleManifest(int(version)), fmt.Sprint(version))
		c.Assert(err, qt.IsNil)
		for _, holder := range holders {
			waitFor(c, func() bool { return holder.Ready() && holder.Version() == version })
		}
	}
}

func waitFor(c *qt.C, done func() bool) {
	deadline := time.Now().Add(maxPropagationTime)
	for !done() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("condition not met within %v", maxPropagationTime))
		time.Sleep(5 * time.Millisecond)
	}
}
