package entry

import (
	"context"
	"sync"

	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// link is what the entry holds towards one agent address.
type link struct {
	dialMu sync.Mutex

	mu     sync.Mutex
	conn   *transport.Conn
	hello  *wire.Hello
	socket *transport.DatagramConn
	// ready is closed when the agent's Hello has arrived.
	ready chan struct{}
}

// links owns the connections to agents. It implements transport.FrameHandler.
type links struct {
	client  *transport.Client
	flights *flights
	prober  *prober
	hello   func() *wire.Hello
	// greeted is told of every Hello: direct evidence about an agent.
	greeted func(address string, hello *wire.Hello)

	mu        sync.Mutex
	byAddress map[string]*link
}

func newLinks(flights *flights, prober *prober, hello func() *wire.Hello, greeted func(string, *wire.Hello)) (*links, error) {
	l := &links{
		flights:   flights,
		prober:    prober,
		hello:     hello,
		greeted:   greeted,
		byAddress: make(map[string]*link),
	}
	client, err := transport.NewClient(l, prober.received)
	if err != nil {
		return nil, err
	}
	l.client = client
	return l, nil
}

func (l *links) at(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.byAddress[address]
	if found == nil {
		found = &link{}
		l.byAddress[address] = found
	}
	return found
}

// connect returns a greeted connection to an agent, dialling when there is none.
func (l *links) connect(ctx context.Context, address string) (*transport.Conn, *wire.Hello, error) {
	peer := l.at(address)
	peer.dialMu.Lock()
	defer peer.dialMu.Unlock()
	conn, hello := peer.current()
	if conn != nil && hello != nil {
		return conn, hello, nil
	}
	if conn == nil {
		if err := l.dial(ctx, peer, address); err != nil {
			return nil, nil, err
		}
	}
	return peer.awaitHello(ctx, address)
}

func (l *links) dial(ctx context.Context, peer *link, address string) error {
	peer.mu.Lock()
	peer.hello = nil
	peer.ready = make(chan struct{})
	peer.mu.Unlock()
	conn, err := l.client.Dial(ctx, address, peer)
	if err != nil {
		return err
	}
	peer.mu.Lock()
	peer.conn = conn
	peer.mu.Unlock()
	return conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: l.hello()}})
}

func (p *link) current() (*transport.Conn, *wire.Hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Closed() {
		return nil, nil
	}
	return p.conn, p.hello
}

func (p *link) awaitHello(ctx context.Context, address string) (*transport.Conn, *wire.Hello, error) {
	p.mu.Lock()
	ready := p.ready
	p.mu.Unlock()
	select {
	case <-ready:
	case <-ctx.Done():
		return nil, nil, transport.ErrDial.Wrap(ctx.Err(), "agent at %s did not greet", address)
	}
	conn, hello := p.current()
	if conn == nil || hello == nil {
		return nil, nil, transport.ErrDial.New("connection to %s closed while greeting", address)
	}
	return conn, hello, nil
}

// datagram returns the probe socket of an agent address.
func (l *links) datagram(address string) (*transport.DatagramConn, error) {
	peer := l.at(address)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.socket != nil && !peer.socket.Closed() {
		return peer.socket, nil
	}
	socket, err := l.client.DialDatagram(address)
	if err != nil {
		return nil, err
	}
	peer.socket = socket
	return socket, nil
}

// ConnOpened implements transport.FrameHandler.
func (l *links) ConnOpened(*transport.Conn) {}

// FrameReceived implements transport.FrameHandler.
func (l *links) FrameReceived(conn *transport.Conn, frame *wire.Frame) {
	if hello := frame.GetHello(); hello != nil {
		l.receivedHello(conn, hello)
		return
	}
	l.flights.deliver(conn, frameAttempt(frame), frame)
}

func (l *links) receivedHello(conn *transport.Conn, hello *wire.Hello) {
	peer, ok := conn.Tag.(*link)
	if !ok {
		return
	}
	peer.mu.Lock()
	first := peer.hello == nil
	peer.hello = hello
	if first {
		close(peer.ready)
	}
	peer.mu.Unlock()
	l.greeted(conn.Remote(), hello)
}

// ConnClosed implements transport.FrameHandler.
func (l *links) ConnClosed(conn *transport.Conn, _ error) {
	if peer, ok := conn.Tag.(*link); ok {
		peer.closed(conn)
	}
	l.flights.connLost(conn)
}

func (p *link) closed(conn *transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn != conn {
		return
	}
	p.conn = nil
	if p.hello == nil && p.ready != nil {
		select {
		case <-p.ready:
		default:
			close(p.ready)
		}
	}
	p.hello = nil
}

func (l *links) close() { l.client.Close() }
