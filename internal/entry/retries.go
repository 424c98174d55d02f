package entry

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/retry"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// retries is the retry policy that all requests of the entry share.
type retries struct {
	mu     sync.Mutex
	policy *retry.Policy
}

func newRetries(seed uint64) *retries {
	return &retries{policy: retry.New(retry.DefaultConfig(seed))}
}

func (s *retries) next(request retry.Request) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Next(time.Now(), request)
}

func (s *retries) recordSuccess(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Succeeded(time.Now(), service)
}

func (s *retries) state() map[string]retry.BudgetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.State()
}

// attemptFromRefusal converts a refusal to the retry policy's record of an attempt.
func attemptFromRefusal(refused *wire.Refused) retry.Attempt {
	return retry.Attempt{
		Outcome:    refused.GetOutcome(),
		Reason:     refused.GetReason(),
		RetryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
	}
}

// retryRequest describes the run to the retry policy. The deadline applies to the first token only, so it is
// left out once tokens have been delivered.
func (r *run) retryRequest() retry.Request {
	request := retry.Request{
		Service:    r.request.service.Name,
		Idempotent: r.request.kind.Idempotent,
		History:    r.pastAttempts,
	}
	if r.stream.Delivered() == 0 {
		request.Deadline = r.request.deadline
	}
	return request
}

// awaitRetry decides whether another attempt may follow and waits for its backoff. A nil Failure means that
// the request may be dispatched again.
func (r *run) awaitRetry(ctx context.Context) *Failure {
	r.pastAttempts = append(r.pastAttempts, r.lastAttempt)
	decision := r.entry.retries.next(r.retryRequest())
	if !decision.Retry {
		return r.attemptsExhausted(decision.RetryAfter)
	}
	if decision.Delay == 0 {
		return nil
	}
	timer := time.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r.callerDisconnected()
	case <-timer.C:
		return nil
	}
}

// attemptsExhausted returns the Failure of a request that no replica completed. Its outcome is not run only
// when no attempt has run.
func (r *run) attemptsExhausted(retryAfter time.Duration) *Failure {
	message := "no replica of service " + quote(r.request.service.Name) + " completed the request"
	if r.lastRefusal != nil {
		message += ": " + r.lastRefusal.GetMessage()
	}
	attempted := r.retryRequest()
	if r.stream.Delivered() > 0 || attempted.Outcome() != wire.Outcome_OUTCOME_NOT_RUN {
		failure := unknown(CodeInterrupted, fasthttp.StatusBadGateway, message)
		if r.request.kind.Idempotent {
			failure.RetryAfter = retryAfter
		}
		return failure
	}
	return retryable(CodeBusy, fasthttp.StatusServiceUnavailable, message, retryAfter)
}

// retryAfter returns the delay after which a caller may retry, given the attempts so far.
func (r *run) retryAfter() time.Duration {
	if len(r.pastAttempts) > 0 && r.pastAttempts[len(r.pastAttempts)-1].RetryAfter > 0 {
		return r.pastAttempts[len(r.pastAttempts)-1].RetryAfter
	}
	return busyRetryAfter
}
