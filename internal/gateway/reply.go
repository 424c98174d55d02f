package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// reply is a whole answer to a caller.
type reply struct {
	header fasthttp.ResponseHeader
	body   []byte
	// last tells that the connection ends after it.
	last bool
}

// own returns an answer of the gateway itself, without a server's signature.
func own(status int) *reply {
	r := &reply{}
	r.header.DisableNormalizing()
	r.header.SetNoDefaultContentType(true)
	r.header.SetStatusCode(status)
	return r
}

// refusal returns the answer to a request that has not run and will not, with the time to come back.
func refusal(after time.Duration) *reply {
	r := own(fasthttp.StatusServiceUnavailable)
	if after > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	return r
}

// answer writes a whole answer.
func (c *caller) answer(r *reply) error {
	r.header.SetContentLength(len(r.body))
	if err := c.begin(&r.header, r.last); err != nil {
		return err
	}
	if _, err := c.writer.Write(r.body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// begin writes a header into the buffer.
func (c *caller) begin(header *fasthttp.ResponseHeader, last bool) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if last {
		header.SetConnectionClose()
	}
	return header.Write(c.writer)
}
