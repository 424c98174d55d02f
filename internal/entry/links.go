package entry

import (
	"context"
	"sync"

	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// agentLink holds the connection and the probe socket of one agent address.
type agentLink struct {
	dialMu sync.Mutex

	mu      sync.Mutex
	current *agentConn
	socket  *transport.DatagramConn
}

// agentConn is the state of one connection to an agent. Each dial creates its own, so that a late close of
// an earlier connection does not affect the current one.
type agentConn struct {
	link *agentLink
	// helloReady is closed when the agent's Hello has arrived or the connection has ended.
	helloReady chan struct{}

	// conn, hello and ended are guarded by the link's mu.
	conn  *transport.Conn
	hello *wire.Hello
	ended bool
}

// links owns the connections to agents. It implements transport.FrameHandler.
type links struct {
	client   *transport.Client
	router   *frameRouter
	prober   *prober
	newHello func() *wire.Hello
	// onHello is called with every received Hello, which is the agent's own report.
	onHello func(address string, hello *wire.Hello)

	mu        sync.Mutex
	byAddress map[string]*agentLink
}

func newLinks(router *frameRouter, prober *prober, newHello func() *wire.Hello, onHello func(string, *wire.Hello)) (*links, error) {
	l := &links{
		router:    router,
		prober:    prober,
		newHello:  newHello,
		onHello:   onHello,
		byAddress: make(map[string]*agentLink),
	}
	client, err := transport.NewClient(l, prober.handleDatagram)
	if err != nil {
		return nil, err
	}
	l.client = client
	return l, nil
}

func (l *links) linkTo(address string) *agentLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.byAddress[address]
	if found == nil {
		found = &agentLink{}
		l.byAddress[address] = found
	}
	return found
}

// connect returns a connection on which the agent's Hello has arrived. It dials when there is none.
func (l *links) connect(ctx context.Context, address string) (*transport.Conn, *wire.Hello, error) {
	open, err := l.connTo(ctx, l.linkTo(address), address)
	if err != nil {
		return nil, nil, err
	}
	return open.awaitHello(ctx, address)
}

// connTo returns the link's open connection or dials a new one. Only one request dials at a time.
func (l *links) connTo(ctx context.Context, link *agentLink, address string) (*agentConn, error) {
	link.dialMu.Lock()
	defer link.dialMu.Unlock()
	if open := link.openConn(); open != nil {
		return open, nil
	}
	return l.dial(ctx, link, address)
}

// openConn returns the link's connection, or nil when there is none or it has ended.
func (a *agentLink) openConn() *agentConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.ended || a.current.conn.Closed() {
		return nil
	}
	return a.current
}

func (l *links) dial(ctx context.Context, link *agentLink, address string) (*agentConn, error) {
	dialled := &agentConn{link: link, helloReady: make(chan struct{})}
	conn, err := l.client.Dial(ctx, address, dialled)
	if err != nil {
		return nil, err
	}
	link.mu.Lock()
	dialled.conn = conn
	link.current = dialled
	link.mu.Unlock()
	return dialled, conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: l.newHello()}})
}

// awaitHello returns the connection and the agent's Hello once it has arrived. It returns
// transport.ErrDial when ctx or the connection ends first.
func (c *agentConn) awaitHello(ctx context.Context, address string) (*transport.Conn, *wire.Hello, error) {
	select {
	case <-c.helloReady:
	case <-ctx.Done():
		return nil, nil, transport.ErrDial.Wrap(ctx.Err(), "agent at %s sent no Hello frame", address)
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.ended || c.hello == nil {
		return nil, nil, transport.ErrDial.New("connection to %s closed before a Hello frame", address)
	}
	return c.conn, c.hello, nil
}

// probeSocket returns the probe socket of an agent address, opening one when there is none.
func (l *links) probeSocket(address string) (*transport.DatagramConn, error) {
	link := l.linkTo(address)
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.socket != nil && !link.socket.Closed() {
		return link.socket, nil
	}
	socket, err := l.client.DialDatagram(address)
	if err != nil {
		return nil, err
	}
	link.socket = socket
	return socket, nil
}

// ConnOpened implements transport.FrameHandler.
func (l *links) ConnOpened(*transport.Conn) {}

// FrameReceived implements transport.FrameHandler.
func (l *links) FrameReceived(conn *transport.Conn, frame *wire.Frame) {
	if hello := frame.GetHello(); hello != nil {
		l.handleHello(conn, hello)
		return
	}
	l.router.deliver(conn, frameAttempt(frame), frame)
}

func (l *links) handleHello(conn *transport.Conn, hello *wire.Hello) {
	agent, ok := conn.Tag.(*agentConn)
	if !ok {
		return
	}
	agent.link.mu.Lock()
	first := agent.hello == nil && !agent.ended
	agent.hello = hello
	agent.link.mu.Unlock()
	if first {
		close(agent.helloReady)
	}
	l.onHello(conn.Remote(), hello)
}

// ConnClosed implements transport.FrameHandler.
func (l *links) ConnClosed(conn *transport.Conn, _ error) {
	if agent, ok := conn.Tag.(*agentConn); ok {
		agent.markEnded()
	}
	l.router.connectionLost(conn)
}

// markEnded records that the connection is closed and unblocks callers that wait for its Hello.
func (c *agentConn) markEnded() {
	c.link.mu.Lock()
	awaitingHello := c.hello == nil && !c.ended
	c.ended = true
	c.link.mu.Unlock()
	if awaitingHello {
		close(c.helloReady)
	}
}

func (l *links) close() { l.client.Close() }
