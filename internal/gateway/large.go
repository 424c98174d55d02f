package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/dispatch"
)

// maxForwardedBody limits the size, in bytes, of a response body that is forwarded while it arrives. A server in
// trouble may send without end.
const maxForwardedBody = 64 << 20

// forwardLarge forwards a response whose body exceeds maxBufferedBody while the body arrives. start are the bytes that
// were already read, rest reads the others. No other server can complete the response once its header is sent, so
// that a body that breaks off ends the caller's connection. A response with a 5xx status isn't forwarded.
func (g *Gateway) forwardLarge(ctx context.Context, c *callerConn, r *request,
	header *fasthttp.ResponseHeader, start []byte, rest io.Reader, res *exchangeResult, started time.Time,
) {
	g.recordFirstByte(r, res, started)
	if res.status >= fasthttp.StatusInternalServerError {
		res.dispatchResult, res.err = dispatch.Failed, errBodyTooLarge
		return
	}
	length := header.ContentLength()
	if length < 0 {
		length = r.unknownLength()
	}
	out, err := c.startBody(g.protocol, header, length, r)
	if err == nil {
		err = copyBody(out, start, rest)
	}
	if err == nil {
		err = c.endBody(length)
	}
	var broken *bodyError
	switch {
	case err == nil:
		res.dispatchResult, res.complete = dispatch.Served, true
	case errors.As(err, &broken):
		res.breakOff(ctx, ErrBroken.Wrap(broken.err, "answer of server %s", r.placement.Server))
	default:
		res.callerFailed, res.err = true, ErrCallerDisconnected.Wrap(err, "write to the caller")
		res.dispatchResult = dispatch.Cancelled
	}
}

// startBody writes the response header to the caller, with the given content length, and returns the writer of its body.
func (c *callerConn) startBody(protocol Protocol, header *fasthttp.ResponseHeader, length int, r *request) (io.Writer, error) {
	var callerHeader fasthttp.ResponseHeader
	protocol.ForwardResponse(&callerHeader, header)
	callerHeader.SetContentLength(length)
	r.headerSent = true
	if err := c.writeHeader(&callerHeader, r.closeAfter); err != nil {
		return nil, err
	}
	return c.bodyWriter(length), nil
}

// bodyError is the error of a server's body, as opposed to one of the caller's connection.
type bodyError struct{ err error }

// Error implements error.
func (e *bodyError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

// copyBody writes start and then all of rest to out. It returns a bodyError when rest fails or is larger than
// maxForwardedBody, and otherwise the error of the caller's connection.
func copyBody(out io.Writer, start []byte, rest io.Reader) error {
	chunk := make([]byte, streamReadBytes)
	copied := 0
	for piece := start; ; {
		if len(piece) > 0 {
			if _, err := out.Write(piece); err != nil {
				return err
			}
		}
		if copied += len(piece); copied > maxForwardedBody {
			return &bodyError{ErrTooLarge.New("answer of more than %d bytes", maxForwardedBody)}
		}
		n, err := rest.Read(chunk)
		piece = chunk[:n]
		if errors.Is(err, io.EOF) {
			_, err = out.Write(piece)
			return err
		}
		if err != nil {
			return &bodyError{err}
		}
	}
}
