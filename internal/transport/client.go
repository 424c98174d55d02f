package transport

import (
	"context"
	"net"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

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

// DatagramConn sends datagrams to one peer.
type DatagramConn struct {
	raw gnet.Conn
}

// DialDatagram opens a UDP socket towards address.
func (c *Client) DialDatagram(address string) (*DatagramConn, error) {
	raw, err := c.client.Dial("udp", address)
	if err != nil {
		return nil, ErrDial.Wrap(err, "cannot open a datagram socket to %s", address)
	}
	return &DatagramConn{raw: raw}, nil
}

// Send sends one datagram, which may be lost.
func (d *DatagramConn) Send(datagram *wire.Datagram) error {
	buf, err := proto.Marshal(datagram)
	if err != nil {
		return ErrMalformed.WrapWithNoMessage(err)
	}
	if err := d.raw.AsyncWrite(buf, nil); err != nil {
		return ErrClosed.Wrap(err, "datagram socket is closed")
	}
	return nil
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
	if datagram, err := decodeDatagram(body); err == nil {
		c.datagrams(datagram)
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (c *Client) OnClose(raw gnet.Conn, err error) gnet.Action {
	connClosed(raw, err, c.frames)
	return gnet.None
}
