package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// slowBufferBytes is the size of the receive buffer of slow callers and of the send buffer of their servers, so that little
	// is hidden in the kernel.
	slowBufferBytes = 8 << 10
	// serverPatience is after which time without a byte taken the servers of these tests cut off a response.
	serverPatience = 1500 * time.Millisecond
	// slowEventBytes is the size of the events of these tests.
	slowEventBytes = 16 << 10
	// behindEvents is the number of events by which a caller that reads nothing is behind, whatever the kernel holds of them.
	behindEvents = 400
	// longTimeoutMS is the time limit, in milliseconds, of streams whose length isn't what is tested: a gateway may end a request at its
	// limit, and on a busy machine the servers of these tests take longer than 5 s to write a stream.
	longTimeoutMS = 30_000
)

// deployWithLongStreams is deployWithGrace with streams that may take longTimeoutMS.
func deployWithLongStreams(c *qt.C, graceMS int, servers ...*server) *deployment {
	long := strings.ReplaceAll(configuration(1, `"key-1"`), `"timeout_ms":5000`, fmt.Sprintf(`"timeout_ms":%d`, longTimeoutMS))
	return deployAs(&deployment{c: c, graceMS: graceMS, configuration: long}, servers...)
}

// requestLong writes a GET request that may take longTimeoutMS.
func (k *client) requestLong(path, headers string) {
	fmt.Fprintf(k, "GET %s HTTP/1.1\r\nHost: %s\r\nBalsamyoke-Request-Id: long-%d\r\nBalsamyoke-Credential: key-1\r\nBalsamyoke-Deadline-Ms: %d\r\n%s\r\n",
		path, host, requestNumber.Add(1), longTimeoutMS, headers)
}

// dialSlow opens a caller's connection that holds few bytes that weren't read.
func (d *deployment) dialSlow() *client {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes)
		})
	}}
	conn, err := dialer.Dial("tcp4", d.address)
	d.c.Assert(err, qt.IsNil)
	d.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(3 * testTimeout))
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// largeEvent returns an event of about slowEventBytes bytes.
func largeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("t", slowEventBytes))
}

// sendEvents sends events with the ids from first up to last. It reports whether all were taken before the server's patience ended;
// otherwise it closes the connection, as a server does.
func (r *received) sendEvents(first, last int) bool {
	for id := first; id <= last; id++ {
		_ = r.conn.SetWriteDeadline(time.Now().Add(serverPatience))
		text := largeEvent(id)
		if _, err := fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			_ = r.conn.Close()
			return false
		}
	}
	_ = r.conn.SetWriteDeadline(time.Time{})
	return true
}

// wholeEvents returns the events with the ids from 1 up to last.
func wholeEvents(last int) string {
	var all strings.Builder
	for id := 1; id <= last; id++ {
		all.WriteString(largeEvent(id))
	}
	return all.String()
}

// trickle reads a byte now and then until done is closed, and returns a client that goes on with what was read.
func (k *client) trickle(done <-chan struct{}) *client {
	var read []byte
	for {
		select {
		case <-done:
			return &client{Conn: k.Conn, reader: bufio.NewReader(io.MultiReader(strings.NewReader(string(read)), k.Conn))}
		case <-time.After(100 * time.Millisecond):
		}
		b := make([]byte, 1)
		n, _ := k.Conn.Read(b)
		read = append(read, b[:n]...)
	}
}

// slowCallers is the part of a dump about slow callers.
type slowCallers struct {
	SlowCallers struct {
		Bytes, HighestBytes, CutOff int64
		Callers                     []struct{ Request string }
	} `json:"slow_callers"`
	Servers []struct{ Running int }
}

