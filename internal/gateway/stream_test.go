package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Events are passed on as they arrive.
func TestEventsArePassedOnAtOnce(t *testing.T) {
	c := qt.New(t)
	goOn := make(chan struct{})
	s := startServer(c, func(r *received) {
		if strings.Contains(r.head, "/open/") {
			r.ok("x")
			return
		}
		r.beginStream()
		r.chunk(event(1))
		<-goOn
		r.chunk(event(2))
		r.endStream()
	})
	d := deploy(c, s)
	k := d.dial()
	k.request("POST", "/stream/x", "", "prompt")
	first := make([]byte, 4096)
	seen := ""
	for !strings.Contains(seen, "token 1") {
		n, err := k.reader.Read(first)
		c.Assert(err, qt.IsNil)
		seen += string(first[:n])
	}
	c.Assert(strings.Contains(seen, "token 2"), qt.IsFalse)
	close(goOn)
	for !strings.HasSuffix(seen, "0\r\n\r\n") {
		n, err := k.reader.Read(first)
		c.Assert(err, qt.IsNil)
		seen += string(first[:n])
	}
	c.Assert(strings.Contains(seen, event(2)), qt.IsTrue)
}

// A stream that breaks off within an event goes on at another server after the last whole one, if it may.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	c := qt.New(t)
	breakOff := func(r *received) {
		switch {
		case strings.Contains(r.head, "/open/"):
			r.ok("x")
		case r.header["last-event-id"] == "":
			r.beginStream()
			r.chunk(event(1))
			r.chunk(event(2))
			r.chunk("id: 3\ndata: tok")
			_ = r.conn.Close()
		default:
			r.beginStream()
			r.chunk(event(3))
			r.chunk(event(4))
			r.endStream()
		}
	}
	a, b := startServer(c, breakOff), startServer(c, breakOff)
	d := deploy(c, a, b)
	got := d.mustSend("POST", "/stream/x", "", "prompt")
	c.Assert(got.whole, qt.IsTrue)
	c.Assert(got.body, qt.Equals, event(1)+event(2)+event(3)+event(4))
}

// One that may not be resumed is sent to no other server and doesn't look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	c := qt.New(t)
	breakOff := func(r *received) {
		if strings.Contains(r.head, "/open/") {
			r.ok("x")
			return
		}
		r.beginStream()
		r.chunk(event(1))
		_ = r.conn.Close()
	}
	a, b := startServer(c, breakOff), startServer(c, breakOff)
	d := deploy(c, a, b)
	a.drain()
	b.drain()
	got := d.mustSend("POST", "/once/x", "", "prompt")
	c.Assert(got.whole, qt.IsFalse)
	c.Assert(got.body, qt.Equals, event(1))
	c.Assert(len(a.requests)+len(b.requests), qt.Equals, 1)
}

// A stream without a length ends as complete only when its connection is closed, not when it is reset.
func TestStreamWithoutLength(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, func(r *received) {
		if strings.Contains(r.head, "/open/") {
			r.ok("x")
			return
		}
		r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n%s%s", r.id(), event(1), event(2))
		if strings.Contains(r.head, "/reset") {
			time.Sleep(100 * time.Millisecond)
			reset(r.conn)
			return
		}
		_ = r.conn.Close()
	})
	d := deploy(c, s)
	got := d.mustSend("POST", "/once/close", "", "prompt")
	c.Assert(got.whole, qt.IsTrue)
	c.Assert(got.body, qt.Equals, event(1)+event(2))
	got = d.mustSend("POST", "/once/reset", "", "prompt")
	c.Assert(got.whole, qt.IsFalse)
}

// A planned stop answers what it has taken on, and tells the balancer first.
func TestPlannedStopCutsNobodyOff(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, func(r *received) {
		if strings.Contains(r.head, "/slow") {
			time.Sleep(1500 * time.Millisecond)
		}
		r.ok("whole")
	})
	d := deployWithGrace(c, 8000, s)
	idle, busy := d.dial(), d.dial()
	idle.request("GET", "/get/x", "", "")
	_, err := idle.read()
	c.Assert(err, qt.IsNil)
	s.drain()
	busy.request("GET", "/get/slow", "", "")
	_, err = s.next()
	c.Assert(err, qt.IsNil)
	d.stop()
	d.eventually(func() bool { return d.readiness() == 503 })
	got, err := busy.read()
	c.Assert(err, qt.IsNil)
	c.Assert(got.body, qt.Equals, "whole")
	idle.request("GET", "/get/x", "", "")
	got, err = idle.read()
	c.Assert(err, qt.IsNil, qt.Commentf("a request on an open connection right after the stop"))
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.header["connection"], qt.Equals, "close")
	c.Assert(d.mustSend("GET", "/get/x", "", "").status, qt.Equals, 200, qt.Commentf("a connection that was still handed over"))
}

// A balancer that has no other instance goes on sending connections: they are taken for a while, and then no
// more, so that no request is begun with too little time to end.
func TestStopTakesNoConnectionsToTheEnd(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, okAnswer)
	d := deployWithGrace(c, 8000, s)
	began := time.Now()
	d.stop()
	for time.Since(began) < 8*time.Second {
		s.drain()
		if _, err := d.send("GET", "/get/x", "", ""); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(began)
	c.Assert(took > 2*time.Second && took < 4*time.Second, qt.IsTrue, qt.Commentf("connections were taken for %s", took))
}
