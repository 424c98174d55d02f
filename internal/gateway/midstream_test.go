package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// errorPage is an error's text with empty lines, which a reader of events could take for events.
const errorPage = "<html>\n\n<h1>out of memory</h1>\n\n</html>\n\n"

// streamBreaks are the ways in which a server breaks off a chunked stream after its first events.
var streamBreaks = map[string]func(r *received){
	"close": func(r *received) { _ = r.conn.Close() },
	"reset": func(r *received) {
		time.Sleep(50 * time.Millisecond)
		reset(r.conn)
	},
	"truncated chunk": func(r *received) {
		r.write("40\r\nid: 3\ndata: tok")
		_ = r.conn.Close()
	},
	"no chunk": func(r *received) { r.write("no chunk\n\n") },
	"head of a response": func(r *received) {
		r.write("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/html\r\n\r\n%s", errorPage)
	},
	"end within an event": func(r *received) {
		r.chunk("id: 3\ndata: tok")
		r.endStream()
	},
}

func (r *received) respondError(status string, headers, body string) {
	r.write("HTTP/1.1 %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.id(), headers, len(body), body)
}

func (r *received) respondStream(events ...string) {
	r.startStream()
	for _, e := range events {
		r.chunk(e)
	}
	r.endStream()
}

// continuation is a response to a request for the rest of a stream of which the caller has the events 1 and 2.
type continuation struct {
	respond func(r *received)
	// rest is what the caller gets of it, complete whether its stream then ends as complete.
	rest     string
	complete bool
}

// continuations holds good and bad responses, by name.
var continuations = map[string]continuation{
	"the rest": {
		respond: func(r *received) { r.respondStream(event(3), event(4)) },
		rest:    event(3) + event(4), complete: true,
	},
	"the rest after interim responses": {
		respond: func(r *received) {
			r.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
			r.respondStream(event(3), event(4))
		},
		rest: event(3) + event(4), complete: true,
	},
	"the rest without a content type": {
		respond: func(r *received) { r.respondError("200 OK", "", event(3)+event(4)) },
		rest:    event(3) + event(4), complete: true,
	},
	"no further event before its connection ends": {respond: func(r *received) {
		r.streamHeader("")
		r.write("%s", event(1)+event(2))
		_ = r.conn.Close()
	}},
	"a comment before its connection ends": {respond: func(r *received) {
		r.streamHeader("")
		r.write(": wait\n\n")
		_ = r.conn.Close()
	}, rest: ": wait\n\n"},
	"no event before its connection ends": {respond: func(r *received) { r.streamHeader(""); _ = r.conn.Close() }},
	"no further event":                    {respond: func(r *received) { r.respondStream() }, complete: true},
	"part of the rest":                    {rest: event(3), respond: func(r *received) { r.startStream(); r.chunk(event(3) + "id: 4\n"); _ = r.conn.Close() }},
	"500":                                 {respond: func(r *received) { r.respondError("500 Internal Server Error", "", errorPage) }},
	"503":                                 {respond: func(r *received) { r.respondError("503 Service Unavailable", "", errorPage) }},
	"503, not run":                        {respond: func(r *received) { r.respondNotRun() }},
	"504":                                 {respond: func(r *received) { r.respondError("504 Gateway Timeout", "", errorPage) }},
	"404":                                 {respond: func(r *received) { r.respondError("404 Not Found", "", errorPage) }},
	"400":                                 {respond: func(r *received) { r.respondError("400 Bad Request", "", errorPage) }},
	"421":                                 {respond: func(r *received) { r.respondError("421 Misdirected Request", "", errorPage) }},
	"redirect":                            {respond: func(r *received) { r.respondError("307 Temporary Redirect", "Location: /elsewhere\r\n", errorPage) }},
	"interim, then 500": {respond: func(r *received) {
		r.write("HTTP/1.1 100 Continue\r\n\r\n")
		r.respondError("500 Internal Server Error", "", errorPage)
	}},
	"large 500": {respond: func(r *received) { r.respondError("500 Internal Server Error", "", strings.Repeat(errorPage, 10<<10)) }},
	"large 404": {respond: func(r *received) { r.respondError("404 Not Found", "", strings.Repeat(errorPage, 10<<10)) }},
	"events under 404": {respond: func(r *received) {
		r.respondError("404 Not Found", "Content-Type: text/event-stream\r\n", event(3)+event(4))
	}},
	"unsigned": {respond: func(r *received) {
		r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", r.id(), len(event(3)), event(3))
	}},
	"encoded": {respond: func(r *received) {
		r.respondError("200 OK", "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n", event(3))
	}},
	"no HTTP":           {respond: func(r *received) { r.write("%s", errorPage); _ = r.conn.Close() }},
	"head only":         {respond: func(r *received) { r.startStream(); _ = r.conn.Close() }},
	"connection closed": {respond: func(r *received) { _ = r.conn.Close() }},
	"JSON": {respond: func(r *received) {
		r.respondError("200 OK", "Content-Type: application/json\r\n", "{\"error\":\"out of memory\"}\n\n")
	}},
	"page": {respond: func(r *received) { r.respondError("200 OK", "Content-Type: text/html\r\n", errorPage) }},
	"page that ends with its connection": {respond: func(r *received) {
		r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\nContent-Type: text/html; charset=utf-8\r\n\r\n%s", r.id(), errorPage)
		_ = r.conn.Close()
	}},
	"page with an empty body": {respond: func(r *received) { r.respondError("200 OK", "Content-Type: text/html\r\n", "") }},
	"events under 201":        {respond: func(r *received) { r.respondError("201 Created", "Content-Type: text/event-stream\r\n", event(3)) }},
	"204": {respond: func(r *received) {
		r.write("HTTP/1.1 204 No Content\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n\r\n", r.id())
	}},
	"all events from the first": {
		respond: func(r *received) { r.respondStream(event(1), event(2)+event(3), event(4)) },
		rest:    event(3) + event(4), complete: true,
	},
	"the last event once more": {
		respond: func(r *received) { r.respondStream(event(2), event(3), event(4)) },
		rest:    event(3) + event(4), complete: true,
	},
	"a shorter stream from the first": {respond: func(r *received) { r.respondStream(event(1)) }},
	"a missing event":                 {respond: func(r *received) { r.respondStream(event(4), event(5)) }},
	"no ids":                          {respond: func(r *received) { r.respondStream("data: token 3\n\n") }},
	"events, then the head of a response": {
		respond: func(r *received) {
			r.streamHeader("")
			r.write("%sHTTP/1.1 500 Internal Server Error\r\nContent-Type: text/html\r\n\r\n%s", event(3), errorPage)
			_ = r.conn.Close()
		},
		rest: event(3),
	},
	"the head of a response, then events": {respond: func(r *received) {
		r.streamHeader("")
		r.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n%s%s", event(3), event(4))
		_ = r.conn.Close()
	}},
	"an error event": {respond: func(r *received) { r.respondStream("event: error\ndata: out of memory\n\n") }},
	"another's response": {respond: func(r *received) {
		r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: other\r\nBalsamyoke-Response-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(event(3)), event(3))
		_ = r.conn.Close()
	}},
}

