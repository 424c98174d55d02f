package gateway

import (
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

// chunkedLength is fasthttp's content length of a body in chunks.
const chunkedLength = -1

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
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if closeAfter {
		header.SetConnectionClose()
	}
	return header.Write(c.writer)
}
