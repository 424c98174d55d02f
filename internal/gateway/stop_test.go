package gateway_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that are passed on during a planned stop, in calm, and cut at the end of the grace time without an
// answer. Requests come on new and on kept connections until the process is gone, at servers that take longer than the grace
// time; each request that reached a server gets an answer that doesn't say that it hasn't run.
func TestPlannedStopLeavesNoRequestWithoutAnAnswer(t *testing.T) {
	for name, graceMS := range map[string]int{"short grace": 900, "grace": 4000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var mu sync.Mutex
			passedOn := make(map[string]bool)
			release := make(chan struct{})
			var s *server
			s = startServer(c, func(r *received) {
				<-s.requests
				if r.header["x-slow"] == "" {
					r.respondOK("warm")
					return
				}
				mu.Lock()
				passedOn[r.id()] = true
				mu.Unlock()
				<-release
			})
			c.Cleanup(func() { close(release) })
			d := deployWithGrace(c, graceMS, s)
			var kept []*client
			for range 20 {
				k := d.dial()
				k.request("GET", "/get/x", "", "")
				_, err := k.readResponse()
				c.Assert(err, qt.IsNil)
				kept = append(kept, k)
			}
			statuses := make(map[string]int)
			var clients sync.WaitGroup
			c.Cleanup(clients.Wait)
			send := func(k *client) {
				id := k.request("POST", "/book/x", "X-Slow: 1\r\n", "b")
				clients.Go(func() {
					resp, _ := k.readResponse()
					mu.Lock()
					defer mu.Unlock()
					statuses[id] = resp.status
				})
			}
			send(d.dial())
			time.Sleep(50 * time.Millisecond)
			d.stop()
			ended := make(chan struct{})
			go func() {
				d.ended <- <-d.ended
				close(ended)
			}()
			for i := 0; ; i++ {
				select {
				case <-ended:
				case <-time.After(time.Duration(graceMS) * time.Millisecond / 40):
					if i%2 == 0 && i/2 < len(kept) {
						send(kept[i/2])
					} else if k, err := d.tryDial(); err == nil {
						send(k)
					}
					continue
				}
				break
			}
			// What the process has written arrives, and nothing more: its connections end with it.
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			c.Assert(len(passedOn) > 1, qt.IsTrue)
			for id := range passedOn {
				status := statuses[id]
				c.Check(status == 502 || status == 504, qt.IsTrue, qt.Commentf("request %s got %d", id, status))
			}
		})
	}
}
