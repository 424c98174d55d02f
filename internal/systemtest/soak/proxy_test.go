package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the connections through it.
type mode int

const (
	pass mode = iota
	// delay holds each piece back.
	delay
	// silent lets nothing through in either direction.
	silent
	// oneWay lets nothing back.
	oneWay
	// refuse resets connections.
	refuse
	modes
)

const proxyDelay = 60 * time.Millisecond

// proxy passes connections on to one address and spoils them as its mode says.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
}

func startProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuse {
		p.resetAll()
	}
}

// resetAll ends all connections without the usual close. The mutex is held.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == refuse {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(conn net.Conn) {
	out, err := net.Dial("tcp4", p.to)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, conn, false) })
	both.Go(func() { p.copy(conn, out, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy carries bytes until either side ends. What comes while nothing is let through waits.
func (p *proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			m := p.current()
			if m != silent && (m != oneWay || !back) {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if p.current() == delay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}
