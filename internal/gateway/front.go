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
	// defaultHeaderBytes and the others apply until a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds how long a body may take beyond its header.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller that doesn't read.
	writeTimeout = 5 * time.Second
	// callerBuffer is the least read buffer of a caller's connection.
	callerBuffer = 4 << 10
)

// caller is one connection of a caller. One goroutine reads requests and notices that the caller closes;
// another answers.
type caller struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// mu guards busy and closing.
	mu      sync.Mutex
	busy    bool
	closing bool
}

// incoming is one request as it was read.
type incoming struct {
	header fasthttp.RequestHeader
	body   []byte
	// at is when its first byte was there.
	at time.Time
	// last tells that the connection ends after the answer.
	last bool
}

// accept serves connections until the listener closes.
func (g *Gateway) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of descriptors or a connection that was reset before it was taken.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		g.connections.Add(1)
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

// serveConnection reads the requests of one connection in turn.
func (g *Gateway) serveConnection(conn net.Conn) {
	defer g.connections.Done()
	c := &caller{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, max(callerBuffer, g.limits().HeaderBytes)),
		writer: bufio.NewWriterSize(conn, callerBuffer),
	}
	g.track(c, true)
	defer g.track(c, false)
	defer conn.Close()
	for g.waitRequest(c) {
		in, err := g.readRequest(c)
		if err != nil {
			g.answerUnreadable(c, err)
			return
		}
		if !g.answerWatched(c, in) {
			return
		}
	}
}

// waitRequest waits for the first byte of the next request. It returns false when there will be none.
func (g *Gateway) waitRequest(c *caller) bool {
	if !c.idle(g.limits().IdleTimeout) {
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

// idle begins the wait for a request, unless the connection is to close.
func (c *caller) idle(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.closing && c.reader.Buffered() == 0 {
		return false
	}
	return c.SetReadDeadline(time.Now().Add(timeout)) == nil
}

// closeIdle ends the connection once no request is being read or answered.
func (c *caller) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.busy {
		_ = c.SetReadDeadline(time.Now())
	}
}

// readRequest reads a header and its body. Its errors are ErrBadRequest, ErrTooLarge, and those of the
// connection.
func (g *Gateway) readRequest(c *caller) (*incoming, error) {
	limits := g.limits()
	in := &incoming{at: time.Now()}
	if err := c.SetReadDeadline(in.at.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	in.header.DisableNormalizing()
	if err := in.header.Read(c.reader); err != nil {
		return nil, headerError(err)
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
	in.last = in.header.ConnectionClose() || !in.header.IsHTTP11()
	return in, nil
}

var errHeaderTooLarge = ErrTooLarge.New("header")

func headerError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return errHeaderTooLarge
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return ErrBadRequest.Wrap(err, "header")
	}
}

func readBody(c *caller, header *fasthttp.RequestHeader, limit int) ([]byte, error) {
	if header.ContentLength() == -1 {
		chunks := &chunkedBody{chunks: httputil.NewChunkedReader(c.reader), reader: c.reader}
		body, err := io.ReadAll(io.LimitReader(chunks, int64(limit)+1))
		if len(body) > limit {
			return nil, ErrTooLarge.New("body of more than %d bytes", limit)
		}
		if err != nil {
			return nil, ErrBadRequest.Wrap(err, "chunked body")
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

// answerUnreadable refuses bytes that aren't one proper request. Nothing was sent to a server.
func (g *Gateway) answerUnreadable(c *caller, err error) {
	var status int
	switch {
	case err == errHeaderTooLarge:
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errorx.IsOfType(err, ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errorx.IsOfType(err, ErrBadRequest):
		status = fasthttp.StatusBadRequest
	default:
		// The connection ended or fell silent within a request.
		return
	}
	g.counters.malformed.Inc(1)
	g.log.Warn(EventMalformed, zapStatus(status), eventlog.Error(err))
	reply := own(status)
	reply.last = true
	_ = c.answer(reply)
}

// answerWatched answers one request while it watches whether the caller leaves. It reports whether the
// connection goes on.
func (g *Gateway) answerWatched(c *caller, in *incoming) bool {
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	done := make(chan bool, 1)
	go func() {
		goesOn := g.serve(ctx, c, in)
		c.finish(goesOn, g.limits().IdleTimeout)
		done <- goesOn
	}()
	if _, err := c.reader.Peek(1); err != nil {
		// Without effect when the request was answered and the wait for the next one ended.
		cancel(ErrCallerGone.Wrap(err, "connection of the caller"))
		<-done
		return false
	}
	return <-done
}

// finish begins the wait for the next request, or ends the connection.
func (c *caller) finish(goesOn bool, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	deadline := time.Now()
	if goesOn && !c.closing {
		deadline = deadline.Add(idle)
	}
	_ = c.SetReadDeadline(deadline)
}
