package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func okAnswer(r *received) { r.ok("answer to " + r.id()) }

// A request reaches the server as the caller sent it, without the key and without what is the system's to set.
func TestRequestIsForwarded(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, okAnswer)
	d := deploy(c, s)
	s.drain()
	headers := "X-Own: 1\r\nBalsamyoke-Cache-Salt: stolen\r\nBalsamyoke-Hold: 7\r\nBalsamyoke-Pin-Ms: 9\r\nKv-From: 1.2.3.4:5/6\r\n" +
		"Balsamyoke-Tenant: other\r\nBalsamyoke-Expect-Instance: other\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
	a := d.mustSend("POST", "/book/a?b=c", headers, "the body")
	c.Assert(a.status, qt.Equals, 200)
	c.Assert(a.header["balsamyoke-response-stamp"], qt.Equals, "stamp")
	r, err := s.next()
	c.Assert(err, qt.IsNil)
	c.Assert(r.head, qt.Equals, "POST /book/a?b=c HTTP/1.1")
	c.Assert(r.body, qt.Equals, "the body")
	c.Assert(a.body, qt.Equals, "answer to "+r.id())
	c.Assert(r.header["x-own"], qt.Equals, "1")
	c.Assert(r.header["host"], qt.Equals, host)
	c.Assert(r.header["balsamyoke-tenant"], qt.Equals, "org")
	c.Assert(r.header["balsamyoke-expect-instance"], qt.Equals, "s0")
	for _, name := range []string{"balsamyoke-credential", "balsamyoke-hold", "balsamyoke-pin-ms", "kv-from", "balsamyoke-cache-salt", "x-hop"} {
		_, present := r.header[name]
		c.Check(present, qt.IsFalse, qt.Commentf("%s", name))
	}
	var left int
	_, _ = fmt.Sscan(r.header["balsamyoke-deadline-ms"], &left)
	c.Assert(left > 0 && left <= 2000, qt.IsTrue, qt.Commentf("deadline %d ms", left))
}

func TestUnknownRoutesAndKeysAreDenied(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, okAnswer)
	d := deploy(c, s)
	s.drain()
	c.Assert(d.mustSend("GET", "/nowhere/", "", "").status, qt.Equals, 404)
	k := d.dial()
	fmt.Fprintf(k, "GET /get/x HTTP/1.1\r\nHost: %s\r\nBalsamyoke-Request-Id: q\r\nBalsamyoke-Credential: wrong\r\n\r\n", host)
	a, err := k.read()
	c.Assert(err, qt.IsNil)
	c.Assert(a.status, qt.Equals, 401)
	c.Assert(s.requests, qt.HasLen, 0)
}

// A key that is taken away ends within moments, on open connections too.
func TestRevokedKeyIsDenied(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, okAnswer)
	d := deploy(c, s)
	k := d.dial()
	k.request("GET", "/get/x", "", "")
	a, err := k.read()
	c.Assert(err, qt.IsNil)
	c.Assert(a.status, qt.Equals, 200)
	d.put("op/config", configuration(2, `"key-2"`))
	d.eventually(func() bool {
		k.request("GET", "/get/x", "", "")
		a, err := k.read()
		return err == nil && a.status == 401
	})
}

// Bytes that two readers may take for different requests reach no server.
func TestSmuggledRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, okAnswer)
	d := deploy(c, s)
	s.drain()
	start := "POST /book/x HTTP/1.1\r\nHost: " + host + "\r\nBalsamyoke-Request-Id: q\r\nBalsamyoke-Credential: key-1\r\n"
	for _, rest := range []string{
		"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"Content-Length: +4\r\n\r\nabcd",
		"Content-Length : 4\r\n\r\nabcd",
		"X-A: b\r\n Content-Length: 4\r\n\r\nabcd",
		"Host: other.example\r\nContent-Length: 4\r\n\r\nabcd",
		"Balsamyoke-Request-Id: other\r\nContent-Length: 4\r\n\r\nabcd",
		"Content-Length: four\r\n\r\nabcd",
	} {
		k := d.dial()
		_, _ = k.Write([]byte(start + rest))
		a, err := k.read()
		c.Check(err == nil && a.status == 400, qt.IsTrue, qt.Commentf("%q: %d, %v", rest, a.status, err))
	}
	c.Assert(s.requests, qt.HasLen, 0)
}

func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, okAnswer)
	d := deploy(c, s)
	s.drain()
	c.Assert(d.mustSend("POST", "/book/x", "Content-Length: 100001\r\n", "").status, qt.Equals, 413)
	c.Assert(d.mustSend("GET", "/get/x", "X-Long: "+strings.Repeat("x", 5000)+"\r\n", "").status, qt.Equals, 431)
	c.Assert(s.requests, qt.HasLen, 0)
}

