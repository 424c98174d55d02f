package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	chatPath     = "/v1/chat/completions"
	modelsPath   = "/v1/models"
	healthPath   = "/healthz"
	servicesPath = "/v1/services/"
)

const (
	// discardTime bounds reading a body that is too large.
	discardTime = 2 * time.Second
	// discardSilence is the pause after which a caller has sent its body.
	discardSilence = 100 * time.Millisecond
	// discardStep is how many bytes are read between looks at the clock.
	discardStep = 1 << 20
)

// server returns the HTTP server for callers.
func (e *Entry) server() *fasthttp.Server {
	return &fasthttp.Server{
		Name:               "balsamyoke",
		Handler:            e.handle,
		ErrorHandler:       badHTTP,
		MaxRequestBodySize: maxBodyBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             silent{},
	}
}

// silent drops the HTTP library's lines; what callers do wrong is counted instead.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// badHTTP answers what is not a readable HTTP request, and connections on which none came in time.
func badHTTP(ctx *fasthttp.RequestCtx, err error) {
	failure := refusal(CodeMalformed, fasthttp.StatusBadRequest, "not a readable HTTP request: "+err.Error())
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		failure.Status = fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		discardBody(ctx.Conn())
		failure = refusal(CodeBodyTooLarge, fasthttp.StatusRequestEntityTooLarge, "the body is larger than 8 MiB")
	}
	writeFailure(ctx, failure, "")
	ctx.SetConnectionClose()
}

// discardBody reads what a caller still sends, within bounds: closing a connection with unread
// bytes resets it, and the caller would lose the answer.
func discardBody(conn net.Conn) {
	deadline := time.Now().Add(discardTime)
	for time.Now().Before(deadline) {
		_ = conn.SetReadDeadline(time.Now().Add(discardSilence))
		if _, err := io.CopyN(io.Discard, conn, discardStep); err != nil {
			return
		}
	}
}

func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == healthPath:
		e.health(ctx)
	case path == chatPath && ctx.IsPost():
		e.serve(ctx, e.readChat, e.serveChat)
	case path == modelsPath && ctx.IsGet():
		e.models(ctx)
	case strings.HasPrefix(path, servicesPath):
		service, kind, _ := strings.Cut(strings.TrimPrefix(path, servicesPath), "/")
		read := func(ctx *fasthttp.RequestCtx) (*request, *Failure) { return e.readPlain(ctx, service, kind) }
		e.serve(ctx, read, e.servePlain)
	default:
		message := string(ctx.Method()) + " " + path + " is not a route"
		writeFailure(ctx, refusal(CodeUnknownRoute, fasthttp.StatusNotFound, message), "")
	}
}

// serve reads one request, refuses it or hands it on.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, read func(*fasthttp.RequestCtx) (*request, *Failure), run func(*fasthttp.RequestCtx, *request)) {
	e.counters.requests.Inc(1)
	if e.refusing.Load() {
		ctx.SetConnectionClose()
		e.fail(ctx, retryable(CodeLeaving, fasthttp.StatusServiceUnavailable, "this entry is leaving", time.Second), nil)
		return
	}
	req, failure := read(ctx)
	if failure == nil {
		failure = req.useKey(time.Now())
	}
	if failure != nil {
		e.fail(ctx, failure, req)
		return
	}
	if failure := e.limiting.admit(req); failure != nil {
		e.fail(ctx, failure, req)
		return
	}
	e.active.Add(1)
	run(ctx, req)
}

// fail answers a request that has no answer on its way yet and counts it.
func (e *Entry) fail(ctx *fasthttp.RequestCtx, failure *Failure, req *request) {
	failure = e.truthful(ctx, failure, req)
	e.countFailure(failure)
	id := ""
	if req != nil {
		id = req.id.String()
	}
	writeFailure(ctx, failure, id)
}

func (e *Entry) countFailure(failure *Failure) {
	if failure.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		e.counters.refused.Inc(1)
		return
	}
	e.counters.unknown.Inc(1)
}

