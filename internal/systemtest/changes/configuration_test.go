package changes

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

// slowService is the delay of each call to a slow key-value service.
const slowService = time.Second

// neverBack looks at the versions of all processes until stop: within one run of a process they
// never fall, and a process that has started again does not begin below floor.
type neverBack struct {
	stop func()
	mu   sync.Mutex
	runs map[string]uint64 // version last seen, by instance and process id
}

func (f *fleet) watchVersions() *neverBack {
	n := &neverBack{runs: make(map[string]uint64)}
	stopped := make(chan struct{})
	var group sync.WaitGroup
	instances := f.processes()
	group.Go(func() {
		for {
			for _, instance := range instances {
				n.look(f, instance)
			}
			select {
			case <-stopped:
				return
			case <-time.After(lookInterval):
			}
		}
	})
	n.stop = func() { close(stopped); group.Wait() }
	return n
}

func (n *neverBack) look(f *fleet, instance *testbed.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	run := fmt.Sprintf("%s/%d", instance.ID, instance.Process.PID())
	version := f.version(instance)
	if version == 0 {
		return
	}
	f.c.Check(version >= n.runs[run], qt.IsTrue, qt.Commentf("%s went from version %d to %d", run, n.runs[run], version))
	n.runs[run] = version
}

// restart kills a process and starts it again, out of sight of the watch.
func (n *neverBack) restart(f *fleet, instance *testbed.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	instance.Process.Kill()
	f.c.Assert(f.Restart(instance), qt.IsNil)
}

func TestAcceptedConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	f.awaitVersion(1, inForceWithin)
	watch := f.watchVersions()
	defer watch.stop()
	callers := f.startCallers(f.Role(metastore.RoleEntry)[1:])
	settle := func() { time.Sleep(time.Second) } // callers see each change for a while

	c.Run("ordinary change", func(c *qt.C) {
		f.apply(1, "w2")
		f.awaitVersion(2, inForceWithin)
		settle()
	})
	c.Run("racing operators", func(c *qt.C) {
		won := f.race(2)
		c.Assert(won, qt.Equals, 1)
		f.awaitVersion(3, inForceWithin)
		settle()
	})
	c.Run("slow service", func(c *qt.C) {
		f.setFaults(testbed.Settings{"slow_ms": slowService.Milliseconds()})
		f.apply(3, "w2")
		f.awaitVersion(4, inForceWithin)
		f.setFaults(testbed.Settings{"slow_ms": 0})
		settle()
	})
	c.Run("outage after the first process knows", func(c *qt.C) {
		f.apply(4, "w1")
		for f.mostKnown() < 5 {
			time.Sleep(lookInterval / 10)
		}
		f.setFaults(testbed.Settings{"down": true})
		f.awaitVersion(5, inForceWithin)
		settle()
	})
	c.Run("restarts during the outage", func(c *qt.C) {
		agent := f.Service("archive")[0]
		watch.restart(f, agent)
		f.awaitVersion(5, inForceWithin)
	})
	c.Run("entry restarted during the outage", func(c *qt.C) {
		watch.restart(f, f.Role(metastore.RoleEntry)[0])
		f.awaitVersion(5, inForceWithin)
	})
	c.Run("after the outage", func(c *qt.C) {
		f.setFaults(testbed.Settings{"down": false})
		f.apply(5, "w2")
		f.awaitVersion(6, inForceWithin)
		settle()
	})
	callers.stop()
	callers.check(time.Now(), "w1", "w2", "race-0", "race-1", "race-2", "race-3")
}

// mostKnown returns the highest version in force on any process.
func (f *fleet) mostKnown() uint64 {
	var most uint64
	for _, instance := range f.processes() {
		most = max(most, f.version(instance))
	}
	return most
}

// race lets operators change the same base version at once and returns how many won.
func (f *fleet) race(base uint64) int {
	const operators = 4
	var group sync.WaitGroup
	var mu sync.Mutex
	won := 0
	for i := range operators {
		group.Go(func() {
			version := fmt.Sprintf("race-%d", i)
			_, err := f.store.Apply(f.ctx, base, testManifest(version), version)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won++
				return
			}
			f.c.Check(errorx.IsOfType(err, config.ErrRaceLost), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
	group.Wait()
	return won
}
