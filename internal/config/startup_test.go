package config

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

// During an outage of the service a started process gets its version from peers. Peers of one failure domain alone
// may have an old version, so it must wait until peers of two domains reply.
func TestStartedProcessInAnOutageServesTheHighestVersionOfTwoDomains(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 2, 2)
	cluster.apply(t, 1)
	cluster.round(time.Unix(0, 0))
	cluster.apply(t, 2)
	cluster.nodes[0].propagator.readRoot(context.Background())
	c.Assert(cluster.nodes[0].holder.Version(), qt.Equals, uint64(2))
	c.Assert(cluster.nodes[1].holder.Version(), qt.Equals, uint64(1))
	setDown(cluster.kv, true)

	started := cluster.add("fresh", "domain-1")
	for _, domain := range []string{"domain-0", "domain-1"} {
		cluster.unreachable = map[string]bool{domain: true}
		started.propagator.startUp(context.Background(), time.Now())
		c.Assert(started.holder.Ready(), qt.IsFalse, qt.Commentf("%s unreachable", domain))
	}
	cluster.unreachable = map[string]bool{}
	started.propagator.startUp(context.Background(), time.Now())
	c.Assert(started.holder.Ready(), qt.IsTrue)
	c.Assert(started.holder.Version(), qt.Equals, uint64(2))
}

// The service goes down after all processes loaded a version but before any confirmed it. They must not
// accept each other's unconfirmed version.
func TestStartedProcessesInAnOutageDoNotConfirmEachOther(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 4, 2)
	cluster.apply(t, 1)
	for _, n := range cluster.nodes {
		root, err := n.propagator.root(context.Background(), serviceTimeout)
		c.Assert(err, qt.IsNil)
		c.Assert(n.propagator.load(context.Background(), root), qt.IsNil)
	}
	setDown(cluster.kv, true)
	for range rounds {
		cluster.round(time.Unix(0, 0))
	}
	c.Assert(cluster.behind(1), qt.Equals, len(cluster.nodes))
}

// A slow service must delay a load of a version by no more than its sequential reads take, and the exchange
// between processes not at all.
func TestVersionIsLoadedFromASlowService(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 2, 1)
	cluster.apply(t, 1)
	cluster.round(time.Unix(0, 0))
	cluster.apply(t, 2)
	const slow = 300 * time.Millisecond
	cluster.kv.SetFaults(memkv.Faults{SlowMS: int(slow.Milliseconds())})
	ahead, behind := cluster.nodes[0], cluster.nodes[1]
	startedAt := time.Now()
	ahead.propagator.readRoot(context.Background())
	c.Assert(ahead.holder.Version(), qt.Equals, uint64(2))
	// Three sequential reads: the root, the tree, and all documents concurrently.
	c.Assert(time.Since(startedAt) < 4*slow, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
	startedAt = time.Now()
	behind.propagator.tick(context.Background(), time.Unix(10, 0))
	c.Assert(behind.holder.Version(), qt.Equals, uint64(2))
	c.Assert(time.Since(startedAt) < slow, qt.IsTrue, qt.Commentf("%v", time.Since(startedAt)))
	behind.propagator.readers.Wait()
}

// All processes start at the same time while the service responds to only one read in ten.
func TestFleetStartIsConfirmedThroughASaturatedService(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 120, 6)
	cluster.apply(t, 1)
	now := time.Unix(0, 0)
	for range rounds {
		for i, n := range cluster.nodes {
			setDown(cluster.kv, (i+now.Second())%10 != 0)
			n.propagator.tick(context.Background(), now)
			n.propagator.readers.Wait()
			cluster.settle()
		}
		now = now.Add(exchangeInterval)
	}
	c.Assert(cluster.behind(1), qt.Equals, 0)
}

// A deployment with one failure domain has no second one to reply, so replies of the one must be enough.
func TestStartedProcessInAnOutageOfADeploymentWithOneDomain(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(1, 3, 1)
	cluster.apply(t, 1)
	cluster.round(time.Unix(0, 0))
	setDown(cluster.kv, true)
	started := cluster.add("fresh", "domain-0")
	started.propagator.startUp(context.Background(), time.Now())
	c.Assert(started.holder.Ready(), qt.IsTrue)
}
