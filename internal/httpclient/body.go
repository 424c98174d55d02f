package httpclient

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httphead"
	"balsamyoke.example/balsamyoke/internal/membudget"
)

// identityBody is fasthttp's content length of a body with neither a length nor chunks.
const identityBody = -2

// send writes request and reads the header of response, whose body is then still to be read. It returns errSilent if nothing
// arrives for patience on a used connection, unless patience is 0.
func send(ctx context.Context, conn *connection, request *fasthttp.Request, response *fasthttp.Response, patience time.Duration) error {
	writer := bufio.NewWriterSize(conn.counted, bufferBytes)
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	if conn.reused && patience > 0 {
		if err := awaitFirstByte(ctx, conn, patience); err != nil {
			return err
		}
	}
	response.SkipBody = request.Header.IsHead()
	response.StreamBody = true
	return readHead(conn.reader, response)
}

// maxInterimResponses bounds the interim responses (1xx) before the final one.
const maxInterimResponses = 100

// readHead reads the head of the final response. response then streams the body.
func readHead(reader *bufio.Reader, response *fasthttp.Response) error {
	for range maxInterimResponses + 1 {
		status, err := httphead.CheckResponse(reader)
		if err != nil {
			return err
		}
		if status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return response.ReadLimitBody(reader, 0)
		}
		if err := response.Header.Read(reader); err != nil {
			return err
		}
	}
	return ErrInterrupted.New("more than %d interim responses", maxInterimResponses)
}

// boundedBody is a response body of at most max bytes. What was read from it stays reserved until the reservation is released.
type boundedBody struct {
	ctx         context.Context
	stream      io.Reader
	left, max   int64
	reservation *membudget.Reservation
	ended       bool
}

// Read implements io.Reader. It returns ErrTooLarge for a body of more than max bytes, or that doesn't fit in the memory for
// bodies.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	// One byte more than the limit shows that the body exceeds it.
	p = p[:min(int64(len(p)), b.left+1, bufferBytes)]
	n, err := b.stream.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge(b.max)
	}
	b.ended = err == io.EOF
	if growErr := b.reservation.Grow(b.ctx, int64(n)); growErr != nil {
		return 0, ErrTooLarge.Wrap(growErr, "response body")
	}
	return n, err
}

// end returns an error if the body goes on.
func (b *boundedBody) end() error {
	var rest [1]byte
	for {
		n, err := b.Read(rest[:])
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case n > 0:
			return ErrInterrupted.New("response body goes on after its content")
		}
	}
}

// wholeBody returns a function that reads a body into response.
func wholeBody(response *fasthttp.Response) func(io.Reader) error {
	return func(body io.Reader) error {
		content, err := io.ReadAll(body)
		if err != nil {
			return err
		}
		response.SetBodyRaw(content)
		return nil
	}
}

func errBodyTooLarge(limit int64) error {
	return ErrTooLarge.New("response body of more than %d bytes", limit)
}
