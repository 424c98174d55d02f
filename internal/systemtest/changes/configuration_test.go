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

// slowKVDelay is the delay of each call to a slow key-value service.
const slowKVDelay = time.Second

// versionWatch polls the versions of all processes until stop is called. It checks that within one run of a process the
// version never decreases.
type versionWatch struct {
	stop         func()
	mu           sync.Mutex
	lastVersions map[string]uint64 // last version read, by instance and process id
}

func (f *fleet) watchVersions() *versionWatch {
	n := &versionWatch{lastVersions: make(map[string]uint64)}
	stopped := make(chan struct{})
	var group sync.WaitGroup
	instances := f.processes()
	group.Go(func() {
		for {
			for _, instance := range instances {
				n.check(f, instance)
			}
			select {
			case <-stopped:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	n.stop = func() { close(stopped); group.Wait() }
	return n
}

func (n *versionWatch) check(f *fleet, instance *testbed.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	run := fmt.Sprintf("%s/%d", instance.ID, instance.Process.PID())
	version := f.version(instance)
	if version == 0 {
		return
	}
	f.c.Check(version >= n.lastVersions[run], qt.IsTrue,
		qt.Commentf("%s went from version %d to %d", run, n.lastVersions[run], version))
	n.lastVersions[run] = version
}

// restart kills a process and starts it again. The watch reads no versions meanwhile.
func (n *versionWatch) restart(f *fleet, instance *testbed.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	instance.Process.Kill()
	f.c.Assert(f.Restart(instance), qt.IsNil)
}

// Every accepted version must be in force on all processes within inForceTimeout, also while the key-value service is
// slow or down and after restarts. No process may return to an earlier version, and no request may fail.
func TestAcceptedConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c)
	f.awaitVersion(1, inForceTimeout)
	watch := f.watchVersions()
	defer watch.stop()
	callers := f.startCallers(f.Role(metastore.RoleEntry)[1:])
	settle := func() { time.Sleep(time.Second) } // callers use each version for a while

	c.Run("ordinary change", func(c *qt.C) {
		f.apply(1, "w2")
		f.awaitVersion(2, inForceTimeout)
		settle()
	})
	c.Run("racing operators", func(c *qt.C) {
		won := f.race(2)
		c.Assert(won, qt.Equals, 1)
		f.awaitVersion(3, inForceTimeout)
		settle()
	})
	c.Run("slow service", func(c *qt.C) {
		f.setFaults(testbed.Settings{"slow_ms": slowKVDelay.Milliseconds()})
		f.apply(3, "w2")
		f.awaitVersion(4, inForceTimeout)
		f.setFaults(testbed.Settings{"slow_ms": 0})
		settle()
	})
	c.Run("outage after the first process has the version", func(c *qt.C) {
		f.apply(4, "w1")
		for f.highestVersion() < 5 {
			time.Sleep(pollInterval / 10)
		}
		f.setFaults(testbed.Settings{"down": true})
		f.awaitVersion(5, inForceTimeout)
		settle()
	})
	c.Run("restarts during the outage", func(c *qt.C) {
		agent := f.Agents("archive")[0]
		watch.restart(f, agent)
		f.awaitVersion(5, inForceTimeout)
	})
	c.Run("entry restarted during the outage", func(c *qt.C) {
		watch.restart(f, f.Role(metastore.RoleEntry)[0])
		f.awaitVersion(5, inForceTimeout)
	})
	c.Run("after the outage", func(c *qt.C) {
		f.setFaults(testbed.Settings{"down": false})
		f.apply(5, "w2")
		f.awaitVersion(6, inForceTimeout)
		settle()
	})
	callers.stop()
	callers.check(time.Now(), "w1", "w2", "race-0", "race-1", "race-2", "race-3")
}

// highestVersion returns the highest version in force on any process.
func (f *fleet) highestVersion() uint64 {
	var highest uint64
	for _, instance := range f.processes() {
		highest = max(highest, f.version(instance))
	}
	return highest
}

// race lets operators change the same base version concurrently and returns how many changes were accepted.
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
