package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/membudget"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// maxBufferedBody is the size, in bytes, up to which a response body that isn't a stream is read completely before
// anything is sent to the caller, so that another server can still respond when it breaks off.
const maxBufferedBody = 256 << 10

// exchangeResult is the result of sending a request to one server.
type exchangeResult struct {
	dispatchResult dispatch.Result
	// maybeSent is set when the request may have reached the server, maybeRan when the server may have run it.
	maybeSent bool
	maybeRan  bool
	// gotFirstByte is set when the server started to respond, firstByteAfter is the time from the receipt of the
	// request until then.
	gotFirstByte   bool
	firstByteAfter time.Duration
	// complete is set when the caller got a complete response.
	complete bool
	// callerFailed is set when the response could not be written to the caller.
	callerFailed bool
	// resp is the server's response if it was not forwarded yet; nil otherwise.
	resp   *response
	status int
	// framing is empty without a response, partialEvent is the size in bytes of the incomplete event at the end of a
	// stream.
	framing      framing
	partialEvent int
	err          error
}

// exchange sends the request to the server that it is placed on and forwards the response.
func (g *Gateway) exchange(ctx context.Context, c *callerConn, r *request) exchangeResult {
	started := time.Now()
	sc, err := g.pool.get(ctx, r.placement.Server, r.placement.Address, r.call.ID, !r.route.Retryable())
	if err != nil {
		return unreachable(ctx, err, false)
	}
	if g.fleet.IsEvacuated(r.placement.FailureDomain) {
		// The evacuation came while the connection was being opened. The next server isn't one more that didn't run the request.
		r.sends--
		g.pool.putUnused(sc)
		return exchangeResult{dispatchResult: dispatch.Cancelled, err: ErrNotSent.New("the failure domain of server %s is evacuated", r.placement.Server)}
	}
	stop := context.AfterFunc(ctx, func() { _ = sc.Close() })
	defer stop()
	header := &fasthttp.RequestHeader{}
	g.protocol.ForwardRequest(header, &r.header, g.newDispatch(r))
	if len(r.body) > 0 || !bodyless(&r.header) {
		header.Add("Content-Length", itoa(len(r.body)))
	}
	if by := r.placement.SendBy; !by.IsZero() && !bootclock.Now().Before(by) {
		// Nothing was sent, so that the request can go to another server.
		if stop() {
			g.pool.put(sc)
		}
		return exchangeResult{dispatchResult: dispatch.Cancelled, err: ErrNotSent.New("grant for cold server %s has expired", r.placement.Server)}
	}
	if !g.fleet.MaySend(r.placement) {
		// As for an evacuation, the next server isn't one more that didn't run the request.
		r.sends--
		if stop() {
			g.pool.putUnused(sc)
		}
		return exchangeResult{dispatchResult: dispatch.Cancelled, err: ErrNotSent.New("server %s has become cold, or its run isn't confirmed any more", r.placement.Server)}
	}
	if err := sc.send(header, r.body); err != nil {
		_ = sc.Close()
		return unreachable(ctx, err, !isNotSent(err))
	}
	responseHeader, meta, err := sc.readHeader(g.protocol, r.call.ID)
	g.recordSkipped(r, sc.skipped)
	if err != nil {
		_ = sc.Close()
		return unreachable(ctx, err, true)
	}
	g.recordServerReport(r, &meta, meta.NotRun && responseHeader.StatusCode() == fasthttp.StatusMisdirectedRequest)
	res := g.forwardResponse(ctx, c, r, sc, responseHeader, &meta, started)
	if res.err == nil && stop() {
		g.pool.put(sc)
	} else {
		_ = sc.Close()
	}
	return res
}

// bodyless reports whether requests of this method usually have no body.
func bodyless(h *fasthttp.RequestHeader) bool { return h.IsGet() || h.IsHead() || h.IsDelete() }

// unreachable returns the result of a request that got no complete response. maybeSent reports whether the
// request may have reached the server.
func unreachable(ctx context.Context, err error, maybeSent bool) exchangeResult {
	res := exchangeResult{dispatchResult: dispatch.Unreachable, maybeSent: maybeSent, maybeRan: maybeSent, err: err}
	if ctx.Err() != nil {
		res.dispatchResult = dispatch.Cancelled
	}
	return res
}

// isClosedByServer reports whether err means that the server has closed its end of the connection. After other errors, such as data that
// isn't acknowledged, the server may be out of reach and go on with the request.
func isClosedByServer(err error) bool {
	for err != nil {
		for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
			if errors.Is(err, closed) {
				return true
			}
		}
		// errors.Is doesn't look into errors that were wrapped in another type.
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return false
		}
		err = wrapped.Cause()
	}
	return false
}

