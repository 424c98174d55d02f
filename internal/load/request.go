package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
)

const (
	chatPath          = "/v1/chat/completions"
	servicesPath      = "/v1/services/"
	kindHeader        = "X-Request-Kind"
	idempotencyHeader = "Idempotency-Key"
	maxEventBytes     = 1 << 20
	responseGrace     = 30 * time.Second // after the deadline, until the tool stops waiting for a response
)

// Verdict is the result of a request from the point of view of its caller.
type Verdict string

// The verdicts.
const (
	// VerdictRight is a complete and correct response.
	VerdictRight Verdict = "right"
	// VerdictWrong is a response that ends as complete but differs from the expected one.
	VerdictWrong Verdict = "wrong"
	// VerdictRefused is an error response that states that the request has not run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown is an error response that states that the request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictBroken is a stream that ends with an error event.
	VerdictBroken Verdict = "broken"
	// VerdictLost means that the entry sent no valid response.
	VerdictLost Verdict = "lost"
)

// Result is the result of one request.
type Result struct {
	Verdict Verdict
	// Code is the error code in the entry's response, or the error of the tool.
	Code string
	// TTFT is the time from the scheduled arrival to the first token, or to the complete response of a plain
	// service.
	TTFT time.Duration
	// LongestGap is the longest time between two tokens, Tokens the number of tokens.
	LongestGap time.Duration
	Tokens     int

	PromptTokens, CachedTokens, ComputedTokens int
	LinkBytes                                  uint64
	Attempts                                   int
	QueueMS                                    uint32
}

// caller sends requests to one entry.
type caller struct {
	http *httpclient.Client
}

type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
}

// send sends one request and checks the response. start is the time at which the request was scheduled.
func (c *caller) send(ctx context.Context, a Arrival, start time.Time) Result {
	timeout := time.Duration(a.Kind.DeadlineMS)*time.Millisecond + responseGrace
	ctx, cancel := context.WithDeadline(ctx, start.Add(timeout))
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+BearerKey(a.Organisation))
	if a.Kind.Model {
		return c.sendChat(ctx, request, a, start)
	}
	return c.sendPlain(ctx, request, a, start)
}

func (c *caller) sendChat(ctx context.Context, request *fasthttp.Request, a Arrival, start time.Time) Result {
	body, err := json.Marshal(chatRequest{
		Model:     a.Kind.Service,
		Messages:  a.Messages,
		Stream:    true,
		MaxTokens: a.Kind.MaxTokens,
	})
	if err != nil {
		return lostResult(err)
	}
	request.SetRequestURI("http://" + c.http.Address() + chatPath)
	request.Header.Set(kindHeader, a.Kind.Name)
	request.SetBody(body)
	stream, err := c.http.Stream(ctx, request)
	if err != nil {
		return lostResult(err)
	}
	defer stream.Close()
	if stream.Response.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(stream, maxEventBytes))
		return failureResult(text)
	}
	return readChat(stream, a.Expected, start)
}

func (c *caller) sendPlain(ctx context.Context, request *fasthttp.Request, a Arrival, start time.Time) Result {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.http.Address() + servicesPath + a.Kind.Service + "/" + a.Kind.Name)
	request.SetBody(a.Body)
	if !a.Kind.Idempotent {
		key, err := uuid.NewV7()
		if err != nil {
			return lostResult(err)
		}
		request.Header.Set(idempotencyHeader, key.String())
	}
	if err := c.http.Do(ctx, request, response); err != nil {
		return lostResult(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return failureResult(response.Body())
	}
	result := Result{Verdict: VerdictRight, TTFT: time.Since(start)}
	var reply plainserver.Reply
	err := json.Unmarshal(response.Body(), &reply)
	if err != nil || reply.Kind != a.Kind.Name || reply.Digest != plainserver.BodyDigest(a.Body) {
		result.Verdict = VerdictWrong
	}
	return result
}

// chunk is one event of a streamed response.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Accounting *struct {
		Attempts       int    `json:"attempts"`
		ComputedTokens int    `json:"computed_tokens"`
		LinkBytes      uint64 `json:"link_bytes"`
		QueueMS        uint32 `json:"queue_ms"`
	} `json:"balsamyoke"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// readChat reads a streamed response to its end and compares it with the expected one.
func readChat(body io.Reader, expected answer.Answer, start time.Time) Result {
	var result Result
	var text bytes.Buffer
	last := start
	finished := false
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return withVerdict(result, finished && text.String() == expected.Text())
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return lostResult(errMalformed.Wrap(err, "event"))
		}
		if c.Error != nil {
			result.Verdict, result.Code = VerdictBroken, c.Error.Code
			return result
		}
		result.recordUsage(c)
		if len(c.Choices) == 0 {
			continue
		}
		finished = finished || c.Choices[0].FinishReason != ""
		if token := c.Choices[0].Delta.Content; token != "" {
			text.WriteString(token)
			last = result.recordToken(time.Now(), last, start)
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return lostResult(err)
}

func withVerdict(result Result, correct bool) Result {
	result.Verdict = VerdictWrong
	if correct {
		result.Verdict = VerdictRight
	}
	return result
}

func (r *Result) recordToken(now, last, start time.Time) time.Time {
	if r.Tokens == 0 {
		r.TTFT = now.Sub(start)
	} else {
		r.LongestGap = max(r.LongestGap, now.Sub(last))
	}
	r.Tokens++
	return now
}

func (r *Result) recordUsage(c chunk) {
	if c.Usage != nil {
		r.PromptTokens = c.Usage.PromptTokens
		r.CachedTokens = c.Usage.Details.CachedTokens
	}
	if c.Accounting != nil {
		r.Attempts = c.Accounting.Attempts
		r.ComputedTokens = c.Accounting.ComputedTokens
		r.LinkBytes = c.Accounting.LinkBytes
		r.QueueMS = c.Accounting.QueueMS
	}
}

// failureResult returns the result of a request to which the entry responded with a JSON error.
func failureResult(body []byte) Result {
	var c chunk
	if json.Unmarshal(body, &c) != nil || c.Error == nil {
		return lostResult(errMalformed.New("error body %q", body[:min(len(body), 100)]))
	}
	if c.Error.Outcome == "not_run" {
		return Result{Verdict: VerdictRefused, Code: c.Error.Code}
	}
	return Result{Verdict: VerdictUnknown, Code: c.Error.Code}
}

func lostResult(err error) Result {
	code := errorx.GetTypeName(err)
	if code == "" {
		code = err.Error()
	}
	return Result{Verdict: VerdictLost, Code: code}
}