// A server that turned the request away is no reason to fail it: another one gets it.
func TestTurnedAwayRequestGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	full := startServer(c, func(r *received) { r.notRun() })
	free := startServer(c, okAnswer)
	d := deploy(c, full, free)
	for range 10 {
		c.Assert(d.mustSend("POST", "/book/x", "", "b").status, qt.Equals, 200)
	}
}

// When no server takes a request the caller learns that it has not run, and when to come back.
func TestRefusalSaysNotRunAndWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	open := make(chan struct{})
	s := startServer(c, func(r *received) {
		select {
		case <-open:
			r.notRun()
		default:
			r.ok("x")
		}
	})
	d := deploy(c, s)
	close(open)
	a := d.mustSend("POST", "/book/x", "", "b")
	c.Assert(a.status, qt.Equals, 503)
	c.Assert(a.header["retry-after"] != "", qt.IsTrue)
	c.Assert(a.header["balsamyoke-response-stamp"], qt.Equals, "")
}

// A request that can't be repeated and whose answer was lost is sent to no other server, and the caller is
// promised nothing.
func TestLostAnswerOfOnceOnlyRequestIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	lose := func(r *received) {
		if strings.Contains(r.head, "/book/") {
			_ = r.conn.Close()
			return
		}
		r.ok("x")
	}
	a, b := startServer(c, lose), startServer(c, lose)
	d := deploy(c, a, b)
	a.drain()
	b.drain()
	c.Assert(d.mustSend("POST", "/book/x", "", "b").status, qt.Equals, 502)
	c.Assert(len(a.requests)+len(b.requests), qt.Equals, 1)
}

func TestLostAnswerOfIdempotentRequestIsRepeated(t *testing.T) {
	c := qt.New(t)
	bad := startServer(c, func(r *received) { _ = r.conn.Close() })
	good := startServer(c, okAnswer)
	d := deploy(c, bad, good)
	for range 6 {
		c.Assert(d.mustSend("GET", "/get/x", "", "").status, qt.Equals, 200)
	}
}

// An answer that is cut short, isn't signed, has another body or belongs to another request never comes
// out as a success.
func TestSpoiltAnswersAreNoSuccess(t *testing.T) {
	c := qt.New(t)
	signed := "Balsamyoke-Response-Stamp: s\r\n"
	for name, text := range map[string]string{
		"cut":       "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\n" + signed + "Content-Length: 10\r\n\r\nshort",
		"cut chunk": "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"unsigned":  "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"encoded":   "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\n" + signed + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"other":     "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: not-%s\r\n" + signed + "Content-Length: 2\r\n\r\nok",
		"nonsense":  "%s nonsense\r\n\r\n",
	} {
		s := startServer(c, func(r *received) {
			if strings.Contains(r.head, "/open/") {
				r.ok("x")
				return
			}
			r.write(text, r.id())
			_ = r.conn.Close()
		})
		d := deploy(c, s)
		a, err := d.send("POST", "/book/x", "", "b")
		c.Check(err != nil || a.status != 200 || !a.whole, qt.IsTrue, qt.Commentf("%s: %d %q", name, a.status, a.body))
		d.stop()
	}
}

// A second answer to an earlier request is nobody's answer.
func TestExtraAnswersAreDropped(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, func(r *received) {
		r.ok("answer to " + r.id())
		r.ok("answer to " + r.id())
	})
	d := deploy(c, s)
	k := d.dial()
	for range 20 {
		id := k.request("GET", "/get/x", "", "")
		a, err := k.read()
		c.Assert(err, qt.IsNil)
		c.Assert(a.body, qt.Equals, "answer to "+id)
	}
}

// A caller that leaves ends the work of the server.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	s := startServer(c, func(r *received) {
		if strings.Contains(r.head, "/open/") {
			r.ok("x")
			return
		}
		select {
		case <-r.closed:
		case <-hold:
		}
	})
	c.Cleanup(func() { close(hold) })
	d := deploy(c, s)
	s.drain()
	k := d.dial()
	k.request("GET", "/get/x", "", "")
	r, err := s.next()
	c.Assert(err, qt.IsNil)
	left := time.Now()
	_ = k.Close()
	select {
	case <-r.closed:
		c.Assert(time.Since(left) < 500*time.Millisecond, qt.IsTrue)
	case <-time.After(patient):
		c.Fatal("the server still works")
	}
}

// The final answer comes when the route's time is over.
func TestTimeoutIsAnswered(t *testing.T) {
	c := qt.New(t)
	hold := make(chan struct{})
	s := startServer(c, func(r *received) {
		if strings.HasSuffix(r.head, "/open/slow HTTP/1.1") {
			<-hold
			return
		}
		r.ok("x")
	})
	c.Cleanup(func() { close(hold) })
	d := deploy(c, s)
	began := time.Now()
	a := d.mustSend("GET", "/open/slow", "", "")
	c.Assert(a.status, qt.Equals, 504)
	took := time.Since(began)
	c.Assert(took >= 400*time.Millisecond && took < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}