// breakOff records that the response ended early. What is known of its beginning is kept.
func (res *exchangeResult) breakOff(ctx context.Context, err error) {
	res.dispatchResult = dispatch.Unreachable
	if ctx.Err() != nil {
		res.dispatchResult = dispatch.Cancelled
	}
	res.maybeSent, res.maybeRan, res.err = true, true, err
}

// recordSkipped logs the responses that were skipped before the one to a request.
func (g *Gateway) recordSkipped(r *request, skipped skippedResponses) {
	if skipped.total == 0 {
		return
	}
	g.counters.skipped.Inc(int64(skipped.total))
	g.recordDecision(warn, EventResponseSkipped, r.call.ID, zap.String("server", r.placement.Server),
		zap.Int("responses", skipped.total), zap.Int("without_id", skipped.withoutID), zap.Int("not_run", skipped.notRun))
}

// recordServerReport hands what a response states about its server to the fleet state.
func (g *Gateway) recordServerReport(r *request, meta *ResponseMeta, misdirected bool) {
	if meta.Malformed != "" {
		g.counters.recordMalformedHeader(meta.Malformed)
		g.malformedHeaders.Do(func() {
			g.log.Warn(EventMalformedHeader, zap.String("server", r.placement.Server), zap.String("header", meta.Malformed))
		})
	}
	report := dispatch.ServerReport{
		Model: r.call.Model, Version: meta.Version, Leaving: meta.Leaving, RetryAfter: meta.RetryAfter,
		Limit: meta.Limit, HasLimit: meta.HasLimit, SentAt: r.sentAt,
		Misdirected: misdirected,
		ColdFor:     meta.ColdFor, HasCold: meta.HasCold, ColdUnreadable: meta.ColdUnreadable,
	}
	if meta.HasLoad {
		report.Load = &meta.Load
	}
	g.fleet.RecordServerReport(r.placement.Server, report)
}

// forwardResponse reads a response and forwards it to the caller when it is the final one.
func (g *Gateway) forwardResponse(ctx context.Context, c *callerConn, r *request, sc *serverConn,
	header *fasthttp.ResponseHeader, meta *ResponseMeta, started time.Time,
) exchangeResult {
	status := header.StatusCode()
	res := exchangeResult{maybeSent: true, maybeRan: !meta.NotRun, status: status, framing: sc.framing(header)}
	success := status >= 200 && status < 300
	switch {
	case meta.NotRun:
		res.dispatchResult = dispatch.Refused
		if status == fasthttp.StatusMisdirectedRequest {
			res.dispatchResult = dispatch.Misdirected
		}
		res.err = sc.skipBody(header)
		return res
	case success && (!meta.Signed || meta.Encoded):
		res.dispatchResult = dispatch.Failed
		res.err = ErrBroken.New("answer of server %s isn't signed", r.placement.Server)
		return res
	case r.headerSent && !isContinuation(header):
		g.rejectContinuation(r, header, &res, started)
		return res
	case success && r.route.Kind == routing.Streaming && res.framing != framedEmpty && isEventStream(header):
		g.forwardStream(ctx, c, r, sc, header, &res, started)
		return res
	}
	g.forwardBuffered(ctx, c, r, sc, header, &res, started)
	return res
}

// forwardBuffered reads a response completely and forwards it. A response with a 5xx status is kept in res
// instead, because another server may complete the request successfully.
func (g *Gateway) forwardBuffered(ctx context.Context, c *callerConn, r *request, sc *serverConn,
	header *fasthttp.ResponseHeader, res *exchangeResult, started time.Time,
) {
	reader := sc.body(header)
	held := g.memory.responses.Reserve()
	defer held.Release()
	body, err := readBuffered(reader, held)
	if errors.Is(err, errBodyTooLarge) {
		g.forwardLarge(ctx, c, r, header, body, reader, res, started)
		return
	}
	if err != nil {
		res.breakOff(ctx, ErrBroken.Wrap(err, "answer of server %s", r.placement.Server))
		return
	}
	g.recordFirstByte(r, res, started)
	res.dispatchResult = dispatch.Served
	resp := &response{body: body, length: len(body), closeAfter: r.closeAfter}
	g.protocol.ForwardResponse(&resp.header, header)
	if sc.head {
		resp.length = max(chunkedLength, header.ContentLength())
	}
	if res.status >= fasthttp.StatusInternalServerError {
		res.dispatchResult = dispatch.Failed
		res.resp = resp
		return
	}
	if err := c.writeResponse(resp); err != nil {
		res.callerFailed = true
		return
	}
	res.complete = true
}

