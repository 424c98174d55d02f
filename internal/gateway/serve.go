package gateway

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/eventstream"
	"balsamyoke.example/balsamyoke/internal/origin"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// maxSends bounds the number of servers that a request is sent to when none of them runs it.
	maxSends = 4
	// deniedRetryAfter is the Retry-After for requests refused because this gateway has no configuration or a
	// stale one, and for those that were never sent before their deadline.
	deniedRetryAfter = 500 * time.Millisecond
	// noPriority means that no priority is sent, so the server's own default applies.
	noPriority = -1
)

// request is the state of one admitted request.
type request struct {
	*incoming
	call         Call
	route        *routing.Route
	service      string
	organisation string
	priority     int
	deadline     time.Time
	placeRequest dispatch.Request
	// sends counts the servers that the request was sent to, runs those that may have run it.
	sends int
	runs  int
	// placement is the one of the latest attempt, sentAt the time from which it was sent.
	placement dispatch.Placement
	sentAt    time.Time
	// parts are what the request may have in common with others; nil until identify.
	parts []quarantine.Part
	// events are those that the caller has received, in this or an earlier request.
	events eventstream.Sequence
	// stream is the id of the request that brought the stream's first event, and origin where it began. They are valid when
	// the caller has an event.
	stream string
	origin origin.Origin
	// originShared is set when the gateways that keep the origin have it from this request.
	originShared bool
	// headerSent is set when the header of a response is written to the caller before its whole body has been read,
	// streamBegun when that is the header of a stream of events.
	headerSent  bool
	streamBegun bool
}