// breakingServer starts a stream of four events, ends it with breakOff after the second one and responds to a request for
// the rest with c.
func breakingServer(c *qt.C, breakOff func(r *received), rest *continuation) *server {
	return startServer(c, func(r *received) {
		if r.header["last-event-id"] == "2" {
			rest.respond(r)
			return
		}
		if r.header["last-event-id"] != "" || !strings.Contains(r.requestLine, "/stream/") {
			r.respondOK("answer to " + r.id())
			return
		}
		r.startStream()
		r.chunk(event(1))
		r.chunk(event(2))
		breakOff(r)
	})
}

// checkStream checks what a caller with HTTP/1.1 gets of a broken stream: the events that it may get, each once and in
// order, and the end only of a complete one. Stray bytes after it would spoil the response to the next request.
func checkStream(c *qt.C, d *deployment, want *continuation) {
	k := d.dial()
	k.request("POST", "/stream/x", "", "prompt")
	got, err := k.readResponse()
	c.Assert(err, qt.IsNil, qt.Commentf("body so far %q", got.body))
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, event(1)+event(2)+want.rest)
	c.Assert(got.complete, qt.Equals, want.complete)
	if !want.complete {
		return
	}
	id := k.request("GET", "/get/x", "", "")
	got, err = k.readResponse()
	c.Assert(err, qt.IsNil)
	c.Assert(got.body, qt.Equals, "answer to "+id)
}