func (g *Gateway) recordFirstByte(r *request, res *exchangeResult, started time.Time) {
	res.gotFirstByte = true
	res.firstByteAfter = time.Since(r.receivedAt)
	g.fleet.RecordFirstByte(r.placement, time.Since(started))
}

// errBodyTooLarge means that a response body exceeds maxBufferedBody, or the memory for responses.
var errBodyTooLarge = ErrTooLarge.New("answer too large to be buffered")

// readBuffered reads a complete body into memory that it reserves. If it has more than maxBufferedBody bytes, or there is no
// memory, it returns the first of them and errBodyTooLarge.
func readBuffered(body io.Reader, held *membudget.Reservation) ([]byte, error) {
	read := make([]byte, 0, streamReadBytes)
	for {
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
		if len(read) < cap(read) {
			continue
		}
		// One byte more than the limit shows that the body exceeds it.
		size := min(2*cap(read), maxBufferedBody+1)
		if len(read) > maxBufferedBody || size > unbudgetedResponse && !held.TryGrow(int64(size-cap(read))) {
			return read, errBodyTooLarge
		}
		read = append(make([]byte, 0, size), read...)
	}
}

// forwardStream forwards each event when it has arrived completely.
func (g *Gateway) forwardStream(ctx context.Context, c *callerConn, r *request, sc *serverConn,
	header *fasthttp.ResponseHeader, res *exchangeResult, started time.Time,
) {
	reader := newEventReader(sc.body(header))
	reader.held = g.memory.responses.Reserve()
	defer reader.held.Release()
	out := &streamWriter{callerConn: c, length: r.unknownLength()}
	r.events.StartRun()
	for {
		events, err := reader.next()
		if len(events) > 0 {
			if !res.gotFirstByte {
				g.recordFirstByte(r, res, started)
			}
			if !g.forwardEvents(ctx, c, r, header, out, events, res) {
				return
			}
		}
		res.partialEvent = reader.partial()
		if errors.Is(err, io.EOF) && res.framing == framedClose && !r.events.Advanced() {
			// A generation has at least one event, and a close alone doesn't show that it, or the rest of it, ended.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			g.endStream(c, r, header, out, res)
			return
		}
		if err != nil {
			res.breakOff(ctx, ErrBroken.Wrap(err, "stream of server %s", r.placement.Server))
			return
		}
	}
}

// forwardEvents writes those of the events to the caller that it gets next, after the header if that wasn't sent yet. It
// reports whether the stream goes on, and otherwise completes res.
func (g *Gateway) forwardEvents(ctx context.Context, c *callerConn, r *request, header *fasthttp.ResponseHeader, out *streamWriter, events []byte, res *exchangeResult) bool {
	next, err := r.events.Admit(events)
	if werr := g.writeEvents(ctx, c, r, header, out, next); werr != nil {
		res.callerFailed, res.err = true, ErrCallerDisconnected.Wrap(werr, "write to the caller")
		res.dispatchResult = dispatch.Cancelled
		return false
	}
	if err != nil {
		res.dispatchResult, res.err = dispatch.Failed, ErrBroken.Wrap(err, "stream of server %s", r.placement.Server)
		return false
	}
	return true
}

func (g *Gateway) writeEvents(ctx context.Context, c *callerConn, r *request, header *fasthttp.ResponseHeader, out *streamWriter, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	g.shareOrigin(ctx, r)
	if err := g.startStream(c, r, header); err != nil {
		return err
	}
	return out.write(events)
}

func (g *Gateway) startStream(c *callerConn, r *request, header *fasthttp.ResponseHeader) error {
	if r.headerSent {
		return nil
	}
	var callerHeader fasthttp.ResponseHeader
	g.protocol.ForwardResponse(&callerHeader, header)
	callerHeader.SetContentLength(r.unknownLength())
	r.headerSent, r.streamBegun = true, true
	return c.writeHeader(&callerHeader, r.closeAfter)
}

// endStream writes the end of a complete stream to the caller.
func (g *Gateway) endStream(c *callerConn, r *request, header *fasthttp.ResponseHeader, out *streamWriter, res *exchangeResult) {
	if !res.gotFirstByte {
		res.gotFirstByte, res.firstByteAfter = true, time.Since(r.receivedAt)
	}
	if err := r.events.End(); err != nil {
		res.dispatchResult, res.err = dispatch.Failed, ErrBroken.Wrap(err, "stream of server %s", r.placement.Server)
		return
	}
	res.dispatchResult = dispatch.Served
	err := g.startStream(c, r, header)
	if err == nil {
		err = out.end()
	}
	if err != nil {
		res.callerFailed, res.err = true, ErrCallerDisconnected.Wrap(err, "write to the caller")
		return
	}
	res.complete = true
}
