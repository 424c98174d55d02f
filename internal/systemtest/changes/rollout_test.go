package changes

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/rollout"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	// swapTimeout allows for three rounds of two loads and the polls between them.
	swapTimeout = 15 * time.Second
	// takeoverTimeout adds the time until the lease expires, and twice the time after which an unreachable replica's
	// load must have ended.
	takeoverTimeout = swapTimeout + 2*rollout.DefaultMaxLoadTime + 10*time.Second
	// noticeTimeout limits the time from the swap until an agent has noticed it; the agent polls its engine every
	// 250 ms. Until then the agent may admit a request that the engine runs with the old version, which it still keeps.
	noticeTimeout = time.Second
	// leaseWait is longer than the rollout lease.
	leaseWait = 8 * time.Second
)

// leaseHolder returns the agent that holds the rollout lease and its fencing token, or nil when there is none.
func (f *fleet) leaseHolder() (*testbed.Instance, uint64) {
	record, err := f.kv.Get(f.ctx, rollout.Key("assistant"))
	if err != nil {
		return nil, 0
	}
	name, _, _ := strings.Cut(string(record.Value), "/")
	for _, agent := range f.Agents("assistant") {
		if agent.ID == name {
			return agent, uint64(record.CreateRevision)
		}
	}
	return nil, 0
}

func (f *fleet) awaitLeaseHolder() (*testbed.Instance, uint64) {
	for start := time.Now(); ; time.Sleep(pollInterval) {
		if agent, fence := f.leaseHolder(); agent != nil {
			return agent, fence
		}
		f.c.Assert(time.Since(start) < takeoverTimeout, qt.IsTrue)
	}
}

// awaitLoad waits until any replica is loading.
func (f *fleet) awaitLoad() {
	for start := time.Now(); ; time.Sleep(pollInterval / 10) {
		for _, agent := range f.Agents("assistant") {
			if f.engineStateOf(agent).Loading != "" {
				return
			}
		}
		f.c.Assert(time.Since(start) < swapTimeout, qt.IsTrue)
	}
}

// order is one order that an engine has carried out.
type order struct {
	Fence         uint64 `json:"fence"`
	WeightVersion string `json:"weight_version"`
}

// checkOrders checks that no engine carried out an order with an older fencing token after one with a newer token, and
// that no more than maxLoads replicas loaded at once.
func (f *fleet) checkOrders(agents []*testbed.Instance) {
	for _, agent := range agents {
		var orders []order
		f.c.Assert(testbed.Call(f.ctx, "GET", agent.BackendAddress, "/admin/orders", nil, &orders), qt.IsNil)
		for i := 1; i < len(orders); i++ {
			f.c.Check(orders[i].Fence >= orders[i-1].Fence, qt.IsTrue, qt.Commentf("%s carried out %+v", agent.ID, orders))
		}
	}
	f.c.Check(f.peakLoads() <= maxLoads, qt.IsTrue, qt.Commentf("%d loads at once", f.peakLoads()))
}

// Every request during the swap must get a complete answer of one version. Requests that start after all agents must
// have noticed the swap of their engines must not use the old version.
func TestWeightSwapUnderLoadFailsNoRequest(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	f.awaitVersion(1, inForceTimeout)
	callers := f.startCallers(f.Role(metastore.RoleEntry))
	time.Sleep(time.Second)
	f.apply(1, "w2")
	f.awaitServing(f.Agents("assistant"), "w2", swapTimeout)
	noticeDeadline := time.Now().Add(noticeTimeout)
	time.Sleep(2 * noticeTimeout)
	callers.stop()
	counts := callers.check(noticeDeadline, "w1", "w2")
	c.Check(counts["w1"] > 0, qt.IsTrue)
	c.Check(counts["w2"] > 0, qt.IsTrue)
	f.checkOrders(f.Agents("assistant"))
}

// The agent that holds the rollout lease is frozen until the lease has expired, and resumes after its successor has
// taken over. No engine may carry out an order of the first holder after one of its successor.
func TestHolderFrozenPastItsLeaseIsReplacedAndHarmlessAfterResuming(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	f.awaitVersion(1, inForceTimeout)
	first, fence := f.awaitLeaseHolder()
	f.apply(1, "w2")
	f.awaitLoad()
	first.Process.Freeze()
	frozenAt := time.Now()
	others := without(f.Agents("assistant"), first)
	f.awaitServing(others, "w2", takeoverTimeout)
	second, nextFence := f.awaitLeaseHolder()
	c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
	c.Assert(nextFence > fence, qt.IsTrue)
	time.Sleep(max(0, leaseWait-time.Since(frozenAt)))
	first.Process.Thaw()
	f.apply(2, "w3")
	f.awaitServing(f.Agents("assistant"), "w3", takeoverTimeout)
	f.checkOrders(f.Agents("assistant"))
}

// The agent that holds the rollout lease and the engine of another replica that is loading are killed together. The
// other replicas and the restarted agent must still get the new version.
func TestRolloutCompletesAfterHolderAndLoaderAreKilled(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	f.awaitVersion(1, inForceTimeout)
	holder, _ := f.awaitLeaseHolder()
	callers := f.startCallers(f.Role(metastore.RoleEntry))
	f.apply(1, "w2")
	loader := f.awaitLoadOfOther(holder)
	holder.Process.Kill()
	loader.Backend.Kill()
	f.reportLoadEnd(loader)
	alive := without(f.Agents("assistant"), loader)
	f.awaitServing(without(alive, holder), "w2", takeoverTimeout)
	c.Assert(f.Restart(holder), qt.IsNil)
	f.awaitServing(alive, "w2", takeoverTimeout)
	callers.stop()
	callers.check(time.Now(), "w1", "w2")
	f.checkOrders(alive)
}

// reportLoadEnd reports to the weight store that the load of a killed engine has ended. The engine may have
// reported the start just before it was killed; the pause lets that report arrive first. The next holder takes longer
// than the pause to take over.
func (f *fleet) reportLoadEnd(loader *testbed.Instance) {
	time.Sleep(pollInterval)
	path := "/loads/end?engine=" + loader.BackendAddress
	f.c.Assert(testbed.Call(f.ctx, "POST", f.WeightsAddress, path, nil, nil), qt.IsNil)
}

// awaitLoadOfOther waits until a replica other than the excluded one is loading, and returns it.
func (f *fleet) awaitLoadOfOther(excluded *testbed.Instance) *testbed.Instance {
	for start := time.Now(); ; time.Sleep(pollInterval / 10) {
		for _, agent := range without(f.Agents("assistant"), excluded) {
			if f.engineStateOf(agent).Loading != "" {
				return agent
			}
		}
		f.c.Assert(time.Since(start) < swapTimeout, qt.IsTrue)
	}
}

func without(agents []*testbed.Instance, excluded *testbed.Instance) []*testbed.Instance {
	var kept []*testbed.Instance
	for _, agent := range agents {
		if agent != excluded {
			kept = append(kept, agent)
		}
	}
	return kept
}
