package soak

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	// leaderSettled is how long the gateways run before the version is set. By then a leader has stored what it has read.
	leaderSettled = 6 * time.Second
	// unstoredFor is the time from the acknowledgement of the version to the power loss, too short for a leader to store the version.
	unstoredFor = 5 * time.Millisecond
	// powerLoss is how long the gateways stay away, longer than the margin by which they stop using overdue weights early.
	powerLoss = 2 * time.Second
)

func (e *engine) setRefusesOrders(refuses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusesOrders = refuses
}

// Guards against inc1 of issue 56: all gateways lost power right after a weight version was set, and counted it from their restart.
func TestPromptsLeaveOverdueWeightsAfterPowerLoss(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newDeployment(c, withWeights)
	c.Cleanup(func() { w.keepLogs(0) })
	w.awaitConfiguration()
	w.engines[0].setRefusesOrders(true)
	var calling sync.WaitGroup
	stop := make(chan struct{})
	defer calling.Wait()
	end := sync.OnceFunc(func() { close(stop) })
	defer end()
	for i := range callerCount {
		calling.Go(func() { (&caller{w: w, rng: rand.New(rand.NewPCG(0, uint64(i))), number: i}).run(stop) })
	}
	time.Sleep(leaderSettled)
	w.setTargetWeights()
	time.Sleep(unstoredFor)
	var all sync.WaitGroup
	for _, n := range w.gateways {
		all.Go(func() {
			w.inject(fault{"power loss of " + n.name, w.restartAfter(n, (*testbed.Process).Kill, powerLoss), true, n.name})
		})
	}
	all.Wait()
	time.Sleep(weightsWithin)
	w.engines[0].setRefusesOrders(false)
	w.awaitWeights()
	end()
	calling.Wait()
	w.checkWeightDeadlines()
}