// health answers the platform's balancer.
func (e *Entry) health(ctx *fasthttp.RequestCtx) {
	snapshot := e.configuration.Current()
	if e.leaving.Load() || snapshot == nil || !snapshot.Confirmed || !e.replicas.known.Load() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not serving\n")
		return
	}
	ctx.SetBodyString("serving\n")
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the model services that the caller's organisation may call.
func (e *Entry) models(ctx *fasthttp.RequestCtx) {
	req, failure := e.begin(ctx)
	if failure != nil {
		e.fail(ctx, failure, nil)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	index := req.snapshot.Index
	for _, service := range index.Manifest().Services {
		if service.Type == manifest.ServiceModel && index.Allowed(req.organisation.Name, service.Name) {
			list.Data = append(list.Data, modelItem{ID: service.Name, Object: "model", OwnedBy: index.Manifest().Deployment})
		}
	}
	text, _ := json.Marshal(list)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// outcome is the end of a run.
type outcome struct {
	result  *result
	failure *Failure
}

// pipe is the sink between a run and the goroutine that writes to the caller.
type pipe struct {
	tokens chan []byte
	ctx    context.Context
}

func (p *pipe) token(_ uint32, data []byte) error {
	select {
	case p.tokens <- data:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// pipeTokens bounds tokens that wait for a slow caller.
const pipeTokens = 256

// serveChat runs a model request. The status line waits for the first token, so that a refusal
// can still be a plain error.
func (e *Entry) serveChat(ctx *fasthttp.RequestCtx, req *request) {
	runCtx, cancel := context.WithCancel(context.Background())
	p := &pipe{tokens: make(chan []byte, pipeTokens), ctx: runCtx}
	ended := make(chan outcome, 1)
	go func() {
		defer e.active.Add(-1)
		defer close(p.tokens)
		result, failure := e.newRun(req, p).execute(runCtx)
		ended <- outcome{result: result, failure: failure}
	}()
	watch := watchCaller(ctx.Conn(), cancel)
	if !req.stream {
		defer cancel()
		e.answerWhole(ctx, req, p, ended)
		watch.stop()
		return
	}
	first, ok := <-p.tokens
	watch.stop()
	if !ok {
		defer cancel()
		e.answerWithoutTokens(ctx, req, <-ended)
		return
	}
	e.answerStream(ctx, req, first, p, ended, cancel)
}

// answerWithoutTokens answers a run that ended before its first token.
func (e *Entry) answerWithoutTokens(ctx *fasthttp.RequestCtx, req *request, end outcome) {
	if end.failure != nil {
		e.fail(ctx, end.failure, req)
		return
	}
	e.countDone(end.result)
	e.startStream(ctx, req, func(w *bufio.Writer) { _ = req.writeEnd(w, end.result) })
}

func (e *Entry) startStream(ctx *fasthttp.RequestCtx, req *request, write func(*bufio.Writer)) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.Header.Set(requestIDHeader, req.id.String())
	ctx.SetBodyStreamWriter(write)
}

// answerStream sends tokens as they come. A write that fails cancels the run.
func (e *Entry) answerStream(ctx *fasthttp.RequestCtx, req *request, first []byte, p *pipe, ended chan outcome, cancel context.CancelFunc) {
	e.startStream(ctx, req, func(w *bufio.Writer) {
		defer cancel()
		if req.writeToken(w, true, first) != nil {
			return
		}
		for token := range p.tokens {
			if req.writeToken(w, false, token) != nil {
				return
			}
		}
		e.endStream(w, req, <-ended)
	})
}

func (e *Entry) endStream(w *bufio.Writer, req *request, end outcome) {
	if end.failure != nil {
		e.countFailure(end.failure)
		_ = req.writeBroken(w, end.failure)
		return
	}
	e.countDone(end.result)
	_ = req.writeEnd(w, end.result)
}

func (e *Entry) answerWhole(ctx *fasthttp.RequestCtx, req *request, p *pipe, ended chan outcome) {
	var text []byte
	for token := range p.tokens {
		text = append(text, token...)
	}
	end := <-ended
	if end.failure != nil {
		e.fail(ctx, end.failure, req)
		return
	}
	e.countDone(end.result)
	req.writeWhole(ctx, text, end.result)
}

// servePlain runs a request to a plain service.
func (e *Entry) servePlain(ctx *fasthttp.RequestCtx, req *request) {
	defer e.active.Add(-1)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := watchCaller(ctx.Conn(), cancel)
	defer watch.stop()
	body := &collector{}
	result, failure := e.newRun(req, body).execute(runCtx)
	if failure != nil {
		e.fail(ctx, failure, req)
		return
	}
	e.countDone(result)
	ctx.Response.Header.Set(requestIDHeader, req.id.String())
	if status := result.done.GetStatus(); status != 0 {
		ctx.SetStatusCode(int(status))
	}
	if contentType := result.done.GetContentType(); contentType != "" {
		ctx.SetContentType(contentType)
	}
	ctx.SetBody(body.data)
}

// collector is the sink of a plain answer.
type collector struct{ data []byte }

func (c *collector) token(_ uint32, data []byte) error {
	c.data = append(c.data, data...)
	return nil
}

func (e *Entry) countDone(result *result) {
	e.counters.completed.Inc(1)
	e.counters.retries.Inc(int64(result.attempts - 1))
	e.counters.firstToken.RecordDuration(result.firstToken)
}
