package entry

import (
	"bufio"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// requestIDHeader carries the request id, by which explain finds the request.
const requestIDHeader = "X-Request-Id"

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         Code   `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

func errorJSON(failure *Failure, requestID string) []byte {
	text, _ := json.Marshal(errorBody{Error: errorDetail{
		Code:         failure.Code,
		Message:      failure.Message,
		Outcome:      outcomeName(failure.Outcome),
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}})
	return text
}

// outcomeName returns the stable name of an outcome in the callers' API.
func outcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	case wire.Outcome_OUTCOME_FAILED:
		return "failed"
	case wire.Outcome_OUTCOME_DONE:
		return "done"
	default:
		return "unknown"
	}
}

// writeFailure writes the error response of a request whose response has not started.
func writeFailure(ctx *fasthttp.RequestCtx, failure *Failure, requestID string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(failure.Status)
	ctx.SetContentType("application/json")
	if requestID != "" {
		ctx.Response.Header.Set(requestIDHeader, requestID)
	}
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(errorJSON(failure, requestID))
}

// usage counts the tokens of a model response, as in the OpenAI API.
type usage struct {
	PromptTokens     uint32       `json:"prompt_tokens"`
	CompletionTokens uint32       `json:"completion_tokens"`
	TotalTokens      uint32       `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// accounting reports to the caller where its request ran and what it used.
type accounting struct {
	RequestID      string `json:"request_id"`
	Replica        string `json:"replica"`
	Attempts       int    `json:"attempts"`
	ComputedTokens uint32 `json:"computed_tokens"`
	LinkBytes      uint64 `json:"link_bytes"`
	QueueMS        uint32 `json:"queue_ms"`
	FirstTokenMS   int64  `json:"first_token_ms"`
}

type chatReply struct {
	ID         string       `json:"id"`
	Object     string       `json:"object"`
	Created    int64        `json:"created"`
	Model      string       `json:"model"`
	Choices    []chatChoice `json:"choices"`
	Usage      *usage       `json:"usage,omitempty"`
	Accounting *accounting  `json:"balsamyoke,omitempty"`
}

type chatChoice struct {
	Index        int        `json:"index"`
	Delta        *chatDelta `json:"delta,omitempty"`
	Message      *chatDelta `json:"message,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (r *request) reply(object string, choice chatChoice) chatReply {
	return chatReply{
		ID:      "chatcmpl-" + r.id.String(),
		Object:  object,
		Created: r.arrivedAt.Unix(),
		Model:   r.service.Name,
		Choices: []chatChoice{choice},
	}
}

// writeToken sends one token as a server-sent event.
func (r *request) writeToken(w *bufio.Writer, first bool, text []byte) error {
	delta := &chatDelta{Content: string(text)}
	if first {
		delta.Role = "assistant"
	}
	return writeEvent(w, r.reply("chat.completion.chunk", chatChoice{Delta: delta}))
}

// writeStreamEnd sends the last chunk and the end marker.
func (r *request) writeStreamEnd(w *bufio.Writer, result *result) error {
	reason := result.finishReason()
	last := r.reply("chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &reason})
	last.Usage = result.usage()
	last.Accounting = result.accounting(r)
	if err := writeEvent(w, last); err != nil {
		return err
	}
	if _, err := w.WriteString("data: [DONE]\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// writeStreamError sends an error event to a caller whose stream has started but cannot be completed.
func (r *request) writeStreamError(w *bufio.Writer, failure *Failure) error {
	if _, err := w.WriteString("event: error\ndata: "); err != nil {
		return err
	}
	if _, err := w.Write(errorJSON(failure, r.id.String())); err != nil {
		return err
	}
	if _, err := w.WriteString("\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

func writeEvent(w *bufio.Writer, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := w.Write(text); err != nil {
		return err
	}
	if _, err := w.WriteString("\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// writeCompletion responds to a model request that did not ask for a stream.
func (r *request) writeCompletion(ctx *fasthttp.RequestCtx, text []byte, result *result) {
	reason := result.finishReason()
	message := &chatDelta{Role: "assistant", Content: string(text)}
	completion := r.reply("chat.completion", chatChoice{Message: message, FinishReason: &reason})
	completion.Usage = result.usage()
	completion.Accounting = result.accounting(r)
	body, err := json.Marshal(completion)
	if err != nil {
		writeFailure(ctx, unknown(CodeRunFailed, fasthttp.StatusInternalServerError, err.Error()), r.id.String())
		return
	}
	ctx.Response.Header.Set(requestIDHeader, r.id.String())
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// result describes a request that ran to completion.
type result struct {
	done            *wire.Done
	replica         string
	attempts        int
	deliveredTokens uint32
	ttft            time.Duration
}

func (r *result) finishReason() string {
	if reason := r.done.GetFinishReason(); reason != "" {
		return reason
	}
	return "stop"
}

func (r *result) usage() *usage {
	prompt := r.done.GetCachedTokens() + r.done.GetComputedTokens()
	return &usage{
		PromptTokens:     prompt,
		CompletionTokens: r.deliveredTokens,
		TotalTokens:      prompt + r.deliveredTokens,
		Details:          usageDetails{CachedTokens: r.done.GetCachedTokens()},
	}
}

func (r *result) accounting(req *request) *accounting {
	return &accounting{
		RequestID:      req.id.String(),
		Replica:        r.replica,
		Attempts:       r.attempts,
		ComputedTokens: r.done.GetComputedTokens(),
		LinkBytes:      r.done.GetLinkBytes(),
		QueueMS:        r.done.GetQueueMs(),
		FirstTokenMS:   r.ttft.Milliseconds(),
	}
}