// serve responds to one request and reports whether the connection stays open.
func (g *Gateway) serve(ctx context.Context, c *callerConn, in *incoming) bool {
	in.closeAfter = in.closeAfter || g.draining.Load()
	r, denial := g.admit(in)
	if denial != nil {
		denial.closeAfter = in.closeAfter
		return c.writeResponse(denial) == nil && !in.closeAfter
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	if refusal := g.resumeStream(ctx, r); refusal != nil {
		refusal.closeAfter = in.closeAfter
		return c.writeResponse(refusal) == nil && !in.closeAfter
	}
	g.fleet.CountRequest(r.service)
	c.out.setRequest(r.call.ID)
	complete := g.runAttempts(ctx, c, r)
	return complete && !in.closeAfter
}

// admit finds the route and the organisation of a request. It returns the response to send instead when the
// request is denied.
func (g *Gateway) admit(in *incoming) (*request, *response) {
	call, err := g.protocol.ReadCall(&in.header)
	if err != nil {
		return nil, g.deny(in, "", fasthttp.StatusBadRequest, "malformed_headers")
	}
	table := g.fleet.Table()
	if table == nil {
		g.recordRefusal(in, call.ID, "no_configuration")
		return nil, refusalResponse(deniedRetryAfter)
	}
	path, _, _ := bytes.Cut(in.header.RequestURI(), []byte("?"))
	route := table.Match(string(in.header.Host()), string(path))
	if route == nil {
		return nil, g.denyUnknown(in, call.ID, fasthttp.StatusNotFound, "unknown_route")
	}
	r := &request{incoming: in, call: call, route: route, priority: route.Priority}
	if table.KeysRequired() && !route.Public {
		organisation := table.Organisation(call.APIKey)
		if organisation == nil {
			return nil, g.denyUnknown(in, call.ID, fasthttp.StatusUnauthorized, "unknown_key")
		}
		r.organisation = organisation.Name
		if organisation.HasPriority {
			r.priority = organisation.Priority
		}
	}
	r.service = route.ChooseService(rand.Float64())
	r.deadline = in.receivedAt.Add(waitLimit(&call, route))
	r.placeRequest = newPlaceRequest(&call, route, r.service, r.priority)
	r.placeRequest.Bytes = len(in.header.RequestURI()) + len(in.header.RawHeaders()) + len(in.body)
	if call.Model == "" {
		r.priority = noPriority
	}
	if route.Resumable {
		r.events = eventstream.NewSequence(string(in.header.Peek("Last-Event-Id")))
	}
	return r, nil
}

// newPlaceRequest returns what the placement of a call to a service of the route depends on.
func newPlaceRequest(call *Call, route *routing.Route, service string, priority int) dispatch.Request {
	p := dispatch.Request{Service: service, TargetLatency: route.TargetLatency, Timeout: route.Timeout, Priority: priority}
	if call.Model != "" {
		p.Model, p.Parts = call.Model, call.Parts
		p.PromptTokens, p.OutputTokens = call.PromptTokens, call.OutputTokens
	}
	return p
}

// waitLimit returns the maximum time to the end of a request: the shorter of the caller's limit and the route's
// timeout, or defaultTimeout when neither is set.
func waitLimit(call *Call, route *routing.Route) time.Duration {
	limit := route.Timeout
	if call.MaxWait > 0 && (limit <= 0 || call.MaxWait < limit) {
		limit = call.MaxWait
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// defaultTimeout bounds requests for which neither the caller nor the route sets a limit.
const defaultTimeout = 30 * time.Second

// denyUnknown returns the response to a request whose key or route isn't in the configuration: a denial with
// status, or a 503 with Retry-After when the configuration may be stale.
func (g *Gateway) denyUnknown(in *incoming, id string, status int, reason string) *response {
	if !g.fleet.IsConfigurationConfirmed() {
		g.recordRefusal(in, id, reason, zap.Duration("configuration_age", g.fleet.ConfigurationAge()))
		return refusalResponse(deniedRetryAfter)
	}
	return g.deny(in, id, status, reason)
}

func (g *Gateway) deny(in *incoming, id string, status int, reason string) *response {
	g.counters.recordRefusal(reason)
	g.recordDecision(warn, EventDenied, id, zapStatus(status), zap.String("reason", reason),
		zap.String("path", clip(in.header.RequestURI())), zap.Int64("configuration", g.configVersion()),
		zap.Duration("configuration_age", g.fleet.ConfigurationAge()))
	return gatewayResponse(status)
}

func (g *Gateway) recordRefusal(in *incoming, id, reason string, more ...zap.Field) {
	g.counters.recordRefusal(reason)
	g.recordDecision(warn, EventRefused, id,
		append([]zap.Field{zap.String("reason", reason), zap.Int64("configuration", g.configVersion())}, more...)...)
}

func (g *Gateway) configVersion() int64 {
	if table := g.fleet.Table(); table != nil {
		return table.Version
	}
	return 0
}

// runAttempts sends the request to one server after the other until one serves it or it may not be retried.
// It reports whether the caller got a complete response, a server's or the gateway's own.
func (g *Gateway) runAttempts(ctx context.Context, c *callerConn, r *request) bool {
	for {
		r.placeRequest.TimeLeft, r.placeRequest.Waited = time.Until(r.deadline), time.Since(r.receivedAt)
		// An earlier attempt may have been placed under another configuration.
		r.placeRequest.CacheBoundary = g.fleet.CacheBoundary(r.organisation)
		if r.call.Model != "" || !g.fleet.IsQuarantineIdle() {
			r.identify()
		}
		placement, refusal := g.fleet.Place(ctx, &r.placeRequest, r.parts)
		if refusal != nil {
			return g.respondUnplaced(c, r, refusal, nil)
		}
		r.placement, r.sentAt = placement, bootclock.Now()
		r.sends++
		res := g.exchange(ctx, c, r)
		g.fleet.RecordEnd(placement, res.dispatchResult, res.gotFirstByte, r.served(&res))
		switch {
		case !res.maybeSent:
			g.fleet.RecordNotSent(placement)
		case isClosedByServer(res.err):
			g.fleet.RecordClosedByServer(placement)
		}
		r.placeRequest.Tried = append(r.placeRequest.Tried, placement.Server)
		if res.maybeRan {
			r.runs++
		}
		if res.complete {
			g.recordServed(r, &res)
			return true
		}
		if res.maybeSent && res.dispatchResult == dispatch.Unreachable {
			g.crashes.observe(placement.Server, placement.Address, r.sent())
		}
		if errorx.IsOfType(res.err, ErrConnRefused) {
			g.crashes.observeRefused(placement.Server)
		}
		if ctx.Err() != nil || res.callerFailed {
			return g.respondInterrupted(ctx, c, r, &res)
		}
		if !g.mayRetry(r, &res) {
			return g.respondFailed(c, r, &res)
		}
		if res.maybeSent && !g.fleet.TakeRetry(r.service) {
			return g.respondUnplaced(c, r, g.fleet.Refuse(r.service, dispatch.NoRetryBudget), &res)
		}
		g.counters.retries.Inc(1)
		g.recordDecision(info, EventRetry, r.call.ID, zap.String("server", placement.Server),
			zap.Int("sends", r.sends), zap.Bool("ran", res.maybeRan), zap.Int("status", res.status), res.framingField(), r.partsField(), eventlog.Error(res.err))
	}
}

// mayRetry reports whether the request may be sent to another server.
//
// Invariant: a request on a route that isn't retryable is sent again only when no server can have run it.
func (g *Gateway) mayRetry(r *request, res *exchangeResult) bool {
	if r.runs == 0 {
		return r.sends < maxSends
	}
	if r.headerSent && !(r.streamBegun && r.events.Resumable()) {
		return false
	}
	if !r.route.Retryable() || r.runs >= r.route.MaxAttempts || r.sends >= maxSends {
		return false
	}
	return res.dispatchResult == dispatch.Unreachable || res.dispatchResult == dispatch.Failed || !res.maybeRan
}

// respondUnplaced responds to a request for which no server was found or whose retry exceeds the retry budget.
// previous is the result at the last server; nil when there is none.
func (g *Gateway) respondUnplaced(c *callerConn, r *request, refusal *dispatch.Refusal, previous *exchangeResult) bool {
	if previous != nil && previous.resp != nil || r.runs > 0 || r.headerSent {
		if previous == nil {
			previous = &exchangeResult{}
		}
		return g.respondFailed(c, r, previous)
	}
	g.recordRefusal(r.incoming, r.call.ID, string(refusal.Reason), zap.String("route", r.route.Name), zap.Int("sends", r.sends),
		zap.Strings("tried", r.placeRequest.Tried), zap.Duration("retry_after", refusal.RetryAfter),
		zap.String("best", refusal.Server), zap.Duration("predicted", refusal.PredictedTTFT), zap.Duration("wait", refusal.Wait),
		zap.Int("ahead", refusal.WaitingTokens), zap.Int("ahead_others", refusal.PeerWaitingTokens), zap.Int("ahead_unseen", refusal.UnseenTokens),
		zap.Int("held", refusal.ReservedTokens), zap.Int("held_others", refusal.PeerReservedTokens), zap.Float64("slowness", refusal.Slowness),
		zap.Duration("left", time.Until(r.deadline)), speedField(refusal.SpeedStated, refusal.Speed, refusal.SpeedAge),
		zap.String("part", refusal.Part), zap.Int("priority", r.placeRequest.Priority), shedField(refusal.Shed))
	g.counters.recordShed(refusal.Shed)
	resp := refusalResponse(refusal.RetryAfter)
	resp.closeAfter = r.closeAfter
	return c.writeResponse(resp) == nil
}

// respondFailed responds to a request that is sent to no further server. It returns the last server's own response
// if there is one, a 502 when a server may have run the request, and otherwise a 503 with Retry-After.
func (g *Gateway) respondFailed(c *callerConn, r *request, res *exchangeResult) bool {
	if r.headerSent {
		return g.breakOff(c, r, res)
	}
	resp := res.resp
	switch {
	case resp != nil:
	case r.runs > 0:
		resp = gatewayResponse(fasthttp.StatusBadGateway)
	default:
		resp = refusalResponse(g.fleet.Refuse(r.service, dispatch.AttemptsExhausted).RetryAfter)
	}
	g.recordFailed(r, res, resp.header.StatusCode())
	resp.closeAfter = r.closeAfter
	return c.writeResponse(resp) == nil
}

// respondInterrupted ends a request whose deadline has passed or whose caller has disconnected. At the deadline it
// returns 504, or 503 with Retry-After when no server can have run the request and the last one received no byte.
func (g *Gateway) respondInterrupted(ctx context.Context, c *callerConn, r *request, res *exchangeResult) bool {
	if res.callerFailed || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		g.counters.cancelled.Inc(1)
		g.recordDecision(info, EventCancelled, r.call.ID, zap.String("server", r.placement.Server),
			zap.Duration("after", time.Since(r.receivedAt)), zap.Bool("begun", r.headerSent))
		if r.headerSent {
			g.showIncomplete(c, r)
		}
		return false
	}
	if r.headerSent {
		return g.breakOff(c, r, res)
	}
	resp := gatewayResponse(fasthttp.StatusGatewayTimeout)
	if r.runs == 0 && !res.maybeSent {
		resp = refusalResponse(deniedRetryAfter)
	}
	g.recordFailed(r, res, resp.header.StatusCode())
	resp.closeAfter = r.closeAfter
	return c.writeResponse(resp) == nil
}

// breakOff ends a response whose start the caller has. The close of its connection shows that the response is incomplete.
func (g *Gateway) breakOff(c *callerConn, r *request, res *exchangeResult) (keepOpen bool) {
	g.recordBrokenOff(r, res)
	g.showIncomplete(c, r)
	return false
}

// showIncomplete makes the close of the connection show that the response, whose start the caller has, is incomplete.
func (g *Gateway) showIncomplete(c *callerConn, r *request) {
	if r.takesChunks {
		return
	}
	if err := c.resetOnClose(); err != nil {
		g.log.Warn(EventResetFailed, zap.String("request", r.call.ID), eventlog.Error(err))
	}
}

func (g *Gateway) recordServed(r *request, res *exchangeResult) {
	took := time.Since(r.receivedAt)
	g.counters.recordServed(r, res, took)
	g.recordDecision(info, EventServed, r.call.ID, append(g.placementFields(r),
		zap.Int("status", res.status), zap.Duration("first_byte", res.firstByteAfter), zap.Duration("took", took),
		zap.Int("sends", r.sends), res.framingField(), zap.Int("partial_event", res.partialEvent))...)
}

func (g *Gateway) recordFailed(r *request, res *exchangeResult, status int) {
	g.counters.recordFailed(r, status)
	g.recordDecision(warn, EventFailed, r.call.ID, append(g.placementFields(r),
		zapStatus(status), zap.Int("server_status", res.status), zap.Int("sends", r.sends), zap.Int("runs", r.runs), zap.Duration("took", time.Since(r.receivedAt)),
		res.framingField(), r.partsField(), eventlog.Error(res.err))...)
}

func (g *Gateway) recordBrokenOff(r *request, res *exchangeResult) {
	g.counters.brokenOff.Inc(1)
	g.recordDecision(warn, EventBrokenOff, r.call.ID, append(g.placementFields(r),
		zap.String("last_event", r.events.LastEventID()), zap.Int("sends", r.sends), zap.Int("runs", r.runs), zap.Duration("took", time.Since(r.receivedAt)),
		res.framingField(), zap.Int("partial_event", res.partialEvent), r.partsField(), eventlog.Error(res.err))...)
}

// speedField returns the log fields of the factor by which a server's stated speed multiplied a prediction and of the age of the
// statement. It adds nothing without a statement.
func speedField(stated bool, factor float64, age time.Duration) zap.Field {
	if !stated {
		return zap.Skip()
	}
	return zap.Inline(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddFloat64("speed", factor)
		e.AddDuration("speed_age", age)
		return nil
	}))
}

