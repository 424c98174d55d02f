package gateway_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// framedBodies are the lines of a head that determine the end of a body, with a body that ends so.
var framedBodies = map[string]string{
	"length": "Content-Length: 5\r\n\r\nwrong",
	"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
	"close":  "\r\nwrong",
	"stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: wrong\n\n\n\r\n0\r\n\r\n",
}

// assertNoAnswer plays a server that sends text, in which %s stands for the id of the request, and closes the connection. A
// request that may run again must be answered by another server; for any other the caller must be told that it failed, and not
// that it hasn't run.
func assertNoAnswer(c *qt.C, text string) {
	c.Helper()
	var times atomic.Int64
	trouble := startServer(c, func(r *received) {
		times.Add(1)
		r.write(text, r.id())
		_ = r.conn.Close()
	})
	// A server that has failed gets no requests for a while, so that each request needs another id.
	alone := deploy(c, trouble, trouble)
	for _, path := range []string{"/book/x", "/once/x"} {
		resp := alone.mustSend("POST", path, "", "b")
		c.Assert(resp.status, qt.Equals, 502, qt.Commentf("%s: %+v", path, resp))
		c.Assert(resp.body, qt.Equals, "")
	}
	times.Store(0)
	other := startServer(c, okResponse)
	d := deploy(c, trouble, other)
	for started := time.Now(); times.Load() == 0; {
		other.discardRequests()
		resp := d.mustSend("GET", "/get/x", "", "")
		c.Assert(resp.status, qt.Equals, 200)
		c.Assert(strings.HasPrefix(resp.body, "answer to r"), qt.IsTrue, qt.Commentf("%+v", resp))
		c.Assert(time.Since(started) < testTimeout, qt.IsTrue)
	}
}

// Guards against answers whose status is none: fasthttp reports 000 as 200 and parses any other three digits.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for framing, body := range framedBodies {
			t.Run(status+" "+framing, func(t *testing.T) {
				t.Parallel()
				assertNoAnswer(qt.New(t), fmt.Sprintf("HTTP/1.1 %s OK\r\nBalsamyoke-Request-Id: %%s\r\nBalsamyoke-Response-Stamp: s\r\n%s", status, body))
			})
		}
		t.Run(status+" not run", func(t *testing.T) {
			t.Parallel()
			assertNoAnswer(qt.New(t), fmt.Sprintf("HTTP/1.1 %s OK\r\nBalsamyoke-Request-Id: %%s\r\nBalsamyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status))
		})
	}
}

// Guards against answers with a malformed field name. fasthttp drops whitespace after a name and accepts spaces within it, and joins a
// line that begins with whitespace to the one before: the caller got that line, or a body that isn't the server's.
func TestResponseWithInvalidFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{"X-Own": "1", "Content-Length": "3", "Transfer-Encoding": "chunked"} {
		for position, at := range map[string]int{"before": 0, "within": 3, "after": len(name)} {
			for _, b := range []string{" ", "\t", "\r", "\x01"} {
				t.Run(fmt.Sprintf("%s %q %s", name, b, position), func(t *testing.T) {
					t.Parallel()
					line := name[:at] + b + name[at:] + ": " + value + "\r\n"
					assertNoAnswer(qt.New(t), "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n"+line+"\r\n3\r\nbad\r\n0\r\n\r\n")
				})
			}
		}
	}
}

// Guards against bodies with their chunk sizes: a response in another version of HTTP than 1.1 has no chunks, and fasthttp ignores
// that its head states them.
func TestResponseWithChunksInOtherVersionIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/0.9", "HTTP/2.0"} {
		for name, lines := range map[string]string{"chunks": "", "chunks and length": "Content-Length: 13\r\n"} {
			t.Run(version+" "+name, func(t *testing.T) {
				t.Parallel()
				assertNoAnswer(qt.New(t), version+" 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n"+lines+framedBodies["chunks"])
			})
		}
	}
}

// Guards against a head whose first lines are joined by a lost line feed: fasthttp takes the second one for a part of the reason phrase,
// and misses where the body ends.
func TestResponseWithControlByteInStatusLineIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, b := range []string{"\r", "\x00", "\v", "\x7f"} {
		t.Run(fmt.Sprintf("%q", b), func(t *testing.T) {
			t.Parallel()
			assertNoAnswer(qt.New(t), "HTTP/1.1 200 OK"+b+"Content-Length: 10\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n"+framedBodies["close"])
		})
	}
}
