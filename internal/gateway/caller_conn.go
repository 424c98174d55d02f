package gateway

import (
	"bufio"
	"bytes"
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
	"balsamyoke.example/balsamyoke/internal/membudget"
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
	// lingerTimeout bounds how long a caller may go on sending a request that was refused before it was read.
	lingerTimeout = 2 * time.Second
	// callerBufferBytes is the size of the write buffer of a caller's connection and the minimum size of its read
	// buffer.
	callerBufferBytes = 4 << 10
)

// callerConn is one connection of a caller. One goroutine reads requests and detects that the caller closes the
// connection; another one writes the responses.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	// writer buffers what goes to out.
	writer *bufio.Writer
	out    *callerOutput
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
	// held is the memory of the body.
	held *membudget.Reservation
}

// release returns the memory of the body, which isn't used any more.
func (in *incoming) release() {
	in.body = nil
	in.held.Release()
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
	out := newCallerOutput(conn, g.ahead)
	c := &callerConn{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, callerBufferBytes),
		writer: bufio.NewWriterSize(out, callerBufferBytes),
		out:    out,
	}
	g.trackCaller(c, true)
	defer g.trackCaller(c, false)
	defer conn.Close()
	defer out.abort()
	for g.waitForRequest(c) {
		in, err := g.readRequest(c)
		if err != nil {
			g.rejectUnreadable(c, in, err)
			return
		}
		keepOpen := g.serveWatched(c, in)
		in.release()
		if !keepOpen {
			return
		}
		c.shrinkReader()
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

// readRequest reads the header and the body of a request. With an error, it returns what it has read. Its errors are
// ErrBadRequest, ErrTooLarge, ErrNoMemory, and those of the connection.
func (g *Gateway) readRequest(c *callerConn) (*incoming, error) {
	limits := g.limits()
	in := &incoming{receivedAt: time.Now()}
	if err := c.SetReadDeadline(in.receivedAt.Add(limits.HeaderTimeout)); err != nil {
		return in, err
	}
	in.header.DisableNormalizing()
	err := in.header.Read(c.reader)
	if isSmallBuffer(err) && c.reader.Size() < limits.HeaderBytes {
		c.growReader(limits.HeaderBytes)
		err = in.header.Read(c.reader)
	}
	if err != nil {
		return in, classifyHeaderError(err)
	}
	if len(in.header.RawHeaders()) > limits.HeaderBytes {
		return in, errHeaderTooLarge
	}
	if err := checkFraming(&in.header); err != nil {
		return in, err
	}
	if err := c.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return in, err
	}
	if err := g.readBody(c, in, limits.BodyBytes); err != nil {
		in.release()
		return in, err
	}
	in.takesChunks = in.header.IsHTTP11()
	in.closeAfter = in.header.ConnectionClose() || !in.takesChunks
	return in, nil
}

var errHeaderTooLarge = ErrTooLarge.New("request header exceeds the limit")

func classifyHeaderError(err error) error {
	var netErr net.Error
	switch {
	case isSmallBuffer(err):
		return errHeaderTooLarge
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return ErrBadRequest.Wrap(err, "parse request header")
	}
}

// isSmallBuffer reports whether a header didn't fit in its read buffer.
func isSmallBuffer(err error) bool {
	var smallBuffer *fasthttp.ErrSmallBuffer
	return errors.As(err, &smallBuffer)
}

// growReader enlarges the read buffer, which keeps what it holds.
func (c *callerConn) growReader(size int) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.Conn), size)
}

// shrinkReader replaces an enlarged read buffer that is empty.
func (c *callerConn) shrinkReader() {
	if c.reader.Size() > callerBufferBytes && c.reader.Buffered() == 0 {
		c.reader = bufio.NewReaderSize(c.Conn, callerBufferBytes)
	}
}