// checkStreamHTTP10 checks the same for a caller with HTTP/1.0, to which only a reset shows that a stream is incomplete.
func checkStreamHTTP10(c *qt.C, d *deployment, want *continuation) {
	k := d.dial()
	fmt.Fprintf(k, "POST /stream/x HTTP/1.0\r\nHost: %s\r\nBalsamyoke-Request-Id: old-%d\r\nBalsamyoke-Credential: key-1\r\nContent-Length: 0\r\n\r\n", host, requestNumber.Add(1))
	header, err := k.readHeader()
	c.Assert(err, qt.IsNil)
	c.Assert(header.header["transfer-encoding"], qt.Equals, "")
	body, err := io.ReadAll(k.reader)
	c.Assert(string(body), qt.Equals, event(1)+event(2)+want.rest)
	c.Assert(err == nil, qt.Equals, want.complete, qt.Commentf("%v", err))
}

// Guards against an error of the next server in the middle of a stream that broke off, and against its end as complete.
func TestResponseOfNextServerIsNotJoinedToStream(t *testing.T) {
	for name, rest := range continuations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			breakOff := streamBreaks["close"]
			d := deploy(c, breakingServer(c, breakOff, &rest), breakingServer(c, breakOff, &rest))
			checkStream(c, d, &rest)
			checkStreamHTTP10(c, d, &rest)
		})
	}
}

// Guards against remains of a server's broken stream, or what it writes instead of its rest, before the next server's events.
func TestEndOfBrokenStreamIsNotForwarded(t *testing.T) {
	for name, breakOff := range streamBreaks {
		for _, rest := range []string{"the rest", "500"} {
			t.Run(name+", "+rest, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				want := continuations[rest]
				d := deploy(c, breakingServer(c, breakOff, &want), breakingServer(c, breakOff, &want))
				checkStream(c, d, &want)
			})
		}
	}
}

// Guards against a stream that waits for the end of an error's body up to its deadline.
func TestErrorWithoutEndEndsBrokenStream(t *testing.T) {
	for _, status := range []string{"404 Not Found", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			rest := continuation{respond: func(r *received) {
				r.write("HTTP/1.1 %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", status, r.id())
				r.chunk(errorPage)
				<-r.closed
			}}
			breakOff := streamBreaks["close"]
			d := deploy(c, breakingServer(c, breakOff, &rest), breakingServer(c, breakOff, &rest))
			started := time.Now()
			checkStream(c, d, &rest)
			c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
		})
	}
}

// bodilessStatuses are successes that have no body, whatever the kind of route.
var bodilessStatuses = []string{"204 No Content", "304 Not Modified"}

// Guards against the last chunk of a body that the response hasn't, which callers take for the start of the next response.
func TestResponseWithoutBodyOnStreamingRouteLeavesNoBytes(t *testing.T) {
	for _, status := range bodilessStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := deploy(c, startServer(c, func(r *received) {
				if strings.Contains(r.requestLine, "/once/") {
					r.write("HTTP/1.1 %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n\r\n", status, r.id())
					return
				}
				r.respondOK("answer to " + r.id())
			}))
			k := d.dial()
			k.request("POST", "/once/x", "", "prompt")
			got, err := k.readHeader()
			c.Assert(err, qt.IsNil)
			c.Assert(fmt.Sprint(got.status), qt.Equals, status[:3])
			id := k.request("GET", "/get/x", "", "")
			got, err = k.readResponse()
			c.Assert(err, qt.IsNil)
			c.Assert(got.body, qt.Equals, "answer to "+id)
		})
	}
}

// largeText is more than the gateway buffers of a response that isn't a stream.
var largeText = strings.Repeat(errorPage, 10<<10)

// textHeads are the starts of responses on a streaming route that aren't streams.
var textHeads = map[string]string{
	"404": "404 Not Found\r\nContent-Type: text/html",
	"200": "200 OK\r\nContent-Type: application/json",
}

// textThenStream returns two servers of which the first to be asked sends a text with the given framing and then respond. Any
// later request gets a stream.
func textThenStream(c *qt.C, head, framing string, respond func(r *received)) []*server {
	var asked atomic.Bool
	serve := func(r *received) {
		if asked.Swap(true) {
			r.respondStream(event(1), event(2))
			return
		}
		r.write("HTTP/1.1 %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: s\r\n%s\r\n\r\n", head, r.id(), framing)
		respond(r)
	}
	return []*server{startServer(c, serve), startServer(c, serve)}
}

