package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/loopback"
)

// mode is what a proxy does with the connections through it.
type mode int

const (
	passThrough mode = iota
	// delay forwards each chunk proxyDelay later.
	delay
	// stall forwards nothing in either direction.
	stall
	// stallReplies forwards requests but no replies.
	stallReplies
	// reset resets open and new connections.
	reset
	modeCount
)

const proxyDelay = 60 * time.Millisecond

// proxy forwards connections to one address and disturbs them according to its mode.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
	// refusing is set while the proxy doesn't listen.
	refusing bool
}

// startProxy starts a proxy at an address that no outgoing connection can take while it refuses.
func startProxy(to string) (*proxy, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: to, conns: make(map[net.Conn]struct{})}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// refuse resets all connections and refuses new ones, as the host of a process that has ended does. It returns false if it
// does so already.
func (p *proxy) refuse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing {
		return false
	}
	p.refusing = true
	_ = p.listener.Close()
	p.resetAll()
	return true
}

func (p *proxy) isRefusing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusing
}

// listenAgain accepts connections at the same address as before refuse.
func (p *proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp4", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener, p.refusing = listener, false
	go p.accept(listener)
	return nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		p.resetAll()
	}
}

// resetOpen resets the open connections and accepts new ones.
func (p *proxy) resetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// resetAll closes all connections with a TCP reset. The caller holds the mutex.
func (p *proxy) resetAll() {
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go p.relay(conn)
	}
}

func (p *proxy) relay(conn net.Conn) {
	out, err := net.Dial("tcp4", p.target)
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

// copy forwards bytes until either side closes. Bytes that arrive while the proxy stalls wait until its mode changes.
func (p *proxy) copy(to, from net.Conn, replies bool) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			m := p.currentMode()
			if m != stall && (m != stallReplies || !replies) {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if p.currentMode() == delay {
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
