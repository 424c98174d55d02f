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

	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// maxSends bounds the servers that a request is sent to when none of them runs it.
	maxSends = 4
	// staleAfter is the age of the latest news from which on an unknown key or route may only be unknown
	// here: longer than the metadata store takes to answer a waiting call.
	staleAfter = 6 * time.Second
	// deniedRetry is when a caller may come back whose key or route may only be unknown here.
	deniedRetry = 500 * time.Millisecond
	// noPriority means that the server's own default applies.
	noPriority = -1
)

// request is one request on its way.
type request struct {
	*incoming
	call         Call
	route        *routing.Route
	service      string
	organisation string
	priority     int
	deadline     time.Time
	place        dispatch.Request
	// sends counts the servers that it was sent to, runs those that may have run it.
	sends int
	runs  int
	// placed is the latest placement.
	placed dispatch.Placement
	// resumeAfter is the id of the last event that the caller has.
	resumeAfter string
	// begun tells that the caller has the header of the answer.
	begun bool
}

// serve answers one request and reports whether the connection goes on.
func (g *Gateway) serve(ctx context.Context, c *caller, in *incoming) bool {
	in.last = in.last || g.draining.Load()
	r, denial := g.admit(in)
	if denial != nil {
		denial.last = in.last
		return c.answer(denial) == nil && !in.last
	}
	g.fleet.Count(r.service)
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	whole := g.attempt(ctx, c, r)
	return whole && !in.last
}

// admit finds the route and the organisation, or denies the request.
func (g *Gateway) admit(in *incoming) (*request, *reply) {
	call, err := g.protocol.ReadCall(&in.header)
	if err != nil {
		return nil, g.denied(in, "", fasthttp.StatusBadRequest, "malformed_headers")
	}
	table := g.fleet.Table()
	if table == nil {
		g.refused(in, call.ID, "no_configuration")
		return nil, refusal(deniedRetry)
	}
	path, _, _ := bytes.Cut(in.header.RequestURI(), []byte("?"))
	route := table.Match(string(in.header.Host()), string(path))
	if route == nil {
		return nil, g.unknown(in, call.ID, fasthttp.StatusNotFound, "unknown_route")
	}
	r := &request{incoming: in, call: call, route: route, priority: route.Priority}
	if table.KeysRequired() && !route.Public {
		organisation := table.Organisation(call.Key)
		if organisation == nil {
			return nil, g.unknown(in, call.ID, fasthttp.StatusUnauthorized, "unknown_key")
		}
		r.organisation = organisation.Name
		if organisation.HasPriority {
			r.priority = organisation.Priority
		}
		if organisation.Isolated {
			r.place.Wall = organisation.Name
		}
	}
	r.service = route.Choose(rand.Float64())
	r.deadline = in.at.Add(patience(&call, route))
	r.place.Service = r.service
	r.place.Target = route.TargetLatency
	if call.Model != "" {
		r.place.Model, r.place.Parts = call.Model, call.Parts
		r.place.PromptTokens, r.place.OutputTokens = call.PromptTokens, call.OutputTokens
		r.place.Priority = r.priority
	} else {
		r.priority = noPriority
	}
	r.resumeAfter = string(in.header.Peek("Last-Event-Id"))
	return r, nil
}

