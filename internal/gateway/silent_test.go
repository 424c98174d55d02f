package gateway_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/relaytest"
)

// Guards against kept connections to servers that have become silent: each of them took one more request, which got no answer,
// for longer than the contact time.
func TestKeptConnectionsThatBecameSilentAreNotUsedAfterTheContactTime(t *testing.T) {
	// contactTime is the smallest of the deployments.
	const contactTime = 3 * time.Second
	const connections = 8
	for name, direction := range map[string]relaytest.Direction{"requests": relaytest.Requests, "replies": relaytest.Replies, "both": relaytest.Both} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := startServer(c, nil)
			s.respond = func(r *received) {
				<-s.requests
				time.Sleep(100 * time.Millisecond)
				r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\nKeep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\nok", r.id())
			}
			relay, err := relaytest.Start(s.listener.Addr().String())
			c.Assert(err, qt.IsNil)
			c.Cleanup(relay.Stop)
			d := deployAs(&deployment{c: c, graceMS: 600, withoutServers: true})
			d.registerAddress("s0", relay.Address(), "ready", "v1")
			d.eventually(func() bool { return d.mustSend("GET", "/get/x", "", "").status == 200 })
			for range 2 {
				done := make(chan int, connections)
				for range connections {
					go func() {
						resp, _ := d.send("GET", "/get/x", "", "")
						done <- resp.status
					}()
				}
				for range connections {
					c.Assert(<-done, qt.Equals, 200)
				}
				relay.Silence(direction)
				time.Sleep(contactTime)
				for range connections {
					started := time.Now()
					c.Assert(d.mustSend("GET", "/get/x", "", "").status, qt.Equals, 200)
					c.Assert(time.Since(started) < time.Second, qt.IsTrue)
				}
			}
		})
	}
}
