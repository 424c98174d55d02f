package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// maxHeldBody is the largest answer that is read whole before it is passed on, so that one that breaks
// off can still become another server's answer.
const maxHeldBody = 256 << 10

// ending is how a request ended at one server.
type ending struct {
	result dispatch.Result
	// sent tells that the request may have reached the server, ran that the server may have run it.
	sent bool
	ran  bool
	// firstByte tells that the server began to answer, firstAfter when.
	firstByte  bool
	firstAfter time.Duration
	// whole tells that the caller got a complete answer.
	whole bool
	// callerFailed tells that the answer could not be written to the caller.
	callerFailed bool
	// answer is the server's answer when it was not passed on yet.
	answer *reply
	status int
	err    error
}

// exchange sends the request to the server that it is placed on and passes the answer on.
func (g *Gateway) exchange(ctx context.Context, c *caller, r *request) ending {
	began := time.Now()
	u, err := g.pool.get(ctx, r.placed.Server, r.placed.Address, !r.route.Repeatable())
	if err != nil {
		return unreachable(ctx, err, false)
	}
	stop := context.AfterFunc(ctx, func() { _ = u.Close() })
	defer stop()
	header := &fasthttp.RequestHeader{}
	g.protocol.Forward(header, &r.header, g.dispatchTo(r))
	if len(r.body) > 0 || !bodyless(&r.header) {
		header.Add("Content-Length", itoa(len(r.body)))
	}
	if err := u.send(header, r.body); err != nil {
		_ = u.Close()
		return unreachable(ctx, err, !isNotSent(err))
	}
	answerHeader, answer, err := u.readHeader(g.protocol, r.call.ID)
	if err != nil {
		_ = u.Close()
		return unreachable(ctx, err, true)
	}
	g.told(r, &answer)
	end := g.passOn(ctx, c, r, u, answerHeader, &answer, began)
	if end.err == nil && stop() {
		g.pool.put(u)
	} else {
		_ = u.Close()
	}
	return end
}

// bodyless reports whether a request has no body by its method.
func bodyless(h *fasthttp.RequestHeader) bool { return h.IsGet() || h.IsHead() || h.IsDelete() }

// unreachable is the ending of a request that got no answer.
func unreachable(ctx context.Context, err error, sent bool) ending {
	end := ending{result: dispatch.Unreachable, sent: sent, ran: sent, err: err}
	if ctx.Err() != nil {
		end.result = dispatch.Cancelled
	}
	return end
}

// told passes on what an answer says of its server.
func (g *Gateway) told(r *request, a *Answer) {
	if a.Version == 0 && !a.HasLoad {
		return
	}
	load := &a.Load
	if !a.HasLoad {
		load = nil
	}
	g.fleet.Told(r.placed.Server, r.call.Model, a.Version, load)
}

// passOn reads an answer and passes it on when it is the final one.
func (g *Gateway) passOn(ctx context.Context, c *caller, r *request, u *upstream, header *fasthttp.ResponseHeader, answer *Answer, began time.Time) ending {
	status := header.StatusCode()
	end := ending{sent: true, ran: !answer.NotRun, status: status}
	success := status >= 200 && status < 300
	switch {
	case answer.NotRun:
		end.result = dispatch.TurnedAway
		if status == fasthttp.StatusMisdirectedRequest {
			end.result = dispatch.Misdirected
		}
		_, end.err = readHeld(u.body(header))
		return end
	case success && (!answer.Stamped || answer.Encoded):
		end.result = dispatch.Failed
		end.err = ErrBroken.New("answer of server %s isn't signed", r.placed.Server)
		return end
	case success && r.route.Kind == routing.Streaming:
		g.passStream(ctx, c, r, u, header, &end, began)
		return end
	}
	g.passWhole(ctx, c, r, u, header, &end, began)
	return end
}

