package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEarlyServer starts a server that responds to a POST request when it has read the head, and not the body.
func startEarlyServer(c *qt.C, respond func(r *received, conn *net.TCPConn)) *server {
	listener := listen(c, func(conn net.Conn) { go serveEarly(conn.(*net.TCPConn), respond) })
	c.Cleanup(func() { _ = listener.Close() })
	return &server{listener: listener}
}

func serveEarly(conn *net.TCPConn, respond func(r *received, conn *net.TCPConn)) {
	defer conn.Close()
	// The smallest buffer leaves the body unread.
	reader := bufio.NewReaderSize(conn, 16)
	for {
		r, err := readHead(reader, conn)
		if err != nil {
			return
		}
		if strings.HasPrefix(r.requestLine, "POST ") {
			respond(r, conn)
			return
		}
		r.respondOK("x")
	}
}

// earlyResets are the ways in which a server resets a connection whose request it hasn't read.
var earlyResets = map[string]func(conn *net.TCPConn){
	"at once":              func(conn *net.TCPConn) { reset(conn) },
	"later":                func(conn *net.TCPConn) { time.Sleep(100 * time.Millisecond); reset(conn) },
	"after a part is read": func(conn *net.TCPConn) { _, _ = conn.Read(make([]byte, 10<<10)); reset(conn) },
	// The kernel resets a connection that is closed while it has unread bytes.
	"by a close": func(conn *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = conn.Close() },
}

// Guards against a part of an answer that its caller gets as a complete one: a server answers a long request at once, with neither
// a length nor chunks, and resets the connection while the request is still being sent.
func TestEarlyAnswerThatIsResetIsIncomplete(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const maxBody = 16_000_000
	longBodies := strings.Replace(configuration(1, `"key-1"`), `"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":%d`, maxBody), 1)
	contentTypes := []string{"text/plain", "text/event-stream"}
	// The socket buffers of both ends hold the shorter requests, which the gateway has written by then, but not the longest one.
	sizes := []int{1 << 10, 100 << 10, maxBody}
	var contentType atomic.Value
	var resetEarly atomic.Value
	var times atomic.Int64
	s := startEarlyServer(c, func(r *received, conn *net.TCPConn) {
		times.Add(1)
		r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\nContent-Type: %s\r\n\r\n%s", r.id(), contentType.Load(), event(1))
		resetEarly.Load().(func(*net.TCPConn))(conn)
	})
	// A server that has broken off a response gets no requests for a while.
	cases := len(contentTypes) * len(sizes) * len(earlyResets)
	d := deployAs(&deployment{c: c, graceMS: 600, memoryMB: 256, retrySlack: float64(cases), configuration: longBodies}, slices.Repeat([]*server{s}, 4*cases)...)
	for when, resetConn := range earlyResets {
		resetEarly.Store(resetConn)
		for _, mediaType := range contentTypes {
			contentType.Store(mediaType)
			for _, size := range sizes {
				body := strings.Repeat("b", size)
				for path, attempts := range map[string]int64{"/book/x": 1, "/get/x": 2} {
					times.Store(0)
					resp := d.mustSend("POST", path, "", body)
					c.Check(resp.status, qt.Equals, 502, qt.Commentf("%s, %s, %d bytes, reset %s: %+v", path, mediaType, size, when, resp))
					c.Check(times.Load(), qt.Equals, attempts)
				}
				// The events of a stream reach the caller as they arrive.
				resp, err := d.send("POST", "/once/x", "", body)
				c.Check(err == nil && resp.status == 200 && resp.complete, qt.IsFalse, qt.Commentf("%s, %d bytes, reset %s: %+v", mediaType, size, when, resp))
			}
		}
	}
}
