package traffic

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBothEndsCountTheSameBytes(t *testing.T) {
	c := qt.New(t)
	var server, client Counter
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := server.Listener(plain)
	defer listener.Close()
	echoed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = io.Copy(conn, conn)
			conn.Close()
		}
		echoed <- err
	}()
	conn, err := client.Dial(context.Background(), plain.Addr().String())
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(make([]byte, 5000))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 5000))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(<-echoed, qt.IsNil)
	want := Totals{SentBytes: 5000, ReceivedBytes: 5000}
	c.Assert(client.Totals(), qt.Equals, want)
	c.Assert(server.Totals(), qt.Equals, want)
}