// shedField returns the log field of a decision of load shedding and its inputs; no field for nil.
func shedField(shed *dispatch.Shed) zap.Field {
	if shed == nil {
		return zap.Skip()
	}
	return zap.Dict("shedding", zap.String("cause", string(shed.Decision.Cause)), zap.Duration("over", shed.Decision.Over),
		zap.Duration("limit", shed.Decision.Limit), zap.Duration("waited", shed.Request.Waited), zap.Bool("repeated", shed.Request.Repeats()),
		zap.Bool("behind_priority", shed.Server.IsPlain && shed.Service.IsBehind(shed.Request)),
		zap.Duration("target", shed.Request.Target), zap.Duration("shortest_target", shed.Service.ShortestTarget),
		zap.Int("top_priority", shed.Service.TopPriority), zap.Float64("memory_left_free", shed.Service.Reserve(shed.Request)),
		zap.Duration("memory_wait", shed.Server.MemoryWait))
}

// placementFields returns the log fields of the latest placement of a request.
func (g *Gateway) placementFields(r *request) []zap.Field {
	fields := []zap.Field{
		zap.String("route", r.route.Name), zap.String("server", r.placement.Server),
		zap.Duration("predicted", r.placement.PredictedTTFB), zap.Int("candidates", r.placement.Candidates),
		zap.Int64("configuration", g.configVersion()),
		speedField(r.placement.SpeedStated, r.placement.Speed, r.placement.SpeedAge),
	}
	if p := r.placement.Plan; p != nil {
		fields = append(fields, zap.Int64("weights", r.placement.Version), zap.Duration("weights_due_in", r.placement.WeightsDueIn),
			zap.Int("fetched", p.FetchTokens), zap.Int("read", p.PrefillTokens),
			zap.String("gap", string(p.Gap)), zap.Int("gap_tokens", p.GapTokens),
			zap.Strings("from", nonEmpty(p.Fetch)), zap.Strings("to", nonEmpty(p.Save)))
	}
	return fields
}

