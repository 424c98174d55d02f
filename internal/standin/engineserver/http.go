package engineserver

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

const requestIDHeader = "X-Request-Id"

// Chunk is one event of a streamed response, or a complete response that is not streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        *Text   `json:"delta,omitempty"`
	Message      *Text   `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Text is the text of a chunk.
type Text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (e *Engine) routes() httpserver.Router {
	return httpserver.Router{
		"POST /v1/chat/completions": e.serveChat,
		"POST /v1/cancel":           e.serveCancel,
		"GET /v1/load": func(ctx *fasthttp.RequestCtx) {
			httpserver.Reply(ctx, fasthttp.StatusOK, e.loadReport(time.Now()))
		},
		"GET /v1/cache_events": e.serveCacheEvents,
		"GET /v1/cache":        e.serveCache,
		"POST /v1/kv/export":   e.serveExport,
		"POST /v1/kv/import":   e.serveImport,
		"POST /v1/orders":      e.serveOrder,
		"GET /v1/state": func(ctx *fasthttp.RequestCtx) {
			httpserver.Reply(ctx, fasthttp.StatusOK, e.State())
		},
		"GET /admin/orders": func(ctx *fasthttp.RequestCtx) {
			httpserver.Reply(ctx, fasthttp.StatusOK, e.Orders())
		},
		"POST /admin/faults": e.serveFaults,
	}
}

func (e *Engine) serveChat(ctx *fasthttp.RequestCtx) {
	var request ChatRequest
	if !httpserver.Decode(ctx, &request) {
		return
	}
	if limit := e.settings.MaxWaiting; limit > 0 && e.slots.Waiting() >= limit {
		httpserver.ReplyError(ctx, fasthttp.StatusTooManyRequests, "the queue is full")
		return
	}
	runCtx, cancel := httpserver.UntilDisconnect(e.ctx, ctx.Conn())
	r := e.admit(string(ctx.Request.Header.Peek(requestIDHeader)), request, cancel)
	if r == nil {
		cancel()
		httpserver.ReplyError(ctx, fasthttp.StatusConflict, "weight version or adapter is not loaded")
		return
	}
	if request.Stream {
		e.streamRun(ctx, runCtx, cancel, r)
		return
	}
	defer cancel()
	defer e.removeRun(r)
	var text strings.Builder
	finish := e.execute(runCtx, r, func(token string) error {
		text.WriteString(token)
		return nil
	})
	choice := Choice{Message: &Text{Role: "assistant", Content: text.String()}, FinishReason: &finish}
	httpserver.Reply(ctx, fasthttp.StatusOK, Chunk{
		ID: r.id, Object: "chat.completion", Choices: []Choice{choice}, Usage: &r.usage,
	})
}

func (e *Engine) streamRun(ctx *fasthttp.RequestCtx, runCtx context.Context, cancel context.CancelFunc, r *run) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		defer e.removeRun(r)
		finish := e.execute(runCtx, r, func(token string) error {
			return writeEvent(w, r.chunk(Choice{Delta: &Text{Content: token}}, nil))
		})
		if writeEvent(w, r.chunk(Choice{Delta: &Text{}, FinishReason: &finish}, &r.usage)) != nil {
			return
		}
		_, _ = w.WriteString("data: [DONE]\n\n")
		_ = w.Flush()
	})
}

func (r *run) chunk(choice Choice, usage *Usage) Chunk {
	return Chunk{ID: r.id, Object: "chat.completion.chunk", Choices: []Choice{choice}, Usage: usage}
}

func writeEvent(w *bufio.Writer, chunk Chunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

// CancelRequest names the request to cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CancelReply reports how many runs were cancelled.
type CancelReply struct {
	Cancelled int `json:"cancelled"`
}

func (e *Engine) serveCancel(ctx *fasthttp.RequestCtx) {
	var request CancelRequest
	if httpserver.Decode(ctx, &request) {
		httpserver.Reply(ctx, fasthttp.StatusOK, CancelReply{Cancelled: e.cancelRun(request.RequestID)})
	}
}

// CacheEvents is the response to GET /v1/cache_events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Latest uint64       `json:"latest"`
}

func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	since, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		httpserver.ReplyError(ctx, fasthttp.StatusBadRequest, "since must be a number")
		return
	}
	until := time.Now().Add(-time.Duration(e.settings.EventLagMS) * time.Millisecond)
	e.mu.Lock()
	events, latest := e.cache.eventsSince(since, until)
	e.mu.Unlock()
	httpserver.Reply(ctx, fasthttp.StatusOK, CacheEvents{Events: events, Latest: latest})
}

// CacheState is the response to GET /v1/cache.
type CacheState struct {
	Pieces   []string `json:"pieces"`
	Sequence uint64   `json:"sequence"`
}

func (e *Engine) serveCache(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	state := CacheState{Pieces: e.cache.names(), Sequence: e.cache.sequence}
	e.mu.Unlock()
	httpserver.Reply(ctx, fasthttp.StatusOK, state)
}

// ExportRequest names the piece to export.
type ExportRequest struct {
	Piece string `json:"piece"`
}

func (e *Engine) serveExport(ctx *fasthttp.RequestCtx) {
	var request ExportRequest
	if !httpserver.Decode(ctx, &request) {
		return
	}
	e.mu.Lock()
	content, ok := e.cache.export(request.Piece)
	e.mu.Unlock()
	if !ok {
		httpserver.ReplyError(ctx, fasthttp.StatusNotFound, "piece is not cached")
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(content)
}

func (e *Engine) serveImport(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("piece"))
	if name == "" {
		httpserver.ReplyError(ctx, fasthttp.StatusBadRequest, "piece is missing")
		return
	}
	e.mu.Lock()
	e.cache.store(e.cache.importedPiece(name, ctx.Request.Body()), time.Now())
	e.mu.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// FencedReply is the response to an order with a stale fencing token.
type FencedReply struct {
	Error        string `json:"error"`
	HighestFence uint64 `json:"highest_fence"`
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var order Order
	if !httpserver.Decode(ctx, &order) {
		return
	}
	switch order.Kind {
	case orderLoadVersion, orderLoadAdapter, orderSetRole:
	default:
		httpserver.ReplyError(ctx, fasthttp.StatusBadRequest, "unknown kind of order")
		return
	}
	if !e.applyOrder(order) {
		httpserver.Reply(ctx, fasthttp.StatusConflict, FencedReply{Error: "old fence", HighestFence: e.State().HighestFence})
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, e.State())
}

func (e *Engine) serveFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if !httpserver.Decode(ctx, &faults) {
		return
	}
	if err := e.SetFaults(faults); err != nil {
		httpserver.ReplyError(ctx, fasthttp.StatusInternalServerError, err.Error())
	}
}
