package httpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

// Call is a request and what becomes of its response.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// MaxBody bounds the body of the response, in bytes.
	MaxBody int64
	// Read is called with the body while it arrives, when Response has the status and the headers.
	Read func(body io.Reader) error
	// Patience is how long nothing may arrive on a used connection until the request is sent again on a new one: a connection may be
	// open and silent for good. It is 0 for requests that may not be sent twice.
	Patience time.Duration
}

// errSilent means that nothing arrived on a used connection in time.
var errSilent = ErrInterrupted.New("nothing arrives on the connection")

// Receive makes a call. The bytes that Read takes from the body are reserved in Options.Memory until Read returns. The end of ctx
// interrupts the call. It returns ErrNotSent, ErrInterrupted, also for an error of Read, or ErrTooLarge.
//
// Connections that have been unused since before a call on which nothing arrived are closed, because they may be silent too.
func (c *Client) Receive(ctx context.Context, call Call) error {
	started := time.Now()
	maxIdle := maxIdleTime
	if call.Patience == 0 {
		maxIdle = maxUnprovenIdleTime
	}
	conn, err := c.connect(ctx, maxIdle)
	if err != nil {
		return err
	}
	err = c.receiveOn(ctx, conn, call)
	if err == nil || !conn.reused {
		return err
	}
	if errors.Is(err, errSilent) {
		c.dropIdle(started)
		if c.options.Replaced != nil {
			c.options.Replaced(c.address)
		}
		if conn, err = c.dial(ctx); err != nil {
			return err
		}
		return c.receiveOn(ctx, conn, call)
	}
	if ctx.Err() != nil {
		c.dropIdle(started)
	}
	return err
}

// receiveOn makes a call on a connection, which it keeps or closes.
func (c *Client) receiveOn(ctx context.Context, conn *connection, call Call) error {
	stop := interruptWith(ctx, conn)
	err := c.exchange(ctx, conn, call)
	if !stop() && err == nil {
		// The context ended after the response was read and has set a deadline in the past on the connection,
		// which can't be reused.
		_ = conn.Close()
		return nil
	}
	if err != nil {
		_ = conn.Close()
	}
	if err == errSilent {
		return err
	}
	if err != nil {
		return interruption(ctx, err).Wrap(preferContextCause(ctx, err), "%s %s on %s", call.Request.Header.Method(), call.Request.URI().Path(), c.address)
	}
	failed := c.options.CloseAfterErrors && call.Response.StatusCode() >= fasthttp.StatusBadRequest
	if call.Response.ConnectionClose() || call.Request.ConnectionClose() || conn.reader.Buffered() > 0 || failed {
		_ = conn.Close()
		return nil
	}
	c.release(conn)
	return nil
}

// exchange sends a request, and passes the body of the response to Read. It returns an error unless Read took the whole body.
func (c *Client) exchange(ctx context.Context, conn *connection, call Call) error {
	response := call.Response
	if err := send(ctx, conn, call.Request, response, call.Patience); err != nil {
		return err
	}
	var stream io.Reader = bytes.NewReader(nil)
	if response.BodyStream() != nil {
		stream = response.BodyStream()
	}
	if length := response.Header.ContentLength(); int64(length) > call.MaxBody {
		return errBodyTooLarge(call.MaxBody)
	}
	if response.Header.ContentLength() == identityBody {
		response.SetConnectionClose()
	}
	body := &boundedBody{ctx: ctx, stream: stream, left: call.MaxBody, max: call.MaxBody, reservation: c.options.Memory.Reserve()}
	defer body.reservation.Release()
	if err := call.Read(body); err != nil {
		return err
	}
	return body.end()
}

// awaitFirstByte waits for the first byte of a response for patience. It returns errSilent if none arrives.
func awaitFirstByte(ctx context.Context, conn *connection, patience time.Duration) error {
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	_, err := conn.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		return errSilent
	}
	if err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	// The end of ctx sets a deadline in the past, which may just have been overwritten.
	return ctx.Err()
}

// interruption returns the type of the error for a call that failed with err.
func interruption(ctx context.Context, err error) *errorx.Type {
	if ctx.Err() == nil && errorx.IsOfType(err, ErrTooLarge) {
		return ErrTooLarge
	}
	return ErrInterrupted
}
