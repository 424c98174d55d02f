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
	extraTime         = 30 * time.Second // after the deadline until the tool gives up on an answer
)

// Verdict is how a request ended for its caller.
type Verdict string

// The verdicts.
const (
	// VerdictRight is a whole and right answer.
	VerdictRight Verdict = "right"
	// VerdictWrong is an answer that claims to be whole and is not the right one.
	VerdictWrong Verdict = "wrong"
	// VerdictRefused is an answer that says that the request has not run.
	VerdictRefused Verdict = "refused"
	// VerdictUnknown is an answer that says that the request may have run.
	VerdictUnknown Verdict = "unknown"
	// VerdictBroken is a stream that says that it can't be finished.
	VerdictBroken Verdict = "broken"
	// VerdictLost means that no proper answer came from the entry.
	VerdictLost Verdict = "lost"
)

// Result is the end of one request.
type Result struct {
	Verdict Verdict
	// Code is the entry's code of a failure, or the error of the tool.
	Code string
	// FirstToken is the time from the arrival to the first token, or to the whole plain answer.
	FirstToken time.Duration
	// Gaps are the longest and the summed times between tokens, with their number.
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

type chatCall struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
}

// send makes one request and judges its answer. Start is when it should have been sent.
func (c *caller) send(ctx context.Context, a Arrival, start time.Time) Result {
	deadline := time.Duration(a.Kind.DeadlineMS)*time.Millisecond + extraTime
	ctx, cancel := context.WithDeadline(ctx, start.Add(deadline))
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
	body, err := json.Marshal(chatCall{
		Model:     a.Kind.Service,
		Messages:  a.Messages,
		Stream:    true,
		MaxTokens: a.Kind.MaxTokens,
	})
	if err != nil {
		return lost(err)
	}
	request.SetRequestURI("http://" + c.http.Address() + chatPath)
	request.Header.Set(kindHeader, a.Kind.Name)
	request.SetBody(body)
	stream, err := c.http.Stream(ctx, request)
	if err != nil {
		return lost(err)
	}
	defer stream.Close()
	if stream.Response.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(stream, maxEventBytes))
		return failure(text)
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
			return lost(err)
		}
		request.Header.Set(idempotencyHeader, key.String())
	}
	if err := c.http.Do(ctx, request, response); err != nil {
		return lost(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return failure(response.Body())
	}
	result := Result{Verdict: VerdictRight, FirstToken: time.Since(start)}
	var reply plainserver.Reply
	err := json.Unmarshal(response.Body(), &reply)
	if err != nil || reply.Kind != a.Kind.Name || reply.Digest != plainserver.BodyDigest(a.Body) {
		result.Verdict = VerdictWrong
	}
	return result
}

// chunk is one event of a streamed answer.
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
	Error *failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// readChat reads a streamed answer to its end and compares it with the right one.
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
			return judge(result, finished && text.String() == expected.Text())
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return lost(errMalformed.Wrap(err, "event"))
		}
		if c.Error != nil {
			result.Verdict, result.Code = VerdictBroken, c.Error.Code
			return result
		}
		result.account(c)
		if len(c.Choices) == 0 {
			continue
		}
		finished = finished || c.Choices[0].FinishReason != ""
		if token := c.Choices[0].Delta.Content; token != "" {
			text.WriteString(token)
			last = result.tokenAt(time.Now(), last, start)
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return lost(err)
}

func judge(result Result, right bool) Result {
	result.Verdict = VerdictWrong
	if right {
		result.Verdict = VerdictRight
	}
	return result
}

func (r *Result) tokenAt(now, last, start time.Time) time.Time {
	if r.Tokens == 0 {
		r.FirstToken = now.Sub(start)
	} else {
		r.LongestGap = max(r.LongestGap, now.Sub(last))
	}
	r.Tokens++
	return now
}

func (r *Result) account(c chunk) {
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

// failure judges a JSON error of the entry.
func failure(body []byte) Result {
	var c chunk
	if json.Unmarshal(body, &c) != nil || c.Error == nil {
		return lost(errMalformed.New("error body %q", body[:min(len(body), 100)]))
	}
	if c.Error.Outcome == "not_run" {
		return Result{Verdict: VerdictRefused, Code: c.Error.Code}
	}
	return Result{Verdict: VerdictUnknown, Code: c.Error.Code}
}

func lost(err error) Result {
	code := errorx.GetTypeName(err)
	if code == "" {
		code = err.Error()
	}
	return Result{Verdict: VerdictLost, Code: code}
}
