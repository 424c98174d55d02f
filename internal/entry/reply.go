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

// requestIDHeader tells the caller the name of its request for explain.
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

// outcomeName is the stable name of an outcome in the callers' interface.
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

// writeFailure answers a request that has no answer on its way yet.
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

// usage counts the tokens of a model answer, as in the OpenAI interface.
type usage struct {
	PromptTokens     uint32       `json:"prompt_tokens"`
	CompletionTokens uint32       `json:"completion_tokens"`
	TotalTokens      uint32       `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// accounting tells the caller where and how its request ran.
type accounting struct {
	RequestID       string `json:"request_id"`
	Replica         string `json:"replica"`
	Attempts        int    `json:"attempts"`
	ComputedTokens  uint32 `json:"computed_tokens"`
	LinkBytes       uint64 `json:"link_bytes"`
	QueueMS         uint32 `json:"queue_ms"`
	FirstTokenAfter int64  `json:"first_token_ms"`
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
		Created: r.arrived.Unix(),
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

// writeEnd sends the last chunk and the end marker.
func (r *request) writeEnd(w *bufio.Writer, result *result) error {
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

// writeBroken tells a caller whose stream has begun that it can't be finished.
func (r *request) writeBroken(w *bufio.Writer, failure *Failure) error {
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

// writeWhole answers a model request that did not ask for a stream.
func (r *request) writeWhole(ctx *fasthttp.RequestCtx, text []byte, result *result) {
	reason := result.finishReason()
	message := &chatDelta{Role: "assistant", Content: string(text)}
	whole := r.reply("chat.completion", chatChoice{Message: message, FinishReason: &reason})
	whole.Usage = result.usage()
	whole.Accounting = result.accounting(r)
	body, err := json.Marshal(whole)
	if err != nil {
		writeFailure(ctx, unknown(CodeRunFailed, fasthttp.StatusInternalServerError, err.Error()), r.id.String())
		return
	}
	ctx.Response.Header.Set(requestIDHeader, r.id.String())
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// result is the end of a request that ran.
type result struct {
	done       *wire.Done
	replica    string
	attempts   int
	delivered  uint32
	firstToken time.Duration
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
		CompletionTokens: r.delivered,
		TotalTokens:      prompt + r.delivered,
		Details:          usageDetails{CachedTokens: r.done.GetCachedTokens()},
	}
}

func (r *result) accounting(req *request) *accounting {
	return &accounting{
		RequestID:       req.id.String(),
		Replica:         r.replica,
		Attempts:        r.attempts,
		ComputedTokens:  r.done.GetComputedTokens(),
		LinkBytes:       r.done.GetLinkBytes(),
		QueueMS:         r.done.GetQueueMs(),
		FirstTokenAfter: r.firstToken.Milliseconds(),
	}
}