// readBody reads the body of a request of at most limit bytes into memory that it reserves. Its errors are ErrTooLarge,
// ErrNoMemory, ErrBadRequest, and those of the connection.
func (g *Gateway) readBody(c *callerConn, in *incoming, limit int) error {
	length := in.header.ContentLength()
	if length > limit {
		return ErrTooLarge.New("body of %d bytes, more than %d", length, limit)
	}
	if length == chunkedLength {
		return g.readChunkedBody(c, in, limit)
	}
	if length <= 0 {
		return nil
	}
	held, err := g.memory.reserveBody(int64(length))
	if err != nil {
		return err
	}
	in.held = held
	in.body = make([]byte, length)
	_, err = io.ReadFull(c.reader, in.body)
	return err
}

// readChunkedBody reads a body whose length isn't known. One that turns out to be large gets memory for the largest one while
// it is read.
func (g *Gateway) readChunkedBody(c *callerConn, in *incoming, limit int) error {
	chunks := &chunkedBody{chunks: httputil.NewChunkedReader(c.reader), reader: c.reader}
	for _, size := range []int{min(smallBody, limit), limit} {
		held, err := g.memory.reserveBody(int64(size))
		if err != nil {
			return err
		}
		in.held.Release()
		in.held = held
		more, err := io.ReadAll(io.LimitReader(chunks, int64(size-len(in.body))+1))
		in.body = append(in.body, more...)
		if err != nil {
			return ErrBadRequest.Wrap(err, "read chunked body")
		}
		if len(in.body) <= size {
			in.held.Shrink(int64(len(in.body)))
			return nil
		}
	}
	return ErrTooLarge.New("body of more than %d bytes", limit)
}

// rejectUnreadable responds to a request that could not be read, or to bytes that aren't one, with the status that fits err.
// Nothing was sent to a server.
func (g *Gateway) rejectUnreadable(c *callerConn, in *incoming, err error) {
	var resp *response
	switch {
	case err == errHeaderTooLarge:
		resp = gatewayResponse(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errorx.IsOfType(err, ErrNoMemory):
		resp = refusalResponse(noMemoryRetryAfter)
		call, _ := g.protocol.ReadCall(&in.header) // malformed headers leave the id empty
		g.recordRefusal(in, call.ID, "no_memory", eventlog.Error(err))
	case errorx.IsOfType(err, ErrTooLarge):
		resp = gatewayResponse(fasthttp.StatusRequestEntityTooLarge)
	case errorx.IsOfType(err, ErrBadRequest):
		resp = gatewayResponse(fasthttp.StatusBadRequest)
	default:
		// The connection ended or timed out within a request.
		return
	}
	if resp.header.StatusCode() != fasthttp.StatusServiceUnavailable {
		g.counters.malformed.Inc(1)
		g.log.Warn(EventMalformed, zapStatus(resp.header.StatusCode()), eventlog.Error(err))
	}
	resp.closeAfter = true
	if c.writeResponse(resp) != nil {
		return
	}
	// The caller may still be behind in reading earlier responses.
	ctx, cancel := context.WithTimeout(g.requests, lingerTimeout)
	defer cancel()
	if c.out.deliver(ctx) == nil {
		c.linger()
	}
}

// linger drops what the caller is still sending, because a close with unread bytes resets the connection, and the caller may
// lose the response with it.
func (c *callerConn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// The error is the end of the connection or the timeout.
	_, _ = io.Copy(io.Discard, c.reader)
}

// serveWatched serves one request. It cancels the request when the caller closes the connection before the response
// is complete. It reports whether the connection stays open.
func (g *Gateway) serveWatched(c *callerConn, in *incoming) bool {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	ctx, cancel := context.WithCancelCause(g.requests)
	defer cancel(nil)
	done := make(chan bool, 1)
	go func() {
		keepOpen := g.serve(ctx, c, in)
		keepOpen = g.deliver(ctx, c, in) && keepOpen
		c.endRequest(keepOpen, g.limits().IdleTimeout)
		done <- keepOpen
	}()
	if _, err := c.reader.Peek(1); err != nil {
		// The cancellation has no effect when the response was sent already and only the wait for the next
		// one ended.
		cancel(ErrCallerDisconnected.Wrap(err, "read from the caller's connection"))
		c.endWait()
		<-done
		return false
	}
	return <-done
}

// endWait ends a write that waits for memory for a caller that is behind. The caller has gone.
func (c *callerConn) endWait() {
	if c.out.lag(time.Now()).held > 0 {
		c.out.abort()
	}
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
