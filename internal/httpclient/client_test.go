package httpclient_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve answers each connection with the given bytes and closes it.
func serve(c *qt.C, answer string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func request(address string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.SetRequestURI("http://" + address + "/x")
	return r
}

// Whatever a peer answers, the caller gets a whole answer or ErrInterrupted, never a short one.
func TestShortAnswersAreErrors(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, answer := range []string{
		"",
		"nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		client := httpclient.New(serve(c, answer), httpclient.Options{})
		err := client.Do(ctx, request(client.Address()), &fasthttp.Response{})
		c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%q: %v", answer, err))

		stream, err := client.Stream(ctx, request(client.Address()))
		if err == nil {
			_, err = io.ReadAll(stream)
			stream.Close()
		}
		c.Check(errorx.IsOfType(err, httpclient.ErrInterrupted), qt.IsTrue, qt.Commentf("%q: %v", answer, err))
		client.Close()
	}
}

func TestStreamIsReadToItsEnd(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := serve(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	client := httpclient.New(address, httpclient.Options{})
	defer client.Close()
	stream, err := client.Stream(ctx, request(address))
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	body, err := io.ReadAll(stream)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "abcde")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	client := httpclient.New(listener.Addr().String(), httpclient.Options{})
	defer client.Close()
	err = client.Do(context.Background(), request(client.Address()), &fasthttp.Response{})
	c.Assert(errorx.IsOfType(err, httpclient.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.Stream(context.Background(), request(client.Address()))
	c.Assert(errorx.IsOfType(err, httpclient.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
}
