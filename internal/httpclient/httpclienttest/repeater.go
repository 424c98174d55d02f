// Package httpclienttest provides a server for tests of clients that use httpclient.
package httpclienttest

import (
	"bufio"
	"io"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// Repeater is a server that sends each response once more on the same connection, when it has read the next request and before
// it responds to that.
type Repeater struct {
	listener net.Listener
	serving  sync.WaitGroup

	mu        sync.Mutex
	responses []string
	conns     []net.Conn
}

// StartRepeater starts a server that responds to its requests with responses, in order. It closes the connection of a
// further request.
func StartRepeater(c *qt.C, responses ...string) *Repeater {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &Repeater{listener: listener, responses: responses}
	r.serving.Go(r.accept)
	c.Cleanup(r.stop)
	return r
}

// Address returns the server's ip:port.
func (r *Repeater) Address() string { return r.listener.Addr().String() }

func (r *Repeater) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.serving.Wait()
}

func (r *Repeater) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		r.serving.Go(func() { r.serve(conn) })
	}
}

func (r *Repeater) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var request fasthttp.Request
	for previous := ""; request.Read(reader) == nil; {
		response, ok := r.next()
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, previous+response); err != nil {
			return
		}
		previous = response
	}
}

func (r *Repeater) next() (response string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.responses) == 0 {
		return "", false
	}
	response, r.responses = r.responses[0], r.responses[1:]
	return response, true
}
