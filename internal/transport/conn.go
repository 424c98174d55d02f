// Package transport carries frames over TCP and probe datagrams over UDP between entries and
// agents, on gnet. Agents own a Server; entries own a Client.
package transport

import (
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxPendingBytes bounds the bytes queued for a slow peer on one connection.
const maxPendingBytes = 32 << 20

// FrameHandler receives the events of TCP connections on gnet's event loops; it must not block.
type FrameHandler interface {
	// ConnOpened is called before the first frame.
	ConnOpened(conn *Conn)
	// FrameReceived is called for each frame in the order sent.
	FrameReceived(conn *Conn, frame *wire.Frame)
	// ConnClosed is called once, after the last frame.
	ConnClosed(conn *Conn, err error)
}

// Conn is one TCP connection. Its methods may be called from any goroutine.
type Conn struct {
	raw          gnet.Conn
	remote       string
	pendingBytes atomic.Int64
	closed       atomic.Bool
	// Tag is for use by the FrameHandler. It is set by Dial, or by the FrameHandler in ConnOpened.
	Tag any
}

// Remote returns the peer's address as ip:port.
func (c *Conn) Remote() string { return c.remote }

// Send queues one frame. A nil error does not mean that the peer received it. It returns ErrClosed on a
// closed connection, and ErrOverflow when the frame is too large or too many bytes are queued; in the
// latter case it closes the connection.
func (c *Conn) Send(frame *wire.Frame) error {
	if c.closed.Load() {
		return ErrClosed.New("connection to %s is closed", c.remote)
	}
	buf, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	if c.pendingBytes.Add(int64(len(buf))) > maxPendingBytes {
		_ = c.Close()
		return ErrOverflow.New("peer %s left more than %d bytes unread", c.remote, maxPendingBytes)
	}
	err = c.raw.AsyncWrite(buf, func(gnet.Conn, error) error {
		c.pendingBytes.Add(-int64(len(buf)))
		return nil
	})
	if err != nil {
		return ErrClosed.Wrap(err, "cannot write to %s", c.remote)
	}
	return nil
}

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool { return c.closed.Load() }

// Close closes the connection; frames queued before it may be lost.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.raw.Close()
}

// readFrames passes every complete frame in the connection's buffer to the handler.
func readFrames(conn *Conn, raw gnet.Conn, handler FrameHandler) error {
	for raw.InboundBuffered() >= prefixBytes {
		prefix, err := raw.Peek(prefixBytes)
		if err != nil {
			return ErrClosed.WrapWithNoMessage(err)
		}
		size, err := frameLength(prefix)
		if err != nil {
			return err
		}
		if raw.InboundBuffered() < prefixBytes+size {
			return nil
		}
		frame, err := nextFrame(raw, size)
		if err != nil {
			return err
		}
		handler.FrameReceived(conn, frame)
	}
	return nil
}

// nextFrame consumes one frame whose bytes are all buffered.
func nextFrame(raw gnet.Conn, size int) (*wire.Frame, error) {
	if _, err := raw.Discard(prefixBytes); err != nil {
		return nil, ErrClosed.WrapWithNoMessage(err)
	}
	body, err := raw.Next(size)
	if err != nil {
		return nil, ErrClosed.WrapWithNoMessage(err)
	}
	return decodeFrame(body)
}
