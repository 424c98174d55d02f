package httpclient

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"
)

// Stream is a response whose body is still arriving. Its connection is never reused.
type Stream struct {
	// Response has the status and headers; its body must be read with Read.
	Response *fasthttp.Response

	ctx  context.Context
	conn *connection
	stop func() bool
}

// Read reads the next bytes of the body. It returns io.EOF at the end of the complete body and
// ErrInterrupted when the connection ends before that.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Response.BodyStream().Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, ErrInterrupted.Wrap(preferContextCause(s.ctx, err), "read the response body")
}

// Close closes the connection. A peer that is still sending gets a connection error.
func (s *Stream) Close() {
	s.stop()
	_ = s.conn.Close()
}
