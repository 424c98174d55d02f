package transport

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/traffic"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// stopTimeout bounds how long Server.Close waits for the event loops.
const stopTimeout = 2 * time.Second

// DatagramHandler receives datagrams on an event loop; it must not block. reply may be called later,
// from any goroutine.
type DatagramHandler func(datagram *wire.Datagram, reply func(*wire.Datagram))

// Server accepts TCP connections and UDP datagrams on one ip:port.
type Server struct {
	gnet.BuiltinEventEngine

	address    string
	frames     FrameHandler
	datagrams  DatagramHandler
	engine     gnet.Engine
	replies    net.PacketConn
	bootResult chan error
	stopped    chan struct{}
}

// Listen starts a Server on address, which must include a port. It returns ErrListen when it cannot
// listen on address.
func Listen(address string, frames FrameHandler, datagrams DatagramHandler) (*Server, error) {
	s := &Server{
		address:    address,
		frames:     frames,
		datagrams:  datagrams,
		bootResult: make(chan error, 1),
		stopped:    make(chan struct{}),
	}
	go s.run()
	if err := <-s.bootResult; err != nil {
		return nil, ErrListen.Wrap(err, "cannot listen on %s", address)
	}
	return s, nil
}

func (s *Server) run() {
	defer close(s.stopped)
	err := gnet.Rotate(s, []string{"tcp://" + s.address, "udp://" + s.address},
		gnet.WithMulticore(true),
		gnet.WithNumEventLoop(eventLoops),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(zap.NewNop().Sugar()))
	if err != nil {
		s.bootResult <- err
	}
}

// eventLoops is the number of gnet event loops in a process.
const eventLoops = 2

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	replies, err := duplicateListener(engine, s.address)
	if err != nil {
		s.bootResult <- err
		return gnet.Shutdown
	}
	s.replies = replies
	s.bootResult <- nil
	return gnet.None
}

// duplicateListener returns the UDP listener as a PacketConn that any goroutine may write to. gnet
// releases a UDP connection when OnTraffic returns, so it can't be used for later replies.
func duplicateListener(engine gnet.Engine, address string) (net.PacketConn, error) {
	fd, err := engine.DupListener("udp", address)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "udp listener")
	defer file.Close()
	return net.FilePacketConn(file)
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	return nil, openConn(raw, s.frames)
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(raw gnet.Conn) gnet.Action {
	if raw.LocalAddr().Network() == "udp" {
		s.readDatagram(raw)
		return gnet.None
	}
	return connTraffic(raw, s.frames)
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(raw gnet.Conn, err error) gnet.Action {
	connClosed(raw, err, s.frames)
	return gnet.None
}

func (s *Server) readDatagram(raw gnet.Conn) {
	body, err := raw.Next(-1)
	if err != nil {
		return
	}
	traffic.Control.Received(len(body))
	datagram, err := decodeDatagram(body)
	if err != nil {
		return
	}
	remote := copyUDPAddr(raw.RemoteAddr())
	s.datagrams(datagram, func(response *wire.Datagram) { s.reply(remote, response) })
}

func (s *Server) reply(remote net.Addr, datagram *wire.Datagram) {
	buf, err := proto.Marshal(datagram)
	if err != nil {
		return
	}
	traffic.Control.Sent(len(buf))
	_, _ = s.replies.WriteTo(buf, remote)
}

// copyUDPAddr copies an address that gnet reuses after OnTraffic.
func copyUDPAddr(addr net.Addr) net.Addr {
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return addr
	}
	return &net.UDPAddr{IP: append(net.IP(nil), udp.IP...), Port: udp.Port, Zone: udp.Zone}
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.engine.Stop(ctx)
	_ = s.replies.Close()
	select {
	case <-s.stopped:
	case <-ctx.Done():
	}
}

func openConn(raw gnet.Conn, frames FrameHandler) gnet.Action {
	if raw.LocalAddr().Network() == "udp" {
		return gnet.None
	}
	conn := &Conn{raw: raw, remote: raw.RemoteAddr().String()}
	if dial, ok := raw.Context().(*pendingDial); ok {
		conn.Tag = dial.tag
		defer func() { dial.opened <- conn }()
	}
	raw.SetContext(conn)
	frames.ConnOpened(conn)
	return gnet.None
}

func connTraffic(raw gnet.Conn, frames FrameHandler) gnet.Action {
	conn, ok := raw.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	if err := readFrames(conn, raw, frames); err != nil {
		return gnet.Close
	}
	return gnet.None
}

func connClosed(raw gnet.Conn, err error, frames FrameHandler) {
	conn, ok := raw.Context().(*Conn)
	if !ok {
		return
	}
	conn.closed.Store(true)
	frames.ConnClosed(conn, err)
}
