// Package retry decides whether a request that did not succeed is dispatched again. It owns the
// retry budgets of a process, its backoff and the rule for requests that are not idempotent: they
// are dispatched again only if every earlier attempt is proven not to have run. Entries call it
// after each attempt. It starts no goroutines and takes no locks.
package retry

import (
	"math/rand/v2"
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Bounds of the RetryAfter that is returned to a caller.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config sets the limits of retries.
type Config struct {
	Budget BudgetConfig
	// MaxAttempts bounds the number of dispatches of one request.
	MaxAttempts int
	// BaseBackoff is the maximum delay before the first retry; it doubles with each retry up to MaxBackoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// Seed makes the jitter reproducible.
	Seed uint64
}

// DefaultConfig returns the limits for requests whose caller waits for the response.
func DefaultConfig(seed uint64) Config {
	return Config{
		Budget:      DefaultBudgetConfig(),
		MaxAttempts: 6,
		BaseBackoff: 20 * time.Millisecond,
		MaxBackoff:  500 * time.Millisecond,
		Seed:        seed,
	}
}

// Attempt is the result of one dispatch.
type Attempt struct {
	Outcome wire.Outcome
	// Reason is the cause of a refusal; unspecified for other outcomes.
	Reason wire.RefusalReason
	// RetryAfter is the delay requested by the agent; zero if it requested none.
	RetryAfter time.Duration
}

// Request is a request after its latest attempt.
type Request struct {
	Service    string
	Idempotent bool
	// Deadline is the time before which another dispatch must start; the zero time means none.
	Deadline time.Time
	// History holds all attempts, oldest first.
	History []Attempt
}

// Decision is the result of Policy.Next.
type Decision struct {
	// Retry asks for another dispatch after Delay.
	Retry bool
	Delay time.Duration
	// Outcome is the final outcome of the request if Retry is false. NOT_RUN means that no attempt has run.
	Outcome wire.Outcome
	// RetryAfter is the time after which the caller may retry; zero if a retry makes no sense.
	RetryAfter time.Duration
}

// Policy decides on the retries of all requests of a process.
type Policy struct {
	config  Config
	budgets map[string]*Budget
	jitter  *rand.Rand
}

// New returns a Policy whose budgets are full.
func New(config Config) *Policy {
	return &Policy{
		config:  config,
		budgets: make(map[string]*Budget),
		jitter:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
}

// Succeeded records a success, which earns retry budget for the service.
func (p *Policy) Succeeded(now time.Time, service string) {
	p.budget(now, service).Succeeded(now)
}

// Next decides whether a request is retried after its latest attempt. History must not be empty.
func (p *Policy) Next(now time.Time, r Request) Decision {
	last := r.History[len(r.History)-1]
	if last.Outcome == wire.Outcome_OUTCOME_DONE {
		return Decision{Outcome: wire.Outcome_OUTCOME_DONE}
	}
	if !r.retryable() || isFinal(last.Reason) || len(r.History) >= p.config.MaxAttempts {
		return p.finalDecision(now, r)
	}
	delay := p.backoff(last, len(r.History))
	if !r.Deadline.IsZero() && !now.Add(delay).Before(r.Deadline) {
		return p.finalDecision(now, r)
	}
	if !isRedirect(last) && !p.budget(now, r.Service).Take(now) {
		return p.finalDecision(now, r)
	}
	return Decision{Retry: true, Delay: delay}
}

// retryable reports whether the request may be dispatched again: either it may run more than once, or no attempt has
// run.
func (r *Request) retryable() bool {
	return r.Idempotent || r.Outcome() == wire.Outcome_OUTCOME_NOT_RUN
}

// Outcome returns the outcome of the request over all attempts: NOT_RUN only if no attempt has run.
func (r *Request) Outcome() wire.Outcome {
	worst := wire.Outcome_OUTCOME_NOT_RUN
	for _, a := range r.History {
		switch a.Outcome {
		case wire.Outcome_OUTCOME_NOT_RUN:
		case wire.Outcome_OUTCOME_FAILED:
			if worst == wire.Outcome_OUTCOME_NOT_RUN {
				worst = wire.Outcome_OUTCOME_FAILED
			}
		default:
			worst = wire.Outcome_OUTCOME_UNKNOWN
		}
	}
	return worst
}

// finalDecision returns the decision for a request that is not retried.
func (p *Policy) finalDecision(now time.Time, r Request) Decision {
	outcome := r.Outcome()
	last := r.History[len(r.History)-1]
	if !r.Idempotent && outcome != wire.Outcome_OUTCOME_NOT_RUN || last.Reason == wire.RefusalReason_REFUSAL_REASON_NOT_SERVED {
		return Decision{Outcome: outcome}
	}
	after := max(last.RetryAfter, p.budget(now, r.Service).UntilNextRetry(), minRetryAfter)
	return Decision{Outcome: outcome, RetryAfter: min(after, maxRetryAfter)}
}

// isFinal reports whether every other replica would refuse the request for the same reason.
func isFinal(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_REASON_ORGANISATION_LIMIT, wire.RefusalReason_REFUSAL_REASON_NOT_SERVED:
		return true
	default:
		return false
	}
}

// isRedirect reports whether an agent refused the request only because another replica must run it. Such a refusal
// costs no work and is no sign of overload, so the retry needs neither budget nor backoff.
func isRedirect(a Attempt) bool {
	if a.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	switch a.Reason {
	case wire.RefusalReason_REFUSAL_REASON_LEAVING,
		wire.RefusalReason_REFUSAL_REASON_STALE_CONFIGURATION,
		wire.RefusalReason_REFUSAL_REASON_WRONG_INCARNATION,
		wire.RefusalReason_REFUSAL_REASON_WRONG_VERSION:
		return true
	default:
		return false
	}
}

// backoff returns the delay after the given number of attempts. It is uniformly distributed between half and all of
// an exponentially growing bound, and zero after a redirect.
func (p *Policy) backoff(last Attempt, attempts int) time.Duration {
	if isRedirect(last) {
		return 0
	}
	bound := min(p.config.BaseBackoff<<min(attempts-1, 16), p.config.MaxBackoff)
	half := bound / 2
	return half + time.Duration(p.jitter.Float64()*float64(half))
}

func (p *Policy) budget(now time.Time, service string) *Budget {
	b := p.budgets[service]
	if b == nil {
		b = NewBudget(p.config.Budget, now)
		p.budgets[service] = b
	}
	return b
}

// BudgetState is the state of one service's budget in a dump.
type BudgetState struct {
	// Left is the number of retries left in the budget.
	Left float64 `json:"left"`
	// Taken and Refused count granted and refused retries since the start of the process.
	Taken   uint64 `json:"taken"`
	Refused uint64 `json:"refused"`
}

// State returns the budgets by service.
func (p *Policy) State() map[string]BudgetState {
	states := make(map[string]BudgetState, len(p.budgets))
	for service, b := range p.budgets {
		states[service] = BudgetState{Left: b.tokens, Taken: b.taken, Refused: b.refused}
	}
	return states
}
