// Package retry decides whether a request that did not succeed is dispatched again. It owns the
// retry budgets of a process, its backoff and the rule for requests that are not idempotent: they
// are dispatched again only when every earlier attempt is proven not to have run. Entries call it
// after each attempt. It starts no goroutines and takes no locks.
package retry

import (
	"math/rand/v2"
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Bounds of the RetryAfter that a caller is told.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Config sets the limits of retrying.
type Config struct {
	Budget BudgetConfig
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts int
	// BaseBackoff is the longest delay before the first retry; it doubles up to MaxBackoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// Seed makes the jitter repeatable.
	Seed uint64
}

// DefaultConfig returns the limits for requests with a caller waiting.
func DefaultConfig(seed uint64) Config {
	return Config{
		Budget:      DefaultBudgetConfig(),
		MaxAttempts: 6,
		BaseBackoff: 20 * time.Millisecond,
		MaxBackoff:  500 * time.Millisecond,
		Seed:        seed,
	}
}

// Attempt is the end of one dispatch.
type Attempt struct {
	Outcome wire.Outcome
	// Reason is the cause of a refusal; unspecified for other ends.
	Reason wire.RefusalReason
	// RetryAfter is what the agent said; zero when it said nothing.
	RetryAfter time.Duration
}

// Request is a request after its latest attempt.
type Request struct {
	Service    string
	Idempotent bool
	// Deadline is the latest time for another dispatch; zero means none.
	Deadline time.Time
	// History holds all attempts, oldest first.
	History []Attempt
}

// Decision tells what follows.
type Decision struct {
	// Retry asks for another dispatch after Delay.
	Retry bool
	Delay time.Duration
	// Outcome is the final answer when Retry is false. NOT_RUN means that no attempt has run.
	Outcome wire.Outcome
	// RetryAfter is when the caller may come back; zero when that makes no sense.
	RetryAfter time.Duration
}

// Policy decides about retries for all requests of a process.
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

// Succeeded earns budget for the service.
func (p *Policy) Succeeded(now time.Time, service string) {
	p.budget(now, service).Succeeded(now)
}

// Next decides after the latest attempt of a request. History must not be empty.
func (p *Policy) Next(now time.Time, r Request) Decision {
	last := r.History[len(r.History)-1]
	if last.Outcome == wire.Outcome_OUTCOME_DONE {
		return Decision{Outcome: wire.Outcome_OUTCOME_DONE}
	}
	if !r.repeatable() || final(last.Reason) || len(r.History) >= p.config.MaxAttempts {
		return p.giveUp(now, r)
	}
	delay := p.delay(last, len(r.History))
	if !r.Deadline.IsZero() && !now.Add(delay).Before(r.Deadline) {
		return p.giveUp(now, r)
	}
	if !redirect(last) && !p.budget(now, r.Service).Take(now) {
		return p.giveUp(now, r)
	}
	return Decision{Retry: true, Delay: delay}
}

// repeatable reports whether another dispatch cannot run the request a second time, or may.
func (r *Request) repeatable() bool {
	return r.Idempotent || r.Outcome() == wire.Outcome_OUTCOME_NOT_RUN
}

// Outcome returns what is known about the request as a whole: NOT_RUN only when no attempt has run.
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

// giveUp returns the final answer of a request.
func (p *Policy) giveUp(now time.Time, r Request) Decision {
	outcome := r.Outcome()
	last := r.History[len(r.History)-1]
	if !r.Idempotent && outcome != wire.Outcome_OUTCOME_NOT_RUN || last.Reason == wire.RefusalReason_REFUSAL_REASON_NOT_SERVED {
		return Decision{Outcome: outcome}
	}
	after := max(last.RetryAfter, p.budget(now, r.Service).Until(), minRetryAfter)
	return Decision{Outcome: outcome, RetryAfter: min(after, maxRetryAfter)}
}

// final reports whether no other replica would answer differently.
func final(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_REASON_ORGANISATION_LIMIT, wire.RefusalReason_REFUSAL_REASON_NOT_SERVED:
		return true
	default:
		return false
	}
}

// redirect reports whether an agent only sent the request elsewhere. Such a refusal costs no work
// and is no sign of overload, so it needs neither budget nor backoff.
func redirect(a Attempt) bool {
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

// delay returns the backoff after the given number of attempts: uniform between half and all of
// an exponentially growing bound.
func (p *Policy) delay(last Attempt, attempts int) time.Duration {
	if redirect(last) {
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

// BudgetState is what dump shows of one service.
type BudgetState struct {
	// Left is how many retries the budget holds.
	Left float64 `json:"left"`
	// Taken and Refused count retries since the start.
	Taken   uint64 `json:"taken"`
	Refused uint64 `json:"refused"`
}

// State returns the budgets by service.
func (p *Policy) State() map[string]BudgetState {
	shown := make(map[string]BudgetState, len(p.budgets))
	for service, b := range p.budgets {
		shown[service] = BudgetState{Left: b.tokens, Taken: b.taken, Refused: b.refused}
	}
	return shown
}