// Guards against servers that cut off the response of a caller that reads slowly, against responses that aren't whole then, and
// against a kept connection that is unusable after one: the next request, sent before its response was read, gets its own.
func TestSlowCallerGetsAllOfAResponseThatItsServerEndsEarly(t *testing.T) {
	const events = behindEvents
	body := strings.Repeat("0123456789abcdef", events<<10)
	for name, test := range map[string]struct {
		path, want string
		deploy     func(c *qt.C, graceMS int, servers ...*server) *deployment
		request    func(k *client, path string)
		send       func(r *received) bool
	}{
		"stream": {"/stream/x", wholeEvents(events), deployWithLongStreams, func(k *client, path string) { k.requestLong(path, "") }, func(r *received) bool {
			_ = r.conn.(*net.TCPConn).SetWriteBuffer(slowBufferBytes)
			r.startStream()
			if !r.sendEvents(1, events) {
				return false
			}
			r.endStream()
			return true
		}},
		"large response": {"/stream/x", body, deployWithGrace, func(k *client, path string) { k.request("GET", path, "", "") }, func(r *received) bool {
			_ = r.conn.(*net.TCPConn).SetWriteBuffer(slowBufferBytes)
			r.plainHeader(fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n", len(body)))
			for rest := body; rest != ""; rest = rest[slowEventBytes:] {
				_ = r.conn.SetWriteDeadline(time.Now().Add(serverPatience))
				if _, err := io.WriteString(r.conn, rest[:slowEventBytes]); err != nil {
					_ = r.conn.Close()
					return false
				}
			}
			return true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var connections atomic.Int64
			var slowConn, nextConn atomic.Value
			sent := make(chan struct{})
			s := startServer(c, func(r *received) {
				if r.header["x-next"] != "" {
					nextConn.Store(r.conn.RemoteAddr().String())
					r.respondOK("next")
					return
				}
				connections.Add(1)
				slowConn.Store(r.conn.RemoteAddr().String())
				c.Check(test.send(r), qt.IsTrue, qt.Commentf("the server had to wait for longer than %s", serverPatience))
				close(sent)
			})
			d := test.deploy(c, 600, s)
			k := d.dialSlow()
			test.request(k, test.path)
			k = k.trickle(sent)
			k.request("GET", "/get/x", "X-Next: 1\r\n", "")
			// The run has ended as far as predictions are concerned, though its caller is behind, and the server's connection, the
			// one that was used last, carries another caller's request.
			d.eventually(func() bool { return d.slowCallers().Servers[0].Running == 0 })
			c.Assert(d.mustSend("GET", "/get/x", "X-Next: 1\r\n", "").status, qt.Equals, 200)
			c.Assert(nextConn.Load(), qt.Equals, slowConn.Load())
			c.Assert(d.slowCallers().SlowCallers.Callers, qt.HasLen, 1)
			resp, err := k.readResponse()
			c.Assert(err, qt.IsNil)
			c.Assert(resp.status, qt.Equals, 200)
			c.Assert(resp.complete, qt.IsTrue)
			c.Assert(resp.body == test.want, qt.IsTrue, qt.Commentf("%d bytes of %d", len(resp.body), len(test.want)))
			next, err := k.readResponse()
			c.Assert(err, qt.IsNil)
			c.Assert(next.body, qt.Equals, "next")
			c.Assert(connections.Load(), qt.Equals, int64(1))
			c.Assert(d.slowCallers().SlowCallers.Bytes, qt.Equals, int64(0))
		})
	}
}

// Guards against a gateway that holds back the server of a slow caller while there is memory: it takes a stream as fast as that of a
// caller that reads at once, at the same time.
func TestServerOfASlowCallerIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	took := map[string]chan time.Duration{"slow": make(chan time.Duration, 1), "prompt": make(chan time.Duration, 1)}
	s := startServer(c, func(r *received) {
		_ = r.conn.(*net.TCPConn).SetWriteBuffer(slowBufferBytes)
		startedAt := time.Now()
		r.startStream()
		c.Check(r.sendEvents(1, behindEvents), qt.IsTrue, qt.Commentf("the server had to wait for longer than %s", serverPatience))
		took[r.header["x-caller"]] <- time.Since(startedAt)
		r.endStream()
	})
	d := deployWithLongStreams(c, 600, s)
	slow, prompt := d.dialSlow(), d.dial()
	_ = prompt.SetDeadline(time.Now().Add(3 * testTimeout))
	slow.requestLong("/stream/x", "X-Caller: slow\r\n")
	prompt.requestLong("/stream/x", "X-Caller: prompt\r\n")
	header, err := prompt.readHeader()
	c.Assert(err, qt.IsNil)
	c.Assert(header.status, qt.Equals, 200)
	read, err := io.CopyN(io.Discard, prompt.reader, int64(len(wholeEvents(behindEvents))))
	c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", read))
	slowTook, promptTook := <-took["slow"], <-took["prompt"]
	c.Assert(d.slowCallers().SlowCallers.Callers, qt.HasLen, 1)
	c.Logf("%s, and %s for a caller that reads at once", slowTook, promptTook)
	c.Check(slowTook < promptTook+promptTook/2+500*time.Millisecond, qt.IsTrue, qt.Commentf("%s, and %s for a caller that reads at once", slowTook, promptTook))
}

