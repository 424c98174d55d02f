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

// pendingDial is the gnet context of a connection that is being opened.
type pendingDial struct {
	tag    any
	opened chan *Conn
}

// NewClient starts a Client that passes the events of its connections to frames and received datagrams to
// datagrams. It returns ErrDial when it cannot start.
func NewClient(frames FrameHandler, datagrams func(*wire.Datagram)) (*Client, error) {
	c := &Client{frames: frames, datagrams: datagrams}
	client, err := gnet.NewClient(c,
		gnet.WithMulticore(true),
		gnet.WithNumEventLoop(eventLoops),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(zap.NewNop().Sugar()))
	if err != nil {
		return nil, ErrDial.Wrap(err, "cannot create a client")
	}
	if err := client.Start(); err != nil {
		return nil, ErrDial.Wrap(err, "cannot start a client")
	}
	c.client = client
	return c, nil
}

// Dial opens a TCP connection and sets its Tag before ConnOpened is called. It returns ErrDial.
func (c *Client) Dial(ctx context.Context, address string, tag any) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ErrDial.Wrap(err, "cannot reach %s", address)
	}
	dial := &pendingDial{tag: tag, opened: make(chan *Conn, 1)}
	if _, err := c.client.EnrollContext(socket, dial); err != nil {
		return nil, ErrDial.Wrap(err, "cannot use the connection to %s", address)
	}
	select {
	case conn := <-dial.opened:
		return conn, nil
	case <-ctx.Done():
		go closeAfterOpen(dial)
		return nil, ErrDial.Wrap(ctx.Err(), "no connection to %s in time", address)
	}
}

// closeAfterOpen closes a connection that opened after the context of its dial had ended.
func closeAfterOpen(dial *pendingDial) {
	conn := <-dial.opened
	_ = conn.Close()
}

// DatagramConn sends datagrams to one peer. gnet may close it when the peer refuses datagrams.
type DatagramConn struct {
	raw gnet.Conn

	// mu prevents sends after the socket is closed: gnet writes datagrams at once, on the calling
	// goroutine, to the socket's file descriptor, which may belong to another connection after the close.
	mu     sync.RWMutex
	closed bool
}

// DialDatagram opens a UDP socket for datagrams to address.
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

// Closed reports whether the socket is closed and a new one must be opened.
func (d *DatagramConn) Closed() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.closed
}

// markClosed is called before the socket is closed; no send is in progress when it returns.
func (d *DatagramConn) markClosed() {
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
		socket.markClosed()
		return gnet.None
	}
	connClosed(raw, err, c.frames)
	return gnet.None
}
