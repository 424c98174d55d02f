package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// maxRequestCrashes is the number of servers that a request may crash until it must be kept away, from contactTime later
	// on. No more than maxLateRequests of it may reach servers then.
	maxRequestCrashes = 3
	maxLateRequests   = 3
	// crashingPath is the path of requests that crash servers when they come with crashingKey.
	crashingPath = "/get/crashing"
	crashingKey  = "key-1"
	crashingOrg  = "org"
	othersKey    = "key-of-others"
)

// crashingServices are plain servers that end when they run a request that crashes is true for, and are back under
// another id after restartAfter.
type crashingServices struct {
	*crashingEngines
	crashes func(r *received) bool
}

func startCrashingServices(d *deployment, count int, restartAfter time.Duration, crashes func(r *received) bool) *crashingServices {
	s := &crashingServices{crashingEngines: &crashingEngines{d: d, restartAfter: restartAfter}, crashes: crashes}
	s.startOne = s.start
	for range count {
		s.start()
	}
	d.c.Cleanup(s.stop)
	return s
}

func (s *crashingServices) start() {
	id := s.nextID()
	var server *server
	end := sync.OnceFunc(func() { s.crash(id, server) })
	server = startServer(s.d.c, func(r *received) {
		<-server.requests
		if !s.crashes(r) {
			time.Sleep(10 * time.Millisecond)
			r.respondOK("x")
			return
		}
		s.recordReached()
		time.Sleep(30 * time.Millisecond)
		end()
	})
	s.d.register(id, server, "ready")
}

// Guards against second1 of issue 25: a request that crashed all three servers of a service each time they came back, sent
// again and again at any gateway.
func TestRequestThatCrashesAllServersOfAServiceIsKeptAway(t *testing.T) {
	byPath := func(r *received) bool { return strings.Contains(r.requestLine, crashingPath) }
	for name, play := range map[string]struct {
		// id and query return those of the i-th repeat.
		id, query func(i int) string
		crashes   func(r *received) bool
		// othersSend is set if other callers send the same GET, which is sound for them.
		othersSend bool
		// alone is set if no other requests come.
		alone bool
	}{
		"own ids":                   {crashes: byPath},
		"one id":                    {crashes: byPath, id: func(int) string { return "same" }},
		"other queries":             {crashes: byPath, query: func(i int) string { return fmt.Sprint("?page=", i) }},
		"sound for others":          {othersSend: true, crashes: func(r *received) bool { return byPath(r) && r.header["balsamyoke-tenant"] == crashingOrg }},
		"no other requests":         {crashes: byPath, alone: true},
		"no other requests, one id": {crashes: byPath, alone: true, id: func(int) string { return "same" }},
		"sound for others, one id":  {othersSend: true, id: func(int) string { return "same" }, crashes: func(r *received) bool { return byPath(r) && r.header["balsamyoke-tenant"] == crashingOrg }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := deploy(c, startServer(c, okResponse))
			d.remove("s0")
			services := startCrashingServices(d, 3, 3*time.Second, play.crashes)
			gateways := []*deployment{d, d.addGateway("h0"), d.addGateway("h1"), d.addGateway("h2"), d.addGateway("h3")}
			var mu sync.Mutex
			var soundAfter, soundServed int
			var calls sync.WaitGroup
			started := time.Now()
			settled := started.Add(3*contactTime + time.Second)
			length := 4*contactTime + time.Second
			for i := 0; time.Since(started) < length; i++ {
				if i%5 == 0 {
					id, query := fmt.Sprint("crashing", i), ""
					if play.id != nil {
						id = play.id(i)
					}
					if play.query != nil {
						query = play.query(i)
					}
					calls.Go(func() { _, _ = gateways[i/5%len(gateways)].sendAs(id, crashingKey, "GET", crashingPath+query, "") })
				}
				if !play.alone {
					calls.Go(func() {
						at := time.Now()
						path, key := fmt.Sprint("/get/", i), crashingKey
						if play.othersSend && i%2 == 0 {
							path, key = crashingPath, othersKey
						}
						resp, err := gateways[i%len(gateways)].sendAs(fmt.Sprint("sound", i), key, "GET", path, "")
						mu.Lock()
						defer mu.Unlock()
						if at.After(settled) {
							soundAfter++
							if err == nil && resp.status == 200 {
								soundServed++
							}
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
			}
			calls.Wait()
			late, crashes := services.late(maxRequestCrashes)
			c.Logf("%d servers ended, %d requests reached servers too late, %d of %d sound requests served", crashes, late, soundServed, soundAfter)
			c.Check(late <= maxLateRequests, qt.IsTrue, qt.Commentf("%d requests too late, %d servers ended", late, crashes))
			c.Check(soundServed, qt.Equals, soundAfter)
			c.Check(play.alone || soundAfter > 0, qt.IsTrue)
		})
	}
}