// slowCallers reads the dump.
func (d *deployment) slowCallers() (state slowCallers) {
	conn, err := net.Dial("tcp4", d.metricsAddress)
	d.c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /dump HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	k := &client{Conn: conn, reader: bufio.NewReader(conn)}
	resp, err := k.readResponse()
	d.c.Assert(err, qt.IsNil)
	text := strings.NewReplacer("highest_bytes", "HighestBytes", "cut_off", "CutOff").Replace(resp.body)
	d.c.Assert(json.Unmarshal([]byte(text), &state), qt.IsNil)
	return state
}

// Guards against a gateway that runs out of memory for slow callers, or cuts off one that holds little: with memory used up by
// several, the one that holds most goes first, its stream doesn't look complete, and the others get all of theirs.
func TestCallerFurthestBehindIsCutOffWhenMemoryIsUsedUp(t *testing.T) {
	c := qt.New(t)
	// The small callers are behind by less than a quarter of the budget of 4 MB, the greedy one by what remains. Reading ahead for that
	// one pauses for 0.5 s after each 0.5 MB, which takes 4 s: on a busy machine a deadline of 5 s would pass first.
	const many, smallBytes = 1000, 500_000
	// Unbuffered, so that no later stream takes what ends an earlier one.
	enough := make(chan struct{})
	s := startServer(c, func(r *received) {
		r.startStream()
		if r.header["x-many"] != "" {
			r.sendEvents(1, many)
			return
		}
		_ = r.conn.(*net.TCPConn).SetWriteBuffer(slowBufferBytes)
		for id := 1; ; id++ {
			select {
			case <-enough:
				r.endStream()
				return
			case <-time.After(4 * time.Millisecond):
				r.sendEvents(id, id)
			}
		}
	})
	patient := strings.ReplaceAll(configuration(1, `"key-1"`), `"timeout_ms":5000`, `"timeout_ms":30000`)
	d := deployAs(&deployment{c: c, graceMS: 600, memoryMB: smallestMemoryMB, configuration: patient}, s)
	var small []*client
	for i := range 2 {
		k := d.dialSlow()
		k.request("GET", "/stream/x", "", "")
		small = append(small, k)
		d.eventually(func() bool { return d.slowCallers().SlowCallers.Bytes > int64(i+1)*smallBytes })
		enough <- struct{}{}
	}
	held := d.slowCallers().SlowCallers.Bytes
	c.Assert(held < smallestMemoryMB*1_000_000/8/2, qt.IsTrue, qt.Commentf("%d bytes", held))
	greedy := d.dialSlow()
	id := "greedy"
	fmt.Fprintf(greedy, "GET /stream/x HTTP/1.1\r\nHost: %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Credential: key-1\r\nBalsamyoke-Deadline-Ms: 30000\r\nX-Many: 1\r\n\r\n", host, id)
	d.eventually(func() bool { return d.slowCallers().SlowCallers.CutOff == 1 })
	for _, caller := range d.slowCallers().SlowCallers.Callers {
		c.Check(caller.Request, qt.Not(qt.Equals), id)
	}
	resp, err := greedy.readResponse()
	c.Assert(err != nil || !resp.complete, qt.IsTrue)
	for _, k := range small {
		resp, err := k.readResponse()
		c.Assert(err, qt.IsNil)
		c.Assert(resp.complete, qt.IsTrue)
		sent := strings.Count(resp.body, "id: ")
		c.Assert(sent > 0 && resp.body == wholeEvents(sent), qt.IsTrue, qt.Commentf("%d bytes", len(resp.body)))
	}
	state := d.slowCallers().SlowCallers
	c.Assert(state.Bytes, qt.Equals, int64(0))
	c.Assert(state.HighestBytes <= smallestMemoryMB*1_000_000/8, qt.IsTrue, qt.Commentf("%d bytes", state.HighestBytes))
}

