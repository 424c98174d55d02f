package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// framedBodies are the lines of a head that determine the end of a body, with a body that ends so.
var framedBodies = map[string]string{
	"length": "Content-Length: 5\r\n\r\nwrong",
	"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
	"close":  "\r\nwrong",
	"stream": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: wrong\n\n\n\r\n0\r\n\r\n",
}

// malformedResponses is a deployment whose server sends text, in which %s stands for the id of the request, as its response and closes
// the connection. It answers a request that comes once more.
type malformedResponses struct {
	*deployment
	text  atomic.Value
	times atomic.Int64
}

// deployMalformedResponses registers the server under enough ids for that many responses. A server that has sent one gets no requests
// for a while.
func deployMalformedResponses(c *qt.C, responses int) *malformedResponses {
	m := &malformedResponses{}
	m.text.Store("")
	var s *server
	s = startServer(c, func(r *received) {
		<-s.requests
		if m.times.Add(1) > 1 {
			okResponse(r)
			return
		}
		r.write(m.text.Load().(string), r.id())
		_ = r.conn.Close()
	})
	m.deployment = deployAs(&deployment{c: c, graceMS: 600, retrySlack: float64(responses)}, slices.Repeat([]*server{s}, 4*responses)...)
	return m
}

// checkNoAnswer checks that no caller gets text as an answer. A request that may run again must be answered by the next server; for any
// other the caller must be told that it failed, and not that it hasn't run.
func (m *malformedResponses) checkNoAnswer(text string) {
	m.c.Helper()
	m.text.Store(text)
	for _, path := range []string{"/book/x", "/once/x"} {
		m.times.Store(0)
		resp := m.mustSend("POST", path, "", "b")
		m.c.Check(resp.status, qt.Equals, 502, qt.Commentf("%s: %+v after %q", path, resp, text))
		m.c.Check(resp.body, qt.Equals, "")
		m.c.Check(m.times.Load(), qt.Equals, int64(1))
	}
	m.times.Store(0)
	resp := m.mustSend("GET", "/get/x", "", "")
	m.c.Check(resp.status == 200 && strings.HasPrefix(resp.body, "answer to r"), qt.IsTrue, qt.Commentf("%+v after %q", resp, text))
	m.c.Check(m.times.Load(), qt.Equals, int64(2))
}

// Guards against answers whose status isn't a valid one: fasthttp reports 000 as 200 and parses any other three digits.
func TestResponseWithInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	statuses := []string{"000", "001", "099", "600", "999"}
	m := deployMalformedResponses(qt.New(t), len(statuses)*(len(framedBodies)+1))
	for _, status := range statuses {
		for _, body := range framedBodies {
			m.checkNoAnswer(fmt.Sprintf("HTTP/1.1 %s OK\r\nBalsamyoke-Request-Id: %%s\r\nBalsamyoke-Response-Stamp: s\r\n%s", status, body))
		}
		m.checkNoAnswer(fmt.Sprintf("HTTP/1.1 %s OK\r\nBalsamyoke-Request-Id: %%s\r\nBalsamyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status))
	}
}

// Guards against answers with a malformed field name. fasthttp drops whitespace after a name and accepts spaces within it, and joins a
// line that begins with whitespace to the one before: the caller got that line, or a body that isn't the server's.
func TestResponseWithInvalidFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()
	invalid := []string{" ", "\t", "\r", "\x01"}
	fields := map[string]string{"X-Own": "1", "Content-Length": "3", "Transfer-Encoding": "chunked"}
	m := deployMalformedResponses(qt.New(t), 3*len(invalid)*len(fields))
	for name, value := range fields {
		for _, at := range []int{0, 3, len(name)} {
			for _, b := range invalid {
				line := name[:at] + b + name[at:] + ": " + value + "\r\n"
				m.checkNoAnswer("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n" + line + "\r\n3\r\nbad\r\n0\r\n\r\n")
			}
		}
	}
}

// Guards against bodies with their chunk sizes: a response in another version of HTTP than 1.1 has no chunks, and fasthttp ignores
// that its head states them.
func TestResponseWithChunksInOtherVersionIsNoAnswer(t *testing.T) {
	t.Parallel()
	versions := []string{"HTTP/1.0", "HTTP/1.2", "HTTP/0.9", "HTTP/2.0"}
	m := deployMalformedResponses(qt.New(t), 2*len(versions))
	for _, version := range versions {
		for _, length := range []string{"", "Content-Length: 13\r\n"} {
			m.checkNoAnswer(version + " 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n" + length + framedBodies["chunks"])
		}
	}
}

// Guards against a head whose first lines are joined by a lost line feed: fasthttp takes the second one for a part of the reason phrase,
// and misses where the body ends.
func TestResponseWithControlByteInStatusLineIsNoAnswer(t *testing.T) {
	t.Parallel()
	invalid := []string{"\r", "\x00", "\v", "\x7f"}
	m := deployMalformedResponses(qt.New(t), len(invalid))
	for _, b := range invalid {
		m.checkNoAnswer("HTTP/1.1 200 OK" + b + "Content-Length: 10\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n" + framedBodies["close"])
	}
}
