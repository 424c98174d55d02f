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

	mu       sync.Mutex
	greeting *greeting
	socket   *transport.DatagramConn
}

// greeting is one connection to an agent until its end. Each dial has its own, so that the late end
// of an earlier connection says nothing about the present one.
type greeting struct {
	peer *link
	// ready is closed when the agent's Hello has arrived or the connection has ended.
	ready chan struct{}

	// conn, hello and ended are guarded by the link's mu.
	conn  *transport.Conn
	hello *wire.Hello
	ended bool
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
	present, err := l.open(ctx, l.at(address), address)
	if err != nil {
		return nil, nil, err
	}
	return present.await(ctx, address)
}

// open returns the link's connection, dialling when there is none. Only one request dials at a time.
func (l *links) open(ctx context.Context, peer *link, address string) (*greeting, error) {
	peer.dialMu.Lock()
	defer peer.dialMu.Unlock()
	if present := peer.present(); present != nil {
		return present, nil
	}
	return l.dial(ctx, peer, address)
}

// present returns the link's connection, or nil when there is none or it has ended.
func (p *link) present() *greeting {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.greeting == nil || p.greeting.ended || p.greeting.conn.Closed() {
		return nil
	}
	return p.greeting
}

func (l *links) dial(ctx context.Context, peer *link, address string) (*greeting, error) {
	dialled := &greeting{peer: peer, ready: make(chan struct{})}
	conn, err := l.client.Dial(ctx, address, dialled)
	if err != nil {
		return nil, err
	}
	peer.mu.Lock()
	dialled.conn = conn
	peer.greeting = dialled
	peer.mu.Unlock()
	return dialled, conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: l.hello()}})
}

// await returns the connection once the agent has greeted.
func (g *greeting) await(ctx context.Context, address string) (*transport.Conn, *wire.Hello, error) {
	select {
	case <-g.ready:
	case <-ctx.Done():
		return nil, nil, transport.ErrDial.Wrap(ctx.Err(), "agent at %s did not greet", address)
	}
	g.peer.mu.Lock()
	defer g.peer.mu.Unlock()
	if g.ended || g.hello == nil {
		return nil, nil, transport.ErrDial.New("connection to %s closed while greeting", address)
	}
	return g.conn, g.hello, nil
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
	greeted, ok := conn.Tag.(*greeting)
	if !ok {
		return
	}
	greeted.peer.mu.Lock()
	first := greeted.hello == nil && !greeted.ended
	greeted.hello = hello
	greeted.peer.mu.Unlock()
	if first {
		close(greeted.ready)
	}
	l.greeted(conn.Remote(), hello)
}

// ConnClosed implements transport.FrameHandler.
func (l *links) ConnClosed(conn *transport.Conn, _ error) {
	if greeted, ok := conn.Tag.(*greeting); ok {
		greeted.end()
	}
	l.flights.connLost(conn)
}

// end notes that the connection is closed, and wakes who waits for its greeting.
func (g *greeting) end() {
	g.peer.mu.Lock()
	waiting := g.hello == nil && !g.ended
	g.ended = true
	g.peer.mu.Unlock()
	if waiting {
		close(g.ready)
	}
}

func (l *links) close() { l.client.Close() }