// Guards against runs that go on at their server for callers that have gone while the gateway was reading ahead.
func TestRunOfASlowCallerThatVanishesIsCancelled(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){"close": func(conn net.Conn) { _ = conn.Close() }, "reset": reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sent := make(chan *received, 1)
			s := startServer(c, func(r *received) {
				r.startStream()
				r.sendEvents(1, behindEvents)
				sent <- r
			})
			d := deploy(c, s)
			k := d.dialSlow()
			k.request("GET", "/stream/x", "", "")
			r := <-sent
			d.eventually(func() bool { return len(d.slowCallers().SlowCallers.Callers) == 1 })
			leave(k.Conn)
			select {
			case <-r.closed:
			case <-time.After(500 * time.Millisecond):
				c.Fatal("the run goes on")
			}
			d.eventually(func() bool { return d.slowCallers().SlowCallers.Bytes == 0 })
		})
	}
}

// Guards against a planned stop that drops what is held for slow callers.
func TestPlannedStopDeliversWhatSlowCallersLack(t *testing.T) {
	c := qt.New(t)
	const events = behindEvents
	s := startServer(c, func(r *received) {
		r.startStream()
		if r.sendEvents(1, events) {
			r.endStream()
		}
	})
	d := deployWithGrace(c, 4000, s)
	k := d.dialSlow()
	k.request("GET", "/stream/x", "", "")
	d.eventually(func() bool { return len(d.slowCallers().SlowCallers.Callers) == 1 })
	d.stop()
	// The stop has begun and idle connections are closed.
	time.Sleep(2 * time.Second)
	resp, err := k.readResponse()
	c.Assert(err, qt.IsNil)
	c.Assert(resp.complete, qt.IsTrue)
	c.Assert(resp.body == wholeEvents(events), qt.IsTrue, qt.Commentf("%d bytes", len(resp.body)))
}

// Guards against a broken stream that looks complete, or lacks what its server had sent, because its caller was behind.
func TestSlowCallerGetsTheStartOfABrokenStream(t *testing.T) {
	c := qt.New(t)
	const events = behindEvents
	broken := make(chan struct{})
	s := startServer(c, func(r *received) {
		r.startStream()
		c.Check(r.sendEvents(1, events), qt.IsTrue)
		_ = r.conn.Close()
		close(broken)
	})
	d := deploy(c, s)
	for name, version := range map[string]string{"chunks": "1.1", "connection's end": "1.0"} {
		k := d.dialSlow()
		fmt.Fprintf(k, "POST /once/x HTTP/%s\r\nHost: %s\r\nBalsamyoke-Request-Id: slow-%s\r\nBalsamyoke-Credential: key-1\r\nContent-Length: 0\r\n\r\n", version, host, version)
		<-broken
		broken = make(chan struct{})
		time.Sleep(200 * time.Millisecond)
		header, err := k.readHeader()
		c.Assert(err, qt.IsNil)
		if version == "1.0" {
			_, err := io.ReadAll(k.reader)
			c.Check(err, qt.IsNotNil, qt.Commentf("%s: the stream looks complete", name))
			continue
		}
		resp, err := k.readChunks(header)
		c.Assert(err, qt.IsNil)
		c.Check(resp.complete, qt.IsFalse)
		c.Check(resp.body == wholeEvents(events), qt.IsTrue, qt.Commentf("%d bytes", len(resp.body)))
	}
}
