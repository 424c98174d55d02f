package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/dispatch"
)

// eventStreamType is the media type of server-sent events.
var eventStreamType = []byte("text/event-stream")

// isEventStream reports whether a response's body is a stream of events. A response without a Content-Type is taken for one.
func isEventStream(header *fasthttp.ResponseHeader) bool {
	mediaType, _, _ := bytes.Cut(header.ContentType(), []byte(";"))
	mediaType = bytes.TrimSpace(mediaType)
	return len(mediaType) == 0 || bytes.EqualFold(mediaType, eventStreamType)
}

// isContinuation reports whether a response may hold the rest of a stream whose start the caller has.
func isContinuation(header *fasthttp.ResponseHeader) bool {
	return header.StatusCode() == fasthttp.StatusOK && isEventStream(header)
}

// rejectContinuation records a response to the request for the rest of a stream that holds something else. Its body, which
// may have no end, isn't read.
func (g *Gateway) rejectContinuation(r *request, header *fasthttp.ResponseHeader, res *exchangeResult, started time.Time) {
	g.recordFirstByte(r, res, started)
	res.dispatchResult = dispatch.Failed
	res.err = ErrBroken.New("server %s answers %d with content type %q to the rest of a stream",
		r.placement.Server, res.status, header.ContentType())
}