// Guards against a text on a streaming route that is read as events: its start reached the caller, its end not.
func TestTextOnStreamingRouteIsForwardedWhole(t *testing.T) {
	for size, text := range map[string]string{"small": errorPage + "{}", "large": largeText + "{}"} {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			servers := textThenStream(c, textHeads["200"], fmt.Sprintf("Content-Length: %d", len(text)), func(r *received) { r.write("%s", text) })
			got := deploy(c, servers...).mustSend("POST", "/stream/x", "", "prompt")
			c.Assert(got.status, qt.Equals, 200)
			c.Assert(got.complete, qt.IsTrue)
			c.Assert(got.body == text, qt.IsTrue, qt.Commentf("%d bytes of %d", len(got.body), len(text)))
		})
	}
}

// Guards against the next server's events after the start of a text that broke off.
func TestTextThatBreaksOffIsReplacedByStream(t *testing.T) {
	c := qt.New(t)
	servers := textThenStream(c, textHeads["200"], "Transfer-Encoding: chunked", func(r *received) {
		r.chunk(errorPage)
		_ = r.conn.Close()
	})
	got := deploy(c, servers...).mustSend("POST", "/stream/x", "", "prompt")
	c.Assert(got.complete, qt.IsTrue)
	c.Assert(got.body, qt.Equals, event(1)+event(2))
}

// Guards against the next server's events in a text that broke off after its start was forwarded.
func TestLargeTextThatBreaksOffIsNotContinued(t *testing.T) {
	for name, head := range textHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			servers := textThenStream(c, head, "Transfer-Encoding: chunked", func(r *received) {
				r.chunk(largeText)
				_ = r.conn.Close()
			})
			got := deploy(c, servers...).mustSend("POST", "/stream/x", "", "prompt")
			c.Assert(fmt.Sprint(got.status), qt.Equals, name)
			c.Assert(got.complete, qt.IsFalse)
			c.Assert(strings.HasPrefix(largeText, got.body), qt.IsTrue, qt.Commentf("ends with %.200q", got.body[max(0, len(got.body)-200):]))
		})
	}
}

// takeEvents begins a stream, reads the given number of events and closes its connection. It returns the id of the request.
func (d *deployment) takeEvents(count int) string {
	k := d.dial()
	defer k.Close()
	id := k.request("POST", "/stream/x", "", "prompt")
	for count > 0 {
		line, err := k.reader.ReadString('\n')
		d.c.Assert(err, qt.IsNil)
		if strings.HasPrefix(line, "data:") {
			count--
		}
	}
	return id
}

// Guards against events that a caller has already, or an error instead of them, when it takes up a stream itself.
func TestCallerTakesUpStream(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(r *received)
		status  int
		body    string
	}{
		"the rest":                  {func(r *received) { r.respondStream(event(3), event(4)) }, 200, event(3) + event(4)},
		"all events from the first": {func(r *received) { r.respondStream(event(1)+event(2), event(3), event(4)) }, 200, event(3) + event(4)},
		"nothing more":              {func(r *received) { r.respondStream() }, 200, ""},
		"an error":                  {func(r *received) { r.respondError("404 Not Found", "", errorPage) }, 404, errorPage},
		"a refusal":                 {func(r *received) { r.respondNotRun() }, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			a := startServer(c, func(r *received) {
				if r.header["last-event-id"] != "" {
					test.respond(r)
					return
				}
				r.startStream()
				r.chunk(event(1) + event(2))
				<-r.closed
			})
			d := deploy(c, a)
			id := d.takeEvents(2)
			a.discardRequests()
			got := d.mustSend("POST", "/stream/x", resumeHeaders(id), "prompt")
			c.Assert(got.status, qt.Equals, test.status)
			c.Assert(got.body, qt.Equals, test.body)
			c.Assert(got.complete, qt.IsTrue)
			r, err := a.nextRequest()
			c.Assert(err, qt.IsNil)
			c.Assert(r.header["last-event-id"], qt.Equals, "2")
		})
	}
}

// Guards against events that come twice when a stream goes on elsewhere although its ids don't tell where.
func TestStreamWithoutIncreasingIDsIsNotContinued(t *testing.T) {
	for name, events := range map[string]string{
		"no ids":   "data: a\n\ndata: b\n\n",
		"words":    "id: a\ndata: a\n\nid: b\ndata: b\n\n",
		"the last": event(1) + "data: b\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			serve := func(r *received) {
				r.startStream()
				r.chunk(events)
				_ = r.conn.Close()
			}
			got := deploy(c, startServer(c, serve), startServer(c, serve)).mustSend("POST", "/stream/x", "", "prompt")
			c.Assert(got.body, qt.Equals, events)
			c.Assert(got.complete, qt.IsFalse)
		})
	}
}

