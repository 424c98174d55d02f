package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// The defaults apply until a configuration with limits has been received.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the time from the end of a request's header to the end of its body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller, which blocks when the caller doesn't read.
	writeTimeout = 5 * time.Second
	// callerBufferBytes is the size of the write buffer of a caller's connection and the minimum size of its read
	// buffer.
	callerBufferBytes = 4 << 10
)

// callerConn is one connection of a caller. One goroutine reads requests and detects that the caller closes the
// connection; another one writes the responses.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// mu guards busy and closing.
	mu      sync.Mutex
	busy    bool
	closing bool
}

// incoming is one request as it was read from the connection.
type incoming struct {
	header fasthttp.RequestHeader
	body   []byte
	// receivedAt is the time at which its first byte was available.
	receivedAt time.Time
	// closeAfter is set when the connection closes after the response.
	closeAfter bool
	// takesChunks is set for callers with HTTP/1.1. A body of unknown length ends with the connection for any others.
	takesChunks bool
}

// accept serves connections until the listener closes.
func (g *Gateway) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Either no file descriptors are left or the connection was reset before it was accepted.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go g.serveConnection(conn)
	}
}

func (g *Gateway) limits() routing.Limits {
	if table := g.fleet.Table(); table != nil && table.Limits.HeaderBytes > 0 {
		return table.Limits
	}
	return routing.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
}

// serveConnection serves the requests of one connection one after the other and closes it.
func (g *Gateway) serveConnection(conn net.Conn) {
	c := &callerConn{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, max(callerBufferBytes, g.limits().HeaderBytes)),
		writer: bufio.NewWriterSize(conn, callerBufferBytes),
	}
	g.trackCaller(c, true)
	defer g.trackCaller(c, false)
	defer conn.Close()
	for g.waitForRequest(c) {
		in, err := g.readRequest(c)
		if err != nil {
			g.rejectUnreadable(c, err)
			return
		}
		if !g.serveWatched(c, in) {
			return
		}
	}
}

// waitForRequest waits for the first byte of the next request. It returns false when the connection has ended,
// is closing or was idle for too long.
func (g *Gateway) waitForRequest(c *callerConn) bool {
	if !c.startIdle(g.limits().IdleTimeout) {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return true
}

// startIdle sets the deadline for the next request. It returns false when the connection is closing.
func (c *callerConn) startIdle(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.closing && c.reader.Buffered() == 0 {
		return false
	}
	return c.SetReadDeadline(time.Now().Add(timeout)) == nil
}

// closeWhenIdle closes the connection as soon as no request is being read or served.
func (c *callerConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.busy {
		_ = c.SetReadDeadline(time.Now())
	}
}

// readRequest reads the header and the body of a request. Its errors are ErrBadRequest, ErrTooLarge, and those
// of the connection.
func (g *Gateway) readRequest(c *callerConn) (*incoming, error) {
	limits := g.limits()
	in := &incoming{receivedAt: time.Now()}
	if err := c.SetReadDeadline(in.receivedAt.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	in.header.DisableNormalizing()
	if err := in.header.Read(c.reader); err != nil {
		return nil, classifyHeaderError(err)
	}
	if len(in.header.RawHeaders()) > limits.HeaderBytes {
		return nil, errHeaderTooLarge
	}
	if err := checkFraming(&in.header); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body, err := readBody(c, &in.header, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	in.body = body
	in.takesChunks = in.header.IsHTTP11()
	in.closeAfter = in.header.ConnectionClose() || !in.takesChunks
	return in, nil
}

var errHeaderTooLarge = ErrTooLarge.New("request header exceeds the limit")

func classifyHeaderError(err error) error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &smallBuffer):
		return errHeaderTooLarge
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return ErrBadRequest.Wrap(err, "parse request header")
	}
}

func readBody(c *callerConn, header *fasthttp.RequestHeader, limit int) ([]byte, error) {
	if header.ContentLength() == -1 {
		chunks := &chunkedBody{chunks: httputil.NewChunkedReader(c.reader), reader: c.reader}
		body, err := io.ReadAll(io.LimitReader(chunks, int64(limit)+1))
		if len(body) > limit {
			return nil, ErrTooLarge.New("body of more than %d bytes", limit)
		}
		if err != nil {
			return nil, ErrBadRequest.Wrap(err, "read chunked body")
		}
		return body, nil
	}
	length := max(0, header.ContentLength())
	if length > limit {
		return nil, ErrTooLarge.New("body of %d bytes, more than %d", length, limit)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(c.reader, body)
	return body, err
}

// rejectUnreadable responds to bytes that aren't one valid request with the status that fits err. Nothing was sent
// to a server.
func (g *Gateway) rejectUnreadable(c *callerConn, err error) {
	var status int
	switch {
	case err == errHeaderTooLarge:
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errorx.IsOfType(err, ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errorx.IsOfType(err, ErrBadRequest):
		status = fasthttp.StatusBadRequest
	default:
		// The connection ended or timed out within a request.
		return
	}
	g.counters.malformed.Inc(1)
	g.log.Warn(EventMalformed, zapStatus(status), eventlog.Error(err))
	resp := gatewayResponse(status)
	resp.closeAfter = true
	_ = c.writeResponse(resp)
}

// serveWatched serves one request. It cancels the request when the caller closes the connection before the response
// is complete. It reports whether the connection stays open.
func (g *Gateway) serveWatched(c *callerConn, in *incoming) bool {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	done := make(chan bool, 1)
	go func() {
		keepOpen := g.serve(ctx, c, in)
		c.endRequest(keepOpen, g.limits().IdleTimeout)
		done <- keepOpen
	}()
	if _, err := c.reader.Peek(1); err != nil {
		// The cancellation has no effect when the response was sent already and only the wait for the next
		// one ended.
		cancel(ErrCallerDisconnected.Wrap(err, "read from the caller's connection"))
		<-done
		return false
	}
	return <-done
}

// endRequest starts the wait for the next request, or ends the connection when keepOpen is false or it is closing.
func (c *callerConn) endRequest(keepOpen bool, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	deadline := time.Now()
	if keepOpen && !c.closing {
		deadline = deadline.Add(idleTimeout)
	}
	_ = c.SetReadDeadline(deadline)
}
