package entry

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/retry"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// retries shares one retry policy among the requests of the entry.
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

func (s *retries) succeeded(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Succeeded(time.Now(), service)
}

func (s *retries) state() map[string]retry.BudgetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.State()
}

// attemptOf returns what a refusal says about an attempt.
func attemptOf(refused *wire.Refused) retry.Attempt {
	return retry.Attempt{
		Outcome:    refused.GetOutcome(),
		Reason:     refused.GetReason(),
		RetryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
	}
}

// history describes the run to the retry policy. Once tokens have been delivered, the deadline of
// the first token is met and binds no more.
func (r *run) history() retry.Request {
	request := retry.Request{
		Service:    r.request.service.Name,
		Idempotent: r.request.kind.Idempotent,
		History:    r.ends,
	}
	if r.stream.Delivered() == 0 {
		request.Deadline = r.request.deadline
	}
	return request
}

// again decides after an attempt that another may follow. A nil Failure means that the backoff has
// passed and the request may be dispatched again.
func (r *run) again(ctx context.Context) *Failure {
	r.ends = append(r.ends, r.end)
	decision := r.entry.retries.next(r.history())
	if !decision.Retry {
		return r.gaveUp(decision.RetryAfter)
	}
	if decision.Delay == 0 {
		return nil
	}
	timer := time.NewTimer(decision.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r.hungUp()
	case <-timer.C:
		return nil
	}
}

// gaveUp is the failure of a request that was tried in vain. It says not run only when no attempt
// has run.
func (r *run) gaveUp(after time.Duration) *Failure {
	message := "no replica of service " + quote(r.request.service.Name) + " took the request"
	if r.lastReason != nil {
		message += ": " + r.lastReason.GetMessage()
	}
	history := r.history()
	if r.stream.Delivered() > 0 || history.Outcome() != wire.Outcome_OUTCOME_NOT_RUN {
		failure := unknown(CodeInterrupted, fasthttp.StatusBadGateway, message)
		if r.request.kind.Idempotent {
			failure.RetryAfter = after
		}
		return failure
	}
	return retryable(CodeBusy, fasthttp.StatusServiceUnavailable, message, after)
}

// retryAfter is when a caller may come back after the attempts so far.
func (r *run) retryAfter() time.Duration {
	if len(r.ends) > 0 && r.ends[len(r.ends)-1].RetryAfter > 0 {
		return r.ends[len(r.ends)-1].RetryAfter
	}
	return busyRetryAfter
}
