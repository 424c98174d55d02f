package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// An agent may have reconnected and sent its Hello before the close of its earlier connection is handled.
// That late close must not end the new connection.
func TestLateCloseOfAnEarlierConnectionKeepsTheNextOne(t *testing.T) {
	c := qt.New(t)
	l := &links{router: newFrameRouter(), onHello: func(string, *wire.Hello) {}}
	peer := &agentLink{}
	earlier := &agentConn{link: peer, helloReady: make(chan struct{})}
	next := &agentConn{link: peer, helloReady: make(chan struct{}), conn: &transport.Conn{}}
	peer.current = next
	l.handleHello(&transport.Conn{Tag: next}, &wire.Hello{Incarnation: 7})
	l.ConnClosed(&transport.Conn{Tag: earlier}, nil)
	_, hello, err := next.awaitHello(context.Background(), "agent")
	c.Assert(err, qt.IsNil)
	c.Assert(hello.GetIncarnation(), qt.Equals, uint64(7))
	c.Assert(peer.openConn(), qt.Equals, next)

	l.ConnClosed(&transport.Conn{Tag: next}, nil)
	c.Assert(peer.openConn(), qt.IsNil)
}
