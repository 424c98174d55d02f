package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

// fault is one failure. inject causes it and, if it lasts for a while, ends it before returning.
type fault struct {
	name   string
	inject func()
	// excuses is set for faults after which requests to servers may come late or from a gateway that doesn't know their
	// limits.
	excuses bool
	// impairs is the gateway or server that the fault impairs, or storeScope; empty if none.
	impairs string
}

// drawOwnFault draws a fault of a kind of run, or nil.
func (w *deployment) drawOwnFault(k kind, rng *rand.Rand) *fault {
	draw := map[kind]func(*rand.Rand) fault{withWeights: w.drawWeightsFault, withReleases: w.drawReleaseFault, withEvacuations: w.drawEvacuationFault, withColdServers: w.drawColdFault}[k]
	if draw == nil || rng.IntN(faultsPerEngineFault) != 0 {
		return nil
	}
	f := draw(rng)
	return &f
}

// inject injects a fault and records what it impairs.
func (w *deployment) inject(f fault) {
	w.activeFaults.Add(1)
	defer w.activeFaults.Add(-1)
	w.startedFaults.Add(1)
	inject := f.inject
	if f.impairs != "" {
		inject = w.impairments.during(f.impairs, inject)
	}
	inject()
}

func (w *deployment) drawFault(rng *rand.Rand) fault {
	n := w.gateways[rng.IntN(len(w.gateways))]
	servers := w.currentServers()
	s := servers[rng.IntN(len(servers))]
	m := mode(1 + rng.IntN(int(modeCount)-1))
	duration := time.Duration(100+rng.IntN(2000)) * time.Millisecond
	proxyFault := func(p *proxy) func() { return modeFault(p, m, duration) }
	faults := []fault{
		w.killGateway(n),
		{"stop " + n.name, w.restart(n, (*testbed.Process).Terminate), true, n.name},
		{"pause " + n.name, w.disturbances.during("", func() {
			n.mu.Lock()
			p := n.process
			n.mu.Unlock()
			p.Freeze()
			time.Sleep(duration)
			p.Thaw()
		}), true, n.name},
		{"hangup " + n.name, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			// SIGHUP ends a process that has just been started and doesn't handle signals yet.
			if conn, err := net.DialTimeout("tcp4", n.address, time.Second); err == nil {
				_ = conn.Close()
				_ = syscall.Kill(n.process.PID(), syscall.SIGHUP)
			}
		}, false, ""},
		{fmt.Sprintf("metadata store of %s mode %d", n.name, m), proxyFault(n.proxy), false, n.name},
		{fmt.Sprintf("server %s mode %d", s.id, m), w.disturbances.during(s.id, proxyFault(s.proxy)), true, s.id},
		{"metadata store down", func() {
			w.c.Check(w.store.SetFaults(memkv.Faults{Down: true}), qt.IsNil)
			time.Sleep(duration)
			w.c.Check(w.store.SetFaults(memkv.Faults{}), qt.IsNil)
		}, false, storeScope},
		{"metadata store loses responses", func() { w.c.Check(w.store.SetFaults(memkv.Faults{LoseResponses: 5}), qt.IsNil) }, false, storeScope},
		{"metadata store compacted", func() { w.store.Store().Compact() }, false, ""},
		{"configuration change", func() { w.changeConfiguration() }, false, ""},
		{"server " + s.id + " drains", func() { w.drain(s, duration) }, false, ""},
	}
	return faults[rng.IntN(len(faults))]
}

func (w *deployment) killGateway(n *gatewayProcess) fault {
	return fault{"kill " + n.name, w.restart(n, (*testbed.Process).Kill), true, n.name}
}

// restart returns a function that ends a gateway, paused or not, and starts it again.
func (w *deployment) restart(n *gatewayProcess, stop func(*testbed.Process)) func() {
	return w.restartAfter(n, stop, 0)
}

// restartAfter is restart for a gateway that stays away for a time.
func (w *deployment) restartAfter(n *gatewayProcess, stop func(*testbed.Process), away time.Duration) func() {
	return w.disturbances.during("", func() {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		p.Thaw()
		stop(p)
		<-p.Ended()
		time.Sleep(away)
		w.restartGateway(n, p, w.gatewayBinary())
	})
}

func (w *deployment) gatewayBinary() string {
	folder, err := testbed.Binaries()
	w.c.Assert(err, qt.IsNil)
	return filepath.Join(folder, "balsam-gateway")
}

// drawEngineFault draws a fault of the engines, their weights or their cache stores.
func (w *deployment) drawEngineFault(rng *rand.Rand) fault {
	engines := w.currentEngines()
	e := engines[rng.IntN(len(engines))]
	cache := rng.IntN(len(w.cacheStores))
	m := mode(1 + rng.IntN(int(modeCount)-1))
	duration := time.Duration(100+rng.IntN(2000)) * time.Millisecond
	faults := []fault{
		{"target weights change", w.setTargetWeights, false, ""},
		{fmt.Sprintf("cache store %d restarts", cache), w.cacheStores[cache].restart, false, ""},
		{fmt.Sprintf("cache store %d mode %d", cache, m), modeFault(w.cacheStores[cache].proxy, m, duration), false, ""},
		{fmt.Sprintf("engine %s mode %d", e.id, m), w.disturbances.during(e.id, modeFault(e.proxy, m, duration)), true, e.id},
		{"engine " + e.id + " restarts", e.restart, false, ""},
	}
	return faults[rng.IntN(len(faults))]
}

// modeFault returns a function that sets the mode of a proxy for a duration.
func modeFault(p *proxy, m mode, duration time.Duration) func() {
	return func() { p.setMode(m); time.Sleep(duration); p.setMode(passThrough) }
}

var configMutex sync.Mutex

func (w *deployment) changeConfiguration() {
	configMutex.Lock()
	defer configMutex.Unlock()
	w.putConfiguration(w.configVersion.Load() + 1)
}
