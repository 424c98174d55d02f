package httpclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveBytes starts a server that writes response to each connection and closes it. It returns its address.
func serveBytes(c *qt.C, response string) string {
	return serveConns(c, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, response)
	})
}

// serveConns starts a server that calls serve for each connection and then closes it. It returns its address.
func serveConns(c *qt.C, serve func(conn net.Conn)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func newRequest(address string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.SetRequestURI("http://" + address + "/x")
	return r
}

// A response that is empty, malformed or cut short gives ErrInterrupted, never an incomplete response.
func TestIncompleteResponsesAreErrors(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, response := range []string{
		"",
		"nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		client := httpclient.New(serveBytes(c, response), httpclient.Options{})
		err := client.Do(ctx, newRequest(client.Address()), &fasthttp.Response{})
		c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%q: %v", response, err))

		stream, err := client.Stream(ctx, newRequest(client.Address()))
		if err == nil {
			_, err = io.ReadAll(stream)
			stream.Close()
		}
		c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%q: %v", response, err))
		client.Close()
	}
}

// Guards against responses with a malformed head that are taken for what they seem to state, such as a call's success.
func TestMalformedHeadsAreErrors(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, response := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n\tContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 15\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\rContent-Length: 10\r\n\r\nwhole",
		"HTTP/1.1 102 Processing\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		client := httpclient.New(serveBytes(c, response), httpclient.Options{})
		for name, call := range map[string]func() error{
			"Do":       func() error { return client.Do(ctx, newRequest(client.Address()), &fasthttp.Response{}) },
			"DoFramed": func() error { return client.DoFramed(ctx, newRequest(client.Address()), &fasthttp.Response{}) },
			"Stream": func() error {
				stream, err := client.Stream(ctx, newRequest(client.Address()))
				if err == nil {
					stream.Close()
				}
				return err
			},
		} {
			err := call()
			c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%s %q: %v", name, response, err))
		}
		client.Close()
	}
}

// Guards against a part of a response that counts as all of it: a server answers a long request before it has read it, with neither a
// length nor chunks, and resets the connection. The socket buffers hold the shorter request, but not the longer one.
func TestEarlyResponseThatIsResetIsAnError(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := serveConns(c, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 200))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	client := httpclient.New(address, httpclient.Options{})
	defer client.Close()
	for _, size := range []int{10 << 10, 16 << 20} {
		request := newRequest(client.Address())
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyRaw(make([]byte, size))
		err := client.Do(ctx, request, &fasthttp.Response{})
		c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%d bytes: %v", size, err))
	}
}

// Interim responses precede the final one, which alone has a body.
func TestInterimResponsesAreSkipped(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := serveBytes(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	client := httpclient.New(address, httpclient.Options{})
	defer client.Close()
	got := &fasthttp.Response{}
	c.Assert(client.Do(ctx, newRequest(address), got), qt.IsNil)
	c.Assert(got.StatusCode(), qt.Equals, 200)
	c.Assert(string(got.Body()), qt.Equals, "whole")
	c.Assert(got.Header.Peek("Link"), qt.IsNil)
}

// A body that ends with its connection may have broken off, which DoFramed doesn't accept.
func TestFramedResponsesHaveALengthOrChunks(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for response, complete := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole":                                true,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole":           true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n":     true,
		"HTTP/1.1 200 OK\r\n\r\nwhole":                                                     false,
		"HTTP/1.0 200 OK\r\n\r\nwhole":                                                     false,
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole":                                false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n":              false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: y\r\n": false,
	} {
		client := httpclient.New(serveBytes(c, response), httpclient.Options{})
		got := &fasthttp.Response{}
		err := client.DoFramed(ctx, newRequest(client.Address()), got)
		if complete {
			c.Check(err, qt.IsNil, qt.Commentf("%q", response))
			c.Check(string(got.Body()), qt.Equals, "whole", qt.Commentf("%q", response))
		} else {
			c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%q: %v", response, err))
		}
	}
}

func TestStreamIsReadToItsEnd(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := serveBytes(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	client := httpclient.New(address, httpclient.Options{})
	defer client.Close()
	stream, err := client.Stream(ctx, newRequest(address))
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	body, err := io.ReadAll(stream)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "abcde")
}

// A request to a server that refuses the connection can't have run, so it gives ErrNotSent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	client := httpclient.New(listener.Addr().String(), httpclient.Options{})
	defer client.Close()
	err = client.Do(context.Background(), newRequest(client.Address()), &fasthttp.Response{})
	c.Assert(errorx.IsOfType(err, httpclient.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.Stream(context.Background(), newRequest(client.Address()))
	c.Assert(errorx.IsOfType(err, httpclient.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
}

// serveRepeated starts a server that responds to the Nth request with "answer N", and some time later, on the same
// connection, with that once more. It returns its address.
func serveRepeated(c *qt.C, later time.Duration) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		var request fasthttp.Request
		for request.Read(reader) == nil {
			body := fmt.Sprint("answer ", requests.Add(1))
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(conn, response)
			time.Sleep(later)
			_, _ = io.WriteString(conn, response)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against a repeated response that arrives on an unused connection and is taken for the next call's.
func TestRepeatedResponseIsNotTakenForTheNextOne(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := httpclient.New(serveRepeated(c, 10*time.Millisecond), httpclient.Options{})
	defer client.Close()
	for i := range 5 {
		response := &fasthttp.Response{}
		c.Assert(client.Do(ctx, newRequest(client.Address()), response), qt.IsNil)
		c.Assert(string(response.Body()), qt.Equals, fmt.Sprint("answer ", i+1))
		time.Sleep(30 * time.Millisecond)
	}
}
