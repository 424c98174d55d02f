package transport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/leaktest"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestMain(m *testing.M) { leaktest.VerifyMain(m) }

// recorder echoes the frames that a connection delivers, or records them in frames.
type recorder struct {
	echo   bool
	frames chan *wire.Frame
	closed chan error
}

func newRecorder(echo bool) *recorder {
	return &recorder{echo: echo, frames: make(chan *wire.Frame, 1024), closed: make(chan error, 16)}
}

func (r *recorder) ConnOpened(*Conn) {}

func (r *recorder) FrameReceived(conn *Conn, frame *wire.Frame) {
	if r.echo {
		_ = conn.Send(frame)
		return
	}
	r.frames <- frame
}

func (r *recorder) ConnClosed(_ *Conn, err error) { r.closed <- err }

// freeAddress returns a loopback ip:port that nothing listens on.
func freeAddress(c *qt.C) string {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func startEcho(c *qt.C) string {
	address := freeAddress(c)
	echo := func(d *wire.Datagram, reply func(*wire.Datagram)) {
		go reply(&wire.Datagram{Body: &wire.Datagram_ProbeReply{
			ProbeReply: &wire.ProbeReply{Nonce: d.GetProbe().GetNonce()},
		}})
	}
	server, err := Listen(address, newRecorder(true), echo)
	c.Assert(err, qt.IsNil)
	c.Cleanup(server.Close)
	return address
}

func chunk(sequence uint32, size int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Chunk{
		Chunk: &wire.Chunk{Sequence: sequence, Data: make([]byte, size)},
	}}
}

func receive(c *qt.C, frames <-chan *wire.Frame) *wire.Frame {
	select {
	case frame := <-frames:
		return frame
	case <-time.After(5 * time.Second):
		c.Fatal("no frame within 5 s")
		return nil
	}
}

func TestFramesKeepOrderAndSize(t *testing.T) {
	c := qt.New(t)
	address := startEcho(c)
	handler := newRecorder(false)
	client, err := NewClient(handler, func(*wire.Datagram) {})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	conn, err := client.Dial(context.Background(), address, "tag")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Tag, qt.Equals, "tag")
	sizes := []int{0, 1, 4096, 1 << 20, 7}
	for i, size := range sizes {
		c.Assert(conn.Send(chunk(uint32(i), size)), qt.IsNil)
	}
	for i, size := range sizes {
		got := receive(c, handler.frames).GetChunk()
		c.Assert(got.GetSequence(), qt.Equals, uint32(i))
		c.Assert(got.GetData(), qt.HasLen, size)
	}
}

func TestDatagramIsAnsweredLater(t *testing.T) {
	c := qt.New(t)
	address := startEcho(c)
	replies := make(chan *wire.Datagram, 1)
	client, err := NewClient(newRecorder(false), func(d *wire.Datagram) { replies <- d })
	c.Assert(err, qt.IsNil)
	defer client.Close()
	socket, err := client.DialDatagram(address)
	c.Assert(err, qt.IsNil)
	probe := &wire.Datagram{Body: &wire.Datagram_Probe{Probe: &wire.Probe{Nonce: 42}}}
	c.Assert(socket.Send(probe), qt.IsNil)
	select {
	case reply := <-replies:
		c.Assert(reply.GetProbeReply().GetNonce(), qt.Equals, uint64(42))
	case <-time.After(5 * time.Second):
		c.Fatal("no reply within 5 s")
	}
}

func TestGarbageClosesOnlyItsConnection(t *testing.T) {
	c := qt.New(t)
	address := startEcho(c)
	handler := newRecorder(false)
	client, err := NewClient(handler, func(*wire.Datagram) {})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	conn, err := client.Dial(context.Background(), address, nil)
	c.Assert(err, qt.IsNil)
	for _, garbage := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x04\xff\xff\xff\xff", "\x00\x00\x00\x00"} {
		raw, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = raw.Write([]byte(garbage))
		c.Assert(err, qt.IsNil)
		c.Assert(raw.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		_, err = raw.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF, qt.Commentf("garbage %q", garbage))
		raw.Close()
	}
	c.Assert(conn.Send(chunk(9, 1)), qt.IsNil)
	c.Assert(receive(c, handler.frames).GetChunk().GetSequence(), qt.Equals, uint32(9))
}

func TestDialRefused(t *testing.T) {
	c := qt.New(t)
	client, err := NewClient(newRecorder(false), func(*wire.Datagram) {})
	c.Assert(err, qt.IsNil)
	defer client.Close()
	_, err = client.Dial(context.Background(), freeAddress(c), nil)
	c.Assert(err, qt.ErrorMatches, ".*cannot reach.*")
}

func FuzzDecode(f *testing.F) {
	frame, _ := encodeFrame(chunk(3, 10))
	f.Add(frame[prefixBytes:])
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, body []byte) {
		if frame, err := decodeFrame(body); err == nil && frame.GetBody() == nil {
			t.Fatal("frame without a body was accepted")
		}
		_, _ = decodeDatagram(body)
	})
}
