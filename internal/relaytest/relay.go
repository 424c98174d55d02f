// Package relaytest provides a relay that tests place between two processes, and that makes their connections silent.
package relaytest

import (
	"net"
	"sync"
	"sync/atomic"

	"balsamyoke.example/balsamyoke/internal/loopback"
)

// Direction is a direction of a Relay's connections.
type Direction uint32

// Directions that Silence takes, which may be combined.
const (
	// Requests are the bytes from the side that opened a connection.
	Requests Direction = 1 << iota
	// Replies are the bytes to that side.
	Replies
	// Both are the bytes in both directions.
	Both = Requests | Replies
)

// Relay stands between two processes of a test. It passes TCP connections on to a target until it is told to silence them.
type Relay struct {
	listener net.Listener
	target   string
	serving  sync.WaitGroup

	passed atomic.Int64

	mu     sync.Mutex
	links  map[*link]bool
	opened int
}

// link is one connection through a Relay.
type link struct {
	conns  [2]net.Conn
	silent atomic.Uint32
}

// Start starts a Relay to target, an ip:port. Its errors are those of package net and loopback.ErrNoAddress.
func Start(target string) (*Relay, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, links: make(map[*link]bool)}
	r.serving.Go(r.accept)
	return r, nil
}

// Address returns the ip:port at which the Relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns the number of connections that were opened so far.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// Passed returns the number of bytes that were passed on so far, in both directions.
func (r *Relay) Passed() int64 { return r.passed.Load() }

// Silence makes the open connections silent for good: they stay open, and bytes in the direction are dropped. Later ones work.
func (r *Relay) Silence(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silent.Or(uint32(d))
	}
}

// Stop closes the Relay and its connections.
func (r *Relay) Stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	for l := range r.links {
		l.close()
	}
	r.mu.Unlock()
	r.serving.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", r.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		l := &link{conns: [2]net.Conn{conn, out}}
		r.mu.Lock()
		r.links[l] = true
		r.opened++
		r.mu.Unlock()
		r.serving.Go(func() { r.pass(l, out, conn, Requests) })
		r.serving.Go(func() { r.pass(l, conn, out, Replies) })
	}
}

func (r *Relay) pass(l *link, to, from net.Conn, d Direction) {
	defer func() {
		l.close()
		r.mu.Lock()
		delete(r.links, l)
		r.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if l.silent.Load()&uint32(d) != 0 {
			continue
		}
		r.passed.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *link) close() {
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}
