package httpclient

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"
)

// Stream is an answer whose body is still arriving. Its connection is never used again.
type Stream struct {
	// Response has the status and headers; its body must be read by Read.
	Response *fasthttp.Response

	ctx  context.Context
	conn *connection
	stop func() bool
}

// Read reads the next bytes of the body. It returns io.EOF at the proper end of the body and
// ErrInterrupted when the connection ends before it.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.Response.BodyStream().Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, ErrInterrupted.Wrap(cause(s.ctx, err), "read the answer")
}

// Close closes the connection; a peer that still sends sees a hang-up.
func (s *Stream) Close() {
	s.stop()
	_ = s.conn.Close()
}
