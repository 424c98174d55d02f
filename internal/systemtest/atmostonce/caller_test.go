package atmostonce

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
)

const (
	organisationKey = "ridge-key"
	// submitTimeout limits the duration of one submission. After it, a caller records an unknown outcome.
	submitTimeout = 15 * time.Second
	// retryPause is the pause between two submissions of a key.
	retryPause = 100 * time.Millisecond
)

// outcome is the outcome of one submission as reported to the caller.
type outcome string

const (
	outcomeDone    outcome = "done"
	outcomeNotRun  outcome = "not_run"
	outcomeUnknown outcome = "unknown"
)

// submission is one request with an idempotency key, and its result.
type submission struct {
	key          string
	caller       int
	start, end   time.Time
	outcome      outcome
	code, detail string
	reply        plainserver.Reply
}

// callers send checkouts and record all submissions.
type callers struct {
	client *http.Client

	mu      sync.Mutex
	history []submission
}

func newCallers() *callers {
	return &callers{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// body returns a body that contains the key, because a plain service counts runs by body.
func body(key string) []byte { return []byte(`{"sheet":"` + key + `"}`) }

// submit sends one request with a key through an entry and records the result.
func (c *callers) submit(ctx context.Context, entry, key string, caller int) submission {
	result := submission{key: key, caller: caller, start: time.Now()}
	c.send(ctx, entry, &result)
	result.end = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, result)
	return result
}

func (c *callers) send(ctx context.Context, entry string, s *submission) {
	s.outcome = outcomeUnknown
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	address := "http://" + entry + "/v1/services/archive/checkout"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body(s.key)))
	if err != nil {
		s.detail = err.Error()
		return
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey)
	request.Header.Set("Idempotency-Key", s.key)
	reply, err := c.client.Do(request)
	if err != nil {
		s.detail = err.Error()
		return
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		s.detail = err.Error()
		return
	}
	if reply.StatusCode == http.StatusOK {
		s.outcome = outcomeDone
		if err := json.Unmarshal(text, &s.reply); err != nil {
			s.outcome, s.detail = outcomeUnknown, "malformed response with status 200: "+string(text)
		}
		return
	}
	var failure struct {
		Error struct{ Code, Message, Outcome string }
	}
	_ = json.Unmarshal(text, &failure)
	s.code, s.detail = failure.Error.Code, failure.Error.Message
	if failure.Error.Outcome == string(outcomeNotRun) {
		s.outcome = outcomeNotRun
	}
}

// submitUntilDone submits a key through alternating entries until it is done, at most tries times. It returns the last
// submission.
func (c *callers) submitUntilDone(ctx context.Context, entries []string, key string, caller, tries int) submission {
	var last submission
	for try := range tries {
		last = c.submit(ctx, entries[(caller+try)%len(entries)], key, caller)
		if last.outcome == outcomeDone {
			break
		}
		time.Sleep(retryPause)
	}
	return last
}
