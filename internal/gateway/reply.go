package gateway

import (
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// response is a complete response to a caller.
type response struct {
	header fasthttp.ResponseHeader
	body   []byte
	// length is the length that the header states. It differs from that of body in the response to a HEAD request, and
	// is chunkedLength when that response's server states none.
	length int
	// closeAfter is set when the connection closes after the response.
	closeAfter bool
}

// gatewayResponse returns a response of the gateway itself, which has no server's signature.
func gatewayResponse(status int) *response {
	r := &response{}
	r.header.DisableNormalizing()
	r.header.SetNoDefaultContentType(true)
	r.header.SetStatusCode(status)
	return r
}

// refusalResponse returns the 503 for a request that has not run and will not run. Its Retry-After header is
// retryAfter in seconds; there is none when retryAfter isn't positive.
func refusalResponse(retryAfter time.Duration) *response {
	r := gatewayResponse(fasthttp.StatusServiceUnavailable)
	if retryAfter > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	return r
}

// Values of fasthttp's content length for a body of unknown length, which is sent in chunks or ends with the connection.
const (
	chunkedLength  = -1
	identityLength = -2
)

// unknownLength returns the content length for a body of unknown length.
func (in *incoming) unknownLength() int {
	if in.takesChunks {
		return chunkedLength
	}
	return identityLength
}

// bodyWriter returns the writer of a body whose header states the given content length.
func (c *callerConn) bodyWriter(length int) io.Writer {
	if length == chunkedLength {
		return httputil.NewChunkedWriter(c.writer)
	}
	return c.writer
}

// endBody ends and flushes a body whose header states the given content length.
func (c *callerConn) endBody(length int) error {
	if length == chunkedLength {
		if _, err := c.writer.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	return c.writer.Flush()
}

// resetOnClose makes the close of the connection a reset, which shows that a body without chunks or a length is incomplete.
func (c *callerConn) resetOnClose() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}

// writeResponse writes a complete response.
func (c *callerConn) writeResponse(r *response) error {
	r.header.SetContentLength(r.length)
	if err := c.writeHeader(&r.header, r.closeAfter); err != nil {
		return err
	}
	if _, err := c.writer.Write(r.body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// writeHeader writes a response header into the write buffer. With closeAfter it announces that the connection
// closes after the response.
func (c *callerConn) writeHeader(header *fasthttp.ResponseHeader, closeAfter bool) error {
	if closeAfter {
		header.SetConnectionClose()
	}
	return header.Write(c.writer)
}