// passWhole reads a whole answer and passes it on, unless another server may do better.
func (g *Gateway) passWhole(ctx context.Context, c *caller, r *request, u *upstream, header *fasthttp.ResponseHeader, end *ending, began time.Time) {
	body, err := readHeld(u.body(header))
	if err != nil {
		*end = unreachable(ctx, ErrBroken.Wrap(err, "answer of server %s", r.placed.Server), true)
		end.status = header.StatusCode()
		return
	}
	g.firstByte(r, end, began)
	end.result = dispatch.Served
	answer := &reply{body: body, last: r.last}
	g.protocol.Return(&answer.header, header)
	if end.status >= fasthttp.StatusInternalServerError {
		end.result = dispatch.Failed
		end.answer = answer
		return
	}
	if r.begun {
		// Another server refused to go on with a stream.
		end.err = ErrBroken.New("server %s answers %d to the rest of a stream", r.placed.Server, end.status)
		end.result = dispatch.Failed
		return
	}
	if err := c.answer(answer); err != nil {
		end.callerFailed = true
		return
	}
	end.whole = true
}

func (g *Gateway) firstByte(r *request, end *ending, began time.Time) {
	end.firstByte = true
	end.firstAfter = time.Since(r.at)
	g.fleet.FirstByte(r.placed, time.Since(began))
}

// errTooLong means that an answer is larger than what is read whole.
var errTooLong = ErrTooLarge.New("answer of more than %d bytes", maxHeldBody)

// readHeld reads a whole body of up to maxHeldBody.
func readHeld(body io.Reader) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, maxHeldBody+1))
	if err == nil && len(read) > maxHeldBody {
		return nil, errTooLong
	}
	return read, err
}

// passStream passes events on as they arrive, whole ones only.
func (g *Gateway) passStream(ctx context.Context, c *caller, r *request, u *upstream, header *fasthttp.ResponseHeader, end *ending, began time.Time) {
	events := newEventReader(u.body(header))
	out := &streamWriter{caller: c}
	for {
		event, id, err := events.next()
		if len(event) > 0 {
			if !end.firstByte {
				g.firstByte(r, end, began)
			}
			if werr := g.passEvent(c, r, header, out, event); werr != nil {
				end.callerFailed, end.err = true, ErrCallerGone.Wrap(werr, "write")
				end.result = dispatch.Cancelled
				return
			}
			if id != "" {
				r.resumeAfter = id
			}
		}
		if errors.Is(err, io.EOF) {
			g.endStream(c, r, header, out, end)
			return
		}
		if err != nil {
			first, after := end.firstByte, end.firstAfter
			*end = unreachable(ctx, ErrBroken.Wrap(err, "stream of server %s", r.placed.Server), true)
			end.status, end.firstByte, end.firstAfter = header.StatusCode(), first, after
			return
		}
	}
}

// passEvent writes one event, after the header if the caller has none.
func (g *Gateway) passEvent(c *caller, r *request, header *fasthttp.ResponseHeader, out *streamWriter, event []byte) error {
	if err := g.beginStream(c, r, header); err != nil {
		return err
	}
	return out.write(event)
}

func (g *Gateway) beginStream(c *caller, r *request, header *fasthttp.ResponseHeader) error {
	if r.begun {
		return nil
	}
	var forward fasthttp.ResponseHeader
	g.protocol.Return(&forward, header)
	forward.SetContentLength(-1)
	r.begun = true
	return c.begin(&forward, r.last)
}

// endStream ends a stream that is complete.
func (g *Gateway) endStream(c *caller, r *request, header *fasthttp.ResponseHeader, out *streamWriter, end *ending) {
	if !end.firstByte {
		end.firstByte, end.firstAfter = true, time.Since(r.at)
	}
	end.result = dispatch.Served
	err := g.beginStream(c, r, header)
	if err == nil {
		err = out.end()
	}
	if err != nil {
		end.callerFailed, end.err = true, ErrCallerGone.Wrap(err, "write")
		return
	}
	end.whole = true
}
