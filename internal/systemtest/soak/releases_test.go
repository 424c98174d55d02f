package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// drainTime is how long a server serves on after it has registered that it drains, longer than any stream.
	drainTime = 2 * time.Second
	// releaseGap is the time between the replacements of two servers, at most.
	releaseGap = 600 * time.Millisecond
	// releasePause is the longest time between two releases of software.
	releasePause = 4 * time.Second
)

// softwareVersions are the software versions of releases. Their names have no order.
var softwareVersions = []string{"v1", "v2", "v10", "canary"}

// releaseSoftware replaces the software of servers again and again until stop is closed, back and forth.
func (w *deployment) releaseSoftware(rng *rand.Rand, stop chan struct{}) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for {
		software := softwareVersions[rng.IntN(len(softwareVersions))]
		servers := w.currentServers()
		if rng.IntN(2) == 0 {
			servers = nil
			for _, e := range w.currentEngines() {
				servers = append(servers, e.server)
			}
		}
		// Half of the releases stop half-way: two software versions then serve beside each other.
		count := len(servers) / (1 + rng.IntN(2))
		inPlace := rng.IntN(3) == 0
		w.c.Logf("%s release of %s to %d of %d servers of service %s, in place: %v", time.Now().Format(clockFormat), software, count, len(servers), servers[0].service, inPlace)
		for _, s := range servers[:count] {
			if s.run.Load().software == software {
				continue
			}
			if inPlace {
				away := 100*time.Millisecond + time.Duration(rng.Int64N(int64(expiryTime)))
				w.inject(fault{inject: func() { w.crashServer(s, software, away) }})
			} else {
				w.replace(s, software, &leaving)
			}
			if !sleepUnless(stop, time.Duration(rng.Int64N(int64(releaseGap)))) {
				return
			}
		}
		if !sleepUnless(stop, time.Duration(rng.Int64N(int64(releasePause)))) {
			return
		}
	}
}

// sleepUnless sleeps and returns true, or returns false as soon as stop is closed.
func sleepUnless(stop chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// replace starts a server with other software, then lets the server that it replaces drain and leave.
func (w *deployment) replace(s *server, software string, leaving *sync.WaitGroup) {
	w.fleetMu.Lock()
	isEngine := slices.ContainsFunc(w.engines, func(e *engine) bool { return e.server == s })
	w.fleetMu.Unlock()
	if isEngine {
		started := w.startEngine(software, w.targetWeights.Load())
		w.fleetMu.Lock()
		i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.server == s })
		w.engines[i] = started
		w.fleetMu.Unlock()
	} else {
		started := w.startServer(software)
		w.fleetMu.Lock()
		w.backendServers[slices.Index(w.backendServers, s)] = started
		w.fleetMu.Unlock()
	}
	time.Sleep(releaseGap / 2)
	w.leave(s)
	leaving.Go(func() {
		time.Sleep(drainTime)
		w.unregister(s, true)
		s.proxy.refuse()
	})
}

// drawReleaseFault draws a fault that breaks streams.
func (w *deployment) drawReleaseFault(rng *rand.Rand) fault {
	servers := w.allServers()
	s := servers[rng.IntN(len(servers))]
	away := 100*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))
	faults := []fault{
		{fmt.Sprintf("server %s crashes, back after %s", s.id, away), func() { w.crashServer(s, s.run.Load().software, away) }, false, ""},
		{fmt.Sprintf("connections to %s are reset", s.id), s.proxy.resetOpen, false, ""},
		{fmt.Sprintf("metadata store restored from a copy of %s ago", away), func() { w.restoreStore(away) }, false, storeScope},
	}
	return faults[rng.IntN(len(faults))]
}