// patience returns how long a request is kept waiting at most.
func patience(call *Call, route *routing.Route) time.Duration {
	limit := route.Timeout
	if call.Deadline > 0 && (limit <= 0 || call.Deadline < limit) {
		limit = call.Deadline
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// defaultTimeout bounds requests for which neither the caller nor the route says.
const defaultTimeout = 30 * time.Second

// unknown denies a key or route that no configuration known here has, or, when news is old, says so.
func (g *Gateway) unknown(in *incoming, id string, status int, reason string) *reply {
	if age := g.fleet.ContactAge(); age > staleAfter {
		g.refused(in, id, reason, zap.Duration("news_age", age))
		return refusal(deniedRetry)
	}
	return g.denied(in, id, status, reason)
}

func (g *Gateway) denied(in *incoming, id string, status int, reason string) *reply {
	g.counters.refused(reason)
	g.note(warn, EventDenied, id, zapStatus(status), zap.String("reason", reason),
		zap.ByteString("path", in.header.RequestURI()), zap.Int64("configuration", g.version()),
		zap.Duration("news_age", g.fleet.ContactAge()))
	return own(status)
}

func (g *Gateway) refused(in *incoming, id, reason string, more ...zap.Field) {
	g.counters.refused(reason)
	g.note(warn, EventRefused, id, append([]zap.Field{zap.String("reason", reason), zap.Int64("configuration", g.version())}, more...)...)
}

func (g *Gateway) version() int64 {
	if table := g.fleet.Table(); table != nil {
		return table.Version
	}
	return 0
}

// attempt sends the request to servers until one answers, and reports whether the caller got a whole
// answer.
func (g *Gateway) attempt(ctx context.Context, c *caller, r *request) bool {
	for {
		r.place.Left = time.Until(r.deadline)
		placed, refused := g.fleet.Place(&r.place)
		if refused != nil {
			return g.giveUp(c, r, refused, nil)
		}
		r.placed = placed
		r.sends++
		end := g.exchange(ctx, c, r)
		g.fleet.Ended(placed, end.result, end.firstByte)
		r.place.Tried = append(r.place.Tried, placed.Server)
		if end.ran {
			r.runs++
		}
		if end.whole {
			g.served(r, &end)
			return true
		}
		if ctx.Err() != nil || end.callerFailed {
			return g.interrupted(ctx, c, r, &end)
		}
		if !g.mayRepeat(r, &end) {
			return g.finish(c, r, &end)
		}
		if end.sent && !g.fleet.TakeRepeat(r.service) {
			return g.giveUp(c, r, g.fleet.Refuse(r.service, dispatch.NoBudget), &end)
		}
		g.counters.retries.Inc(1)
		g.note(info, EventRetry, r.call.ID, zap.String("server", placed.Server),
			zap.Int("sends", r.sends), zap.Bool("ran", end.ran), zap.Int("status", end.status), eventlog.Error(end.err))
	}
}

// mayRepeat reports whether the request may be sent to another server.
//
// Invariant: a request that may not be repeated is sent again only when no server has run it.
func (g *Gateway) mayRepeat(r *request, end *ending) bool {
	if r.runs == 0 {
		return r.sends < maxSends
	}
	if !r.route.Repeatable() || r.runs >= r.route.MaxAttempts || r.sends >= maxSends {
		return false
	}
	return end.result == dispatch.Unreachable || end.result == dispatch.Failed || !end.ran
}

// giveUp answers a request for which there is no server to send it to. before is the end at the last
// server, if there was one.
func (g *Gateway) giveUp(c *caller, r *request, refused *dispatch.Refusal, before *ending) bool {
	if before != nil && before.answer != nil || r.runs > 0 || r.begun {
		if before == nil {
			before = &ending{}
		}
		return g.finish(c, r, before)
	}
	g.refused(r.incoming, r.call.ID, string(refused.Reason), zap.String("route", r.route.Name), zap.Int("sends", r.sends),
		zap.Strings("tried", r.place.Tried), zap.Duration("retry_after", refused.RetryAfter),
		zap.String("best", refused.Server), zap.Duration("predicted", refused.Predicted), zap.Duration("wait", refused.Wait),
		zap.Int("ahead", refused.AheadTokens), zap.Int("ahead_others", refused.AheadOthers),
		zap.Int("held", refused.HeldTokens), zap.Int("held_others", refused.HeldOthers), zap.Float64("slowness", refused.Slowness),
		zap.Duration("left", time.Until(r.deadline)))
	answer := refusal(refused.RetryAfter)
	answer.last = r.last
	return c.answer(answer) == nil
}

// finish passes the last server's own answer on, or says what is known without one.
func (g *Gateway) finish(c *caller, r *request, end *ending) bool {
	if r.begun {
		// The caller sees by the end of the connection that the stream is not complete.
		g.brokenOff(r, end)
		return false
	}
	answer := end.answer
	switch {
	case answer != nil:
	case r.runs > 0:
		answer = own(fasthttp.StatusBadGateway)
	default:
		answer = refusal(g.fleet.Refuse(r.service, dispatch.Exhausted).RetryAfter)
	}
	g.failed(r, end, answer.header.StatusCode())
	answer.last = r.last
	return c.answer(answer) == nil
}

// interrupted ends a request whose time is over or whose caller has left.
func (g *Gateway) interrupted(ctx context.Context, c *caller, r *request, end *ending) bool {
	if end.callerFailed || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		g.counters.cancelled.Inc(1)
		g.note(info, EventCancelled, r.call.ID, zap.String("server", r.placed.Server),
			zap.Duration("after", time.Since(r.at)), zap.Bool("begun", r.begun))
		return false
	}
	if r.begun {
		g.brokenOff(r, end)
		return false
	}
	answer := own(fasthttp.StatusGatewayTimeout)
	if r.runs == 0 && !end.sent {
		answer = refusal(deniedRetry)
	}
	g.failed(r, end, answer.header.StatusCode())
	answer.last = r.last
	return c.answer(answer) == nil
}

func (g *Gateway) served(r *request, end *ending) {
	took := time.Since(r.at)
	g.counters.served(r, end, took)
	g.note(info, EventServed, r.call.ID, append(g.placement(r), zap.Int("status", end.status), zap.Duration("first_byte", end.firstAfter),
		zap.Duration("took", took), zap.Int("sends", r.sends))...)
}

func (g *Gateway) failed(r *request, end *ending, status int) {
	g.counters.failed(r, status)
	g.note(warn, EventFailed, r.call.ID, append(g.placement(r), zapStatus(status), zap.Int("server_status", end.status), zap.Int("sends", r.sends),
		zap.Int("runs", r.runs), zap.Duration("took", time.Since(r.at)), eventlog.Error(end.err))...)
}

func (g *Gateway) brokenOff(r *request, end *ending) {
	g.counters.brokenOff.Inc(1)
	g.note(warn, EventBrokenOff, r.call.ID, append(g.placement(r), zap.String("last_event", r.resumeAfter), zap.Int("sends", r.sends),
		zap.Int("runs", r.runs), zap.Duration("took", time.Since(r.at)), eventlog.Error(end.err))...)
}

// placement returns what decided where a request went.
func (g *Gateway) placement(r *request) []zap.Field {
	fields := []zap.Field{
		zap.String("route", r.route.Name), zap.String("server", r.placed.Server),
		zap.Duration("predicted", r.placed.Predicted), zap.Int("candidates", r.placed.Candidates),
		zap.Int64("configuration", g.version()),
	}
	if p := r.placed.Plan; p != nil {
		fields = append(fields, zap.Int64("weights", r.placed.Version), zap.Int("fetched", p.FetchTokens), zap.Int("read", p.ReadTokens),
			zap.Strings("from", named(p.Fetch)), zap.Strings("to", named(p.Save)))
	}
	return fields
}

// named returns the addresses that are not empty.
func named(addresses []string) []string {
	var list []string
	for _, address := range addresses {
		if address != "" {
			list = append(list, address)
		}
	}
	return list
}

// dispatchTo returns what the system adds to the request for the server that it is placed on.
func (g *Gateway) dispatchTo(r *request) *Dispatch {
	d := &Dispatch{
		Server: r.placed.Server, Organisation: r.organisation, Left: time.Until(r.deadline), Priority: r.priority,
		Version: r.placed.Version, Salt: r.placed.Salt, Plan: r.placed.Plan,
	}
	if r.route.Resumable {
		d.ResumeAfter = r.resumeAfter
	}
	if r.placed.Plan != nil {
		until, known := g.fleet.ServerClock(r.placed.Plan.Until)
		if !known {
			// A fetch whose end nobody bounds might read a part that is freed meanwhile.
			d.Plan = r.placed.Plan.WithoutFetch()
		}
		d.FetchUntilMS = until
	}
	return d
}

func zapStatus(status int) zap.Field { return zap.Int("status", status) }

// isNotSent reports whether no byte of a request reached a server.
func isNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }
