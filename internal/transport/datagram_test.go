package transport

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// tcpPair returns both ends of a new TCP connection.
func tcpPair(c *qt.C, listener net.Listener) [2]net.Conn {
	dialled, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return [2]net.Conn{dialled, accepted}
}

// When a peer refuses datagrams, gnet closes the socket. The process's next connection then gets the
// same file descriptor and must not receive what is sent on the old socket.
func TestLostDatagramSocketWritesToNoOtherConnection(t *testing.T) {
	c := qt.New(t)
	client, err := NewClient(newRecorder(false), func(*wire.Datagram) {})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	socket, err := client.DialDatagram(freeAddress(c))
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	probe := &wire.Datagram{Body: &wire.Datagram_Probe{Probe: &wire.Probe{Organisation: "ridge"}}}
	for range 30 {
		_ = socket.Send(probe)
		for _, end := range tcpPair(c, listener) {
			_ = socket.Send(probe)
			c.Assert(end.SetReadDeadline(time.Now().Add(2*time.Millisecond)), qt.IsNil)
			got := make([]byte, 256)
			n, err := end.Read(got)
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("another connection received %q", got[:n]))
		}
	}
	c.Assert(socket.Closed(), qt.IsTrue)
	c.Assert(socket.Send(probe), qt.ErrorMatches, "transport.closed: .*")
}
