package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// maxRequestCrashes is the number of servers that a request may crash until it must be kept away, from limitContactTime later
	// on. No more than maxLateRequests of it may reach servers then.
	maxRequestCrashes = 3
	maxLateRequests   = 3
	// restartTime is how long a crashed server is down.
	restartTime = 2 * time.Second
	// crashingPath is the path of the request that crashes servers.
	crashingPath = "/get/crashing"
)

// crashes are the ends of servers under requests with crashingPath.
type crashes struct {
	mu       sync.Mutex
	reached  []time.Time
	ended    []time.Time
	restarts sync.WaitGroup
}

// crash ends a server, which starts again later under the same id.
func (w *deployment) crash(s *server) {
	w.crashes.mu.Lock()
	w.crashes.reached = append(w.crashes.reached, time.Now())
	w.crashes.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	w.crashes.mu.Lock()
	defer w.crashes.mu.Unlock()
	w.activeFaults.Add(1)
	w.startedFaults.Add(1)
	if !s.proxy.refuse() {
		w.activeFaults.Add(-1)
		return
	}
	w.crashes.ended = append(w.crashes.ended, time.Now())
	w.crashes.restarts.Go(func() {
		defer w.activeFaults.Add(-1)
		time.Sleep(restartTime)
		w.startRun(s, s.run.Load().software)
		w.register(s, stateReady)
		w.c.Check(s.proxy.listenAgain(), qt.IsNil)
	})
}

// sendCrashingRequest sends the crashing request again and again, to random gateways: with an id of its own each time, with one id, or
// with another query each time.
func (w *deployment) sendCrashingRequest(rng *rand.Rand, stop chan struct{}) {
	variant := rng.IntN(3)
	for i := 0; ; i++ {
		id, path := fmt.Sprintf("crashing%d-any", i), crashingPath
		switch variant {
		case 1:
			id = "crashing-any"
		case 2:
			path += fmt.Sprint("?page=", i)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.IntN(1500)) * time.Millisecond):
			w.probeAs(id, w.gateways[rng.IntN(len(w.gateways))].address, path)
		}
	}
}

// checkCrashes checks that the crashing request was kept away in time.
func (w *deployment) checkCrashes() {
	w.crashes.restarts.Wait()
	w.crashes.mu.Lock()
	defer w.crashes.mu.Unlock()
	late := 0
	if len(w.crashes.ended) >= maxRequestCrashes {
		for _, at := range w.crashes.reached {
			if at.After(w.crashes.ended[maxRequestCrashes-1].Add(limitContactTime)) {
				late++
			}
		}
	}
	w.c.Logf("%d servers ended under a request, %d of it too late", len(w.crashes.ended), late)
	if late > maxLateRequests {
		w.c.Errorf("a request under which %d servers had ended reached servers %d times too often, %d allowed", maxRequestCrashes, late, maxLateRequests)
	}
	if status := w.probe(w.gateways[0].address, fmt.Sprintf("/v%d/after", w.configVersion.Load())); status != 200 {
		w.c.Errorf("a sound request got status %d after the crashes", status)
	}
}