// nonEmpty returns the addresses that are not empty strings.
func nonEmpty(addresses []string) []string {
	var kept []string
	for _, address := range addresses {
		if address != "" {
			kept = append(kept, address)
		}
	}
	return kept
}

// newDispatch returns the values that the gateway adds to the request for the server that it is placed on.
func (g *Gateway) newDispatch(r *request) *Dispatch {
	d := &Dispatch{
		Server: r.placement.Server, Organisation: r.organisation, TimeLeft: time.Until(r.deadline), Priority: r.priority,
		Version: r.placement.Version, Salt: r.placement.Salt, Plan: r.placement.Plan,
	}
	if r.route.Resumable {
		d.LastEventID = r.events.LastEventID()
	}
	if d.Plan != nil {
		// The request may have waited for a connection since it was placed.
		d.Plan = d.Plan.ForSending(bootclock.Now())
		until, known := g.fleet.ServerClock(d.Plan.Until)
		if !known {
			// Without the servers' clock no end can be set for the fetch, and it might read a part that is freed
			// during the fetch.
			d.Plan = d.Plan.WithoutFetch()
		}
		d.FetchUntilMS = until
	}
	return d
}

// maxLoggedParts bounds the parts of a request in a decision.
const maxLoggedParts = 16

// partsField returns the log field for what the request may have in common with others: the ids of the prompt's parts, or for
// a plain service its digests, if it was identified.
func (r *request) partsField() zap.Field {
	var ids []string
	for _, part := range r.parts[:min(len(r.parts), maxLoggedParts)] {
		ids = append(ids, clip(part.ID))
	}
	return zap.Strings("parts", ids)
}

// framingField returns the log field for how the response's end was determined.
func (res *exchangeResult) framingField() zap.Field {
	return zap.String("framing", string(res.framing))
}

func zapStatus(status int) zap.Field { return zap.Int("status", status) }

// isNotSent reports whether err is ErrNotSent: no byte of the request reached a server.
func isNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }
