package transport

import (
	"context"
	"net"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/traffic"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Client dials agents. Its connections share a few event loops.
type Client struct {
	gnet.BuiltinEventEngine

	frames    FrameHandler
	datagrams func(datagram *wire.Datagram)
	client    *gnet.Client
}

// dialing travels as the context of a connection that is being opened.
type dialing struct {
	tag    any
	opened chan *Conn
}

// NewClient starts a Client whose connections report to frames and datagrams.
func NewClient(frames FrameHandler, datagrams func(*wire.Datagram)) (*Client, error) {
	c := &Client{frames: frames, datagrams: datagrams}
	client, err := gnet.NewClient(c,
		gnet.WithMulticore(true),
		gnet.WithNumEventLoop(eventLoops),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(zap.NewNop().Sugar()))
	if err != nil {
		return nil, ErrDial.Wrap(err, "cannot make a client")
	}
	if err := client.Start(); err != nil {
		return nil, ErrDial.Wrap(err, "cannot start a client")
	}
	c.client = client
	return c, nil
}

// Dial opens a TCP connection whose Tag is set before ConnOpened is called.
func (c *Client) Dial(ctx context.Context, address string, tag any) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ErrDial.Wrap(err, "cannot reach %s", address)
	}
	dial := &dialing{tag: tag, opened: make(chan *Conn, 1)}
	if _, err := c.client.EnrollContext(socket, dial); err != nil {
		return nil, ErrDial.Wrap(err, "cannot use the connection to %s", address)
	}
	select {
	case conn := <-dial.opened:
		return conn, nil
	case <-ctx.Done():
		go closeLate(dial)
		return nil, ErrDial.Wrap(ctx.Err(), "no connection to %s in time", address)
	}
}

// closeLate closes a connection that opened after its dialer gave up.
func closeLate(dial *dialing) {
	conn := <-dial.opened
	_ = conn.Close()
}

// DatagramConn sends datagrams to one peer. A peer that refuses datagrams may close it.
type DatagramConn struct {
	raw gnet.Conn

	// mu orders sends before the close of the socket: gnet writes datagrams at once, on the calling
	// goroutine, to the number of the socket, which belongs to another connection after the close.
	mu     sync.RWMutex
	closed bool
}

// DialDatagram opens a UDP socket towards address.
func (c *Client) DialDatagram(address string) (*DatagramConn, error) {
	conn := &DatagramConn{}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	raw, err := c.client.DialContext("udp", address, conn)
	if err != nil {
		return nil, ErrDial.Wrap(err, "cannot open a datagram socket to %s", address)
	}
	conn.raw = raw
	return conn, nil
}

// Send sends one datagram, which may be lost.
func (d *DatagramConn) Send(datagram *wire.Datagram) error {
	buf, err := proto.Marshal(datagram)
	if err != nil {
		return ErrMalformed.WrapWithNoMessage(err)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.closed {
		return ErrClosed.New("datagram socket is closed")
	}
	if err := d.raw.AsyncWrite(buf, nil); err != nil {
		return ErrClosed.Wrap(err, "datagram was not sent")
	}
	traffic.Control.Sent(len(buf))
	return nil
}

// Closed says whether the socket has ended and must be opened again.
func (d *DatagramConn) Closed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.closed
}

// ended is called before the socket is closed; no send is under way when it returns.
func (d *DatagramConn) ended() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Close closes the socket.
func (d *DatagramConn) Close() { _ = d.raw.Close() }

// Close stops all connections.
func (c *Client) Close() { _ = c.client.Stop() }

// OnOpen implements gnet.EventHandler.
func (c *Client) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	return nil, openConn(raw, c.frames)
}

// OnTraffic implements gnet.EventHandler.
func (c *Client) OnTraffic(raw gnet.Conn) gnet.Action {
	if raw.LocalAddr().Network() != "udp" {
		return connTraffic(raw, c.frames)
	}
	body, err := raw.Next(-1)
	if err != nil {
		return gnet.None
	}
	traffic.Control.Received(len(body))
	if datagram, err := decodeDatagram(body); err == nil {
		c.datagrams(datagram)
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (c *Client) OnClose(raw gnet.Conn, err error) gnet.Action {
	if socket, ok := raw.Context().(*DatagramConn); ok {
		socket.ended()
		return gnet.None
	}
	connClosed(raw, err, c.frames)
	return gnet.None
}
