// Package httpclient sends HTTP requests with the codec of fasthttp. Its errors distinguish a request that
// certainly was not sent from one that may have taken effect. The clients of the key-value
// service, the instance list, the stores and the backend servers use it.
//
// The package manages its own connections, because fasthttp's client doesn't report whether a failed connection
// had already carried the request, and a context can't interrupt it.
package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/membudget"
	"balsamyoke.example/balsamyoke/internal/traffic"
)

const (
	defaultDialTimeout = 2 * time.Second
	defaultMaxIdle     = 64
	maxIdleTime        = 30 * time.Second
	// maxUnprovenIdleTime is the longest time for which a connection was unused that carries a request which can't be sent again. It
	// may have become silent since.
	maxUnprovenIdleTime = 2 * time.Second
	bufferBytes         = 16 << 10
	// defaultMaxBody bounds a response body in bytes. The largest are listings of one page or of one cache store, a few
	// megabytes.
	defaultMaxBody = 32 << 20
)

// keepAlive closes a connection within about ten seconds after its peer has disappeared. Otherwise watches of the
// key-value service would wait on it for minutes.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     4 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

// Options configures a Client. Zero values mean the defaults.
type Options struct {
	// DialTimeout bounds how long a connection may take to open.
	DialTimeout time.Duration
	// MaxIdle bounds how many unused connections are kept.
	MaxIdle int
	// CloseAfterErrors closes a connection after a response with a status of 400 or more. A server that sends such a
	// response once more would otherwise answer the next call with it.
	CloseAfterErrors bool
	// MaxBody bounds the body of a response that Do and DoFramed read, in bytes.
	MaxBody int64
	// Memory is the budget for the bodies that are being read; nil has no limit.
	Memory *membudget.Budget
	// Replaced is called when a silent connection was replaced by a new one; nil for none. It must not block.
	Replaced func(address string)
	// Traffic counts the bytes sent and received; nil counts nothing.
	Traffic *traffic.Counter
}

// Client sends requests to one address. It is safe for concurrent use.
type Client struct {
	address string
	options Options

	mu        sync.Mutex
	idleConns []*connection
	closed    bool
}

// connection is one TCP connection with its read buffer.
type connection struct {
	net.Conn
	// counted is Conn, wrapped to count its bytes when Options.Traffic is set.
	counted   net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// reused is set for a connection that has carried another request.
	reused bool
}

// New returns a Client for address, given as ip:port.
func New(address string, options Options) *Client {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxIdle == 0 {
		options.MaxIdle = defaultMaxIdle
	}
	if options.MaxBody == 0 {
		options.MaxBody = defaultMaxBody
	}
	return &Client{address: address, options: options}
}

// Address returns the ip:port that the Client sends to.
func (c *Client) Address() string { return c.address }

// Close closes the unused connections. Running calls continue; their connections close afterwards.
func (c *Client) Close() {
	c.mu.Lock()
	idleConns := c.idleConns
	c.idleConns = nil
	c.closed = true
	c.mu.Unlock()
	for _, conn := range idleConns {
		_ = conn.Close()
	}
}

// Do sends request and reads the complete response into response. The end of ctx interrupts it.
// It returns ErrNotSent, ErrInterrupted or ErrTooLarge. A body with neither a length nor chunks ends with its connection,
// also when the server fails within it, so its content must show whether it is complete.
func (c *Client) Do(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	return c.Receive(ctx, Call{Request: request, Response: response, MaxBody: c.options.MaxBody, Read: wholeBody(response)})
}

// DoFramed is Do for bodies whose content doesn't show whether they are complete. A successful response with neither a
// length nor chunks is ErrInterrupted.
func (c *Client) DoFramed(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	whole := wholeBody(response)
	read := func(body io.Reader) error {
		success := response.StatusCode() >= fasthttp.StatusOK && response.StatusCode() < fasthttp.StatusMultipleChoices
		if success && response.Header.ContentLength() == identityBody {
			return errUnframed
		}
		return whole(body)
	}
	return c.Receive(ctx, Call{Request: request, Response: response, MaxBody: c.options.MaxBody, Read: read})
}

// Stream sends request and returns the response while its body is still arriving. The caller must
// close the Stream. The end of ctx closes the connection, which also ends reads of the body.
// It returns ErrNotSent or ErrInterrupted.
func (c *Client) Stream(ctx context.Context, request *fasthttp.Request) (*Stream, error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	request.SetConnectionClose()
	s := &Stream{ctx: ctx, conn: conn, Response: fasthttp.AcquireResponse()}
	s.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := send(ctx, conn, request, s.Response, 0); err != nil {
		err = preferContextCause(ctx, err)
		s.Close()
		return nil, ErrInterrupted.Wrap(err, "%s %s on %s", request.Header.Method(), request.URI().Path(), c.address)
	}
	return s, nil
}

// connect returns an unused connection that the peer has not closed, or dials a new one. Bytes that have arrived on an unused
// connection belong to no request that is still to be sent. One that was unused for longer than maxIdle is closed. The error is
// ErrNotSent.
func (c *Client) connect(ctx context.Context, maxIdle time.Duration) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, ErrNotSent.Wrap(err, "call to %s", c.address)
	}
	for {
		conn := c.takeIdle()
		if conn == nil {
			return c.dial(ctx)
		}
		if time.Since(conn.idleSince) < maxIdle && peek(conn.Conn) == peerQuiet {
			return conn, nil
		}
		_ = conn.Close()
	}
}

func (c *Client) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{Timeout: c.options.DialTimeout, KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "dial %s", c.address)
	}
	counted := conn
	if c.options.Traffic != nil {
		counted = c.options.Traffic.Conn(conn)
	}
	return &connection{Conn: conn, counted: counted, reader: bufio.NewReaderSize(counted, bufferBytes)}, nil
}

func (c *Client) takeIdle() *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastIndex := len(c.idleConns) - 1
	if lastIndex < 0 {
		return nil
	}
	conn := c.idleConns[lastIndex]
	c.idleConns[lastIndex] = nil
	c.idleConns = c.idleConns[:lastIndex]
	return conn
}

// dropIdle closes the connections that have been unused since before at.
func (c *Client) dropIdle(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idleConns[:0]
	for _, conn := range c.idleConns {
		if conn.idleSince.Before(at) {
			_ = conn.Close()
		} else {
			kept = append(kept, conn)
		}
	}
	clear(c.idleConns[len(kept):])
	c.idleConns = kept
}

func (c *Client) release(conn *connection) {
	conn.idleSince, conn.reused = time.Now(), true
	c.mu.Lock()
	keep := !c.closed && len(c.idleConns) < c.options.MaxIdle
	if keep {
		c.idleConns = append(c.idleConns, conn)
	}
	c.mu.Unlock()
	if !keep {
		_ = conn.Close()
	}
}

// interruptWith makes reads and writes on conn fail once ctx ends. The returned function
// cancels that and reports whether ctx had not ended.
func interruptWith(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
}

// preferContextCause returns the cause of the context's end if the context has ended, because that end is then the
// reason for err. Otherwise it returns err.
func preferContextCause(ctx context.Context, err error) error {
	if ctxErr := context.Cause(ctx); ctxErr != nil {
		return ctxErr
	}
	return err
}