// Guards against the text of an error that a server writes into its own stream.
func TestTextInStreamIsNotForwarded(t *testing.T) {
	for name, text := range map[string]string{
		"head of a response": "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/html\r\n\r\n",
		"page":               errorPage,
	} {
		for framing, respond := range streamFramings {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				s := startServer(c, func(r *received) { respond(r, event(1)+event(2)+text) })
				got := deploy(c, s).mustSend("POST", "/once/x", "", "prompt")
				c.Assert(got.body, qt.Equals, event(1)+event(2))
				c.Assert(got.complete, qt.IsFalse)
			})
		}
	}
}

// Guards against a stream that looks complete to a caller with HTTP/1.0 because the gateway gave it up.
func TestStreamToHTTP10CallerThatIsGivenUpIsReset(t *testing.T) {
	c := qt.New(t)
	s := startServer(c, func(r *received) {
		r.startStream()
		r.chunk(event(1))
		<-r.closed
	})
	k := deploy(c, s).dial()
	fmt.Fprintf(k, "POST /once/x HTTP/1.0\r\nHost: %s\r\nBalsamyoke-Request-Id: old-%d\r\nBalsamyoke-Credential: key-1\r\nContent-Length: 0\r\n\r\n", host, requestNumber.Add(1))
	_, err := k.readHeader()
	c.Assert(err, qt.IsNil)
	c.Assert(k.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	body, err := io.ReadAll(k.reader)
	c.Assert(string(body), qt.Equals, event(1))
	c.Assert(err, qt.Not(qt.IsNil))
}

// Guards against an error in a stream that no other server goes on with: there is none, the deadline passes, or the retry
// budget is used up.
func TestStreamThatNobodyContinuesBreaksOff(t *testing.T) {
	broken := continuation{respond: func(r *received) { _ = r.conn.Close() }}
	t.Run("no other server", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		d := deploy(c, breakingServer(c, streamBreaks["close"], &broken))
		checkStream(c, d, &broken)
		checkStreamHTTP10(c, d, &broken)
	})
	t.Run("deadline", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		silent := continuation{respond: func(r *received) { <-r.closed }}
		d := deploy(c, breakingServer(c, streamBreaks["close"], &silent), breakingServer(c, streamBreaks["close"], &silent))
		started := time.Now()
		checkStream(c, d, &silent)
		took := time.Since(started)
		c.Assert(took > 4500*time.Millisecond && took < 5500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
	})
	t.Run("retry budget", func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		var asked atomic.Int64
		rest := continuation{rest: event(3) + event(4), complete: true, respond: func(r *received) {
			asked.Add(1)
			r.respondStream(event(3), event(4))
		}}
		a, b := breakingServer(c, streamBreaks["close"], &rest), breakingServer(c, streamBreaks["close"], &rest)
		d := deploy(c, a, b)
		for range 200 {
			a.discardRequests()
			b.discardRequests()
			before := asked.Load()
			got := d.mustSend("POST", "/stream/x", "", "prompt")
			c.Assert(got.complete, qt.Equals, asked.Load() > before)
			if got.complete {
				c.Assert(got.body, qt.Equals, event(1)+event(2)+event(3)+event(4))
				continue
			}
			c.Assert(got.body, qt.Equals, event(1)+event(2))
			return
		}
		c.Fatal("the retry budget was never used up")
	})
}

// A response to HEAD has no body on a streaming route either, and no other server's is joined to it.
func TestHeadOnStreamingRouteHasNoBody(t *testing.T) {
	c := qt.New(t)
	d := deploy(c, startServer(c, func(r *received) {
		if strings.HasPrefix(r.requestLine, "HEAD ") {
			r.streamHeader("Transfer-Encoding: chunked\r\n")
			return
		}
		r.respondOK("answer to " + r.id())
	}))
	k := d.dial()
	for _, path := range []string{"/stream/x", "/once/x"} {
		k.request("HEAD", path, "", "")
		got, err := k.readHeader()
		c.Assert(err, qt.IsNil)
		c.Assert(got.status, qt.Equals, 200)
		id := k.request("GET", "/get/x", "", "")
		got, err = k.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(got.body, qt.Equals, "answer to "+id)
	}
}
