package peers

import (
	"net"
	"net/netip"

	"github.com/joomcode/errorx"
	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/wire"
)

var namespace = errorx.NewNamespace("peers")

// ErrLink means that heartbeats can't be sent or received at an address.
var ErrLink = namespace.NewType("link")

// Link sends and receives heartbeats over UDP. Receiving runs on gnet's event loop.
type Link struct {
	gnet.BuiltinEventEngine
	receive func(*wire.Beat)
	out     *net.UDPConn
	engine  gnet.Engine
	booted  chan struct{}
	// ended is closed when the event loop has ended.
	ended chan struct{}
}

// Listen opens a Link on address, an ip:port. It calls receive, which must not block, for each heartbeat that
// arrives.
func Listen(address string, receive func(*wire.Beat)) (*Link, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, ErrLink.Wrap(err, "address %q", address)
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, ErrLink.Wrap(err, "address %q", address)
	}
	l := &Link{receive: receive, out: out, booted: make(chan struct{}), ended: make(chan struct{})}
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(l, "udp4://"+address, gnet.WithLogger(zap.NewNop().Sugar()), gnet.WithReuseAddr(true))
		close(l.ended)
	}()
	select {
	case <-l.booted:
		return l, nil
	case err := <-failed:
		_ = out.Close()
		return nil, ErrLink.Wrap(err, "listen on %q", address)
	}
}

// OnBoot implements gnet.EventHandler.
func (l *Link) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	close(l.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Link) OnTraffic(c gnet.Conn) gnet.Action {
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	beat := &wire.Beat{}
	// A datagram that doesn't parse as a heartbeat isn't from a gateway and is dropped.
	if proto.Unmarshal(datagram, beat) == nil {
		l.receive(beat)
	}
	return gnet.None
}

// Send sends one heartbeat to each address and returns an error if that fails for some of them. A lost datagram is not
// resent, because the next heartbeat replaces it.
func (l *Link) Send(beat *wire.Beat, addresses []string) error {
	datagram, err := proto.Marshal(beat)
	if err != nil {
		return ErrLink.Wrap(err, "cannot encode the beat")
	}
	var failed error
	for _, address := range addresses {
		if err := l.sendTo(address, datagram); err != nil {
			failed = err
		}
	}
	return failed
}

func (l *Link) sendTo(address string, datagram []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return ErrLink.Wrap(err, "address %q", address)
	}
	if _, err := l.out.WriteToUDPAddrPort(datagram, to); err != nil {
		return ErrLink.Wrap(err, "send to %q", address)
	}
	return nil
}
