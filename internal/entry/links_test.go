package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// The end of an agent's earlier connection may be noticed after its next one has greeted.
func TestLateEndOfAnEarlierConnectionKeepsTheNextOne(t *testing.T) {
	c := qt.New(t)
	l := &links{flights: newFlights(), greeted: func(string, *wire.Hello) {}}
	peer := &link{}
	earlier := &greeting{peer: peer, ready: make(chan struct{})}
	next := &greeting{peer: peer, ready: make(chan struct{}), conn: &transport.Conn{}}
	peer.greeting = next
	l.receivedHello(&transport.Conn{Tag: next}, &wire.Hello{Incarnation: 7})
	l.ConnClosed(&transport.Conn{Tag: earlier}, nil)
	_, hello, err := next.await(context.Background(), "agent")
	c.Assert(err, qt.IsNil)
	c.Assert(hello.GetIncarnation(), qt.Equals, uint64(7))
	c.Assert(peer.present(), qt.Equals, next)

	l.ConnClosed(&transport.Conn{Tag: next}, nil)
	c.Assert(peer.present(), qt.IsNil)
}
