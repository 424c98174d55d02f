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
	// discardTimeout is the maximum time spent reading the rest of a body that is too large.
	discardTimeout = 2 * time.Second
	// discardIdleTimeout is the pause in the received bytes after which a body is considered complete.
	discardIdleTimeout = 100 * time.Millisecond
	// discardChunkBytes is how many bytes are read between checks of discardTimeout.
	discardChunkBytes = 1 << 20
)

// server returns the HTTP server for callers.
func (e *Entry) server() *fasthttp.Server {
	return &fasthttp.Server{
		Name:               "balsamyoke",
		Handler:            e.handle,
		ErrorHandler:       handleHTTPError,
		MaxRequestBodySize: maxBodyBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
}

// discardLogger drops the HTTP library's log lines; faults of callers are counted instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// handleHTTPError responds to malformed HTTP requests and to connections on which no request arrived in time.
func handleHTTPError(ctx *fasthttp.RequestCtx, err error) {
	failure := refusal(CodeMalformed, fasthttp.StatusBadRequest, "malformed HTTP request: "+err.Error())
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

// discardBody reads the rest of a caller's body within time limits. Closing a connection with unread bytes
// resets it, and the caller would lose the response.
func discardBody(conn net.Conn) {
	deadline := time.Now().Add(discardTimeout)
	for time.Now().Before(deadline) {
		_ = conn.SetReadDeadline(time.Now().Add(discardIdleTimeout))
		if _, err := io.CopyN(io.Discard, conn, discardChunkBytes); err != nil {
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

// serve reads one request and either refuses it or runs it.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, read func(*fasthttp.RequestCtx) (*request, *Failure), run func(*fasthttp.RequestCtx, *request)) {
	e.counters.requests.Inc(1)
	if e.refusing.Load() {
		ctx.SetConnectionClose()
		e.fail(ctx, retryable(CodeLeaving, fasthttp.StatusServiceUnavailable, "this entry is leaving", time.Second), nil)
		return
	}
	req, failure := read(ctx)
	if failure == nil {
		failure = req.parseKey(time.Now())
	}
	if failure != nil {
		e.fail(ctx, failure, req)
		return
	}
	if failure := e.limits.admit(req); failure != nil {
		e.fail(ctx, failure, req)
		return
	}
	e.active.Add(1)
	run(ctx, req)
}

// fail counts a failure and writes the error response of a request whose response has not started.
func (e *Entry) fail(ctx *fasthttp.RequestCtx, failure *Failure, req *request) {
	failure = e.correctOutcome(ctx, failure, req)
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
	e.counters.outcomeUnknown.Inc(1)
}

// health handles the health check of the platform's balancer.
func (e *Entry) health(ctx *fasthttp.RequestCtx) {
	snapshot := e.configuration.Current()
	if e.leaving.Load() || snapshot == nil || !snapshot.Confirmed || !e.replicas.agentListed.Load() {
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
	req, failure := e.newRequest(ctx)
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

// runOutcome is the end of a run: a result or a failure.
type runOutcome struct {
	result  *result
	failure *Failure
}

// tokenPipe is the sink that passes tokens from a run to the goroutine that writes to the caller.
type tokenPipe struct {
	tokens chan []byte
	ctx    context.Context
}

func (p *tokenPipe) token(_ uint32, data []byte) error {
	select {
	case p.tokens <- data:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

// tokenPipeCapacity is the number of tokens buffered for a slow caller.
const tokenPipeCapacity = 256

// serveChat runs a model request. It sends no status line before the first token, so that a refusal can
// still be sent as a plain error response.
func (e *Entry) serveChat(ctx *fasthttp.RequestCtx, req *request) {
	runCtx, cancel := context.WithCancel(context.Background())
	p := &tokenPipe{tokens: make(chan []byte, tokenPipeCapacity), ctx: runCtx}
	ended := make(chan runOutcome, 1)
	go func() {
		defer e.active.Add(-1)
		defer close(p.tokens)
		result, failure := e.newRun(req, p).execute(runCtx)
		ended <- runOutcome{result: result, failure: failure}
	}()
	watch := watchCaller(ctx.Conn(), cancel)
	if !req.stream {
		defer cancel()
		e.respondComplete(ctx, req, p, ended)
		watch.stop()
		return
	}
	first, ok := <-p.tokens
	watch.stop()
	if !ok {
		defer cancel()
		e.respondWithoutTokens(ctx, req, <-ended)
		return
	}
	e.respondStream(ctx, req, first, p, ended, cancel)
}

// respondWithoutTokens responds to a streaming request whose run ended before its first token.
func (e *Entry) respondWithoutTokens(ctx *fasthttp.RequestCtx, req *request, end runOutcome) {
	if end.failure != nil {
		e.fail(ctx, end.failure, req)
		return
	}
	e.countDone(end.result)
	e.startStream(ctx, req, func(w *bufio.Writer) { _ = req.writeStreamEnd(w, end.result) })
}

func (e *Entry) startStream(ctx *fasthttp.RequestCtx, req *request, write func(*bufio.Writer)) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.Header.Set(requestIDHeader, req.id.String())
	ctx.SetBodyStreamWriter(write)
}

// respondStream sends tokens as they arrive. A failed write cancels the run.
func (e *Entry) respondStream(ctx *fasthttp.RequestCtx, req *request, first []byte, p *tokenPipe, ended chan runOutcome, cancel context.CancelFunc) {
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

func (e *Entry) endStream(w *bufio.Writer, req *request, end runOutcome) {
	if end.failure != nil {
		e.countFailure(end.failure)
		_ = req.writeStreamError(w, end.failure)
		return
	}
	e.countDone(end.result)
	_ = req.writeStreamEnd(w, end.result)
}

func (e *Entry) respondComplete(ctx *fasthttp.RequestCtx, req *request, p *tokenPipe, ended chan runOutcome) {
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
	req.writeCompletion(ctx, text, end.result)
}

// servePlain runs a request to a plain service.
func (e *Entry) servePlain(ctx *fasthttp.RequestCtx, req *request) {
	defer e.active.Add(-1)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := watchCaller(ctx.Conn(), cancel)
	defer watch.stop()
	body := &bodyCollector{}
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

// bodyCollector is the sink that collects the response body of a plain service.
type bodyCollector struct{ data []byte }

func (c *bodyCollector) token(_ uint32, data []byte) error {
	c.data = append(c.data, data...)
	return nil
}

func (e *Entry) countDone(result *result) {
	e.counters.completed.Inc(1)
	e.counters.retries.Inc(int64(result.attempts - 1))
	e.counters.ttft.RecordDuration(result.ttft)
}
