package soak

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// repeatedRefusals counts the refusals that servers have sent once more.
var repeatedRefusals atomic.Int64

// isRefused reports whether all servers refuse a request as not run: a fixed part of the callers' requests, but not of those by which
// a run checks the gateways.
func isRefused(request string) bool {
	return len(request)%7 == 3 && strings.Contains(request, "7-") && !strings.HasSuffix(request, "-any")
}

// repeatingListener accepts connections on which each refusal is sent once more as soon as the next request arrives. Every second
// one is repeated without the id of its request.
type repeatingListener struct {
	net.Listener
	refusals atomic.Int64
}

// Accept implements net.Listener.
func (l *repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: conn, listener: l}, nil
}

// repeatingConn is a connection of a repeatingListener.
type repeatingConn struct {
	net.Conn
	listener *repeatingListener

	mu sync.Mutex
	// pending is the refusal that is sent before the response to the next request.
	pending []byte
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if bytes.Contains(p, []byte("\r\nBalsamyoke-Not-Executed: ")) {
		c.pending = bytes.Clone(p)
		if c.listener.refusals.Add(1)%2 == 0 {
			c.pending = withoutID(c.pending)
		}
	}
	return n, err
}

// Read implements net.Conn.
func (c *repeatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.pending != nil {
		repeatedRefusals.Add(1)
		_, _ = c.Conn.Write(c.pending)
		c.pending = nil
	}
	return n, err
}

// withoutID removes the id of the request from the header of a response.
func withoutID(response []byte) []byte {
	var kept []byte
	for line := range bytes.SplitAfterSeq(response, []byte("\n")) {
		if !bytes.HasPrefix(line, []byte("Balsamyoke-Request-Id:")) {
			kept = append(kept, line...)
		}
	}
	return kept
}
