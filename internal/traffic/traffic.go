// Package traffic counts the bytes of control messages that a process sends and receives: calls
// between processes, probes, and calls to the platform's services. Requests of callers and their responses
// are not counted. The transports count into Control; the metrics server exposes it.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Control counts the bytes of this process's control messages.
var Control Counter

// Counter counts bytes in both directions. It is safe for concurrent use.
type Counter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent adds n bytes that were sent.
func (c *Counter) Sent(n int) { c.sent.Add(int64(n)) }

// Received adds n bytes that were received.
func (c *Counter) Received(n int) { c.received.Add(int64(n)) }

// Totals are the bytes counted so far.
type Totals struct {
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Totals returns the bytes counted so far.
func (c *Counter) Totals() Totals {
	return Totals{SentBytes: c.sent.Load(), ReceivedBytes: c.received.Load()}
}

// Conn returns a connection that counts the bytes of conn.
func (c *Counter) Conn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// Listener returns a listener that counts the bytes of the connections accepted by listener.
func (c *Counter) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, counter: c}
}

// Dial opens a TCP connection whose bytes are counted. It returns the error of the dialer unchanged.
func (c *Counter) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.Conn(conn), nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.counter.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buf []byte) (int, error) {
	n, err := c.Conn.Write(buf)
	c.counter.Sent(n)
	return n, err
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}
