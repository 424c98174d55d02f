package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var outcomes = []wire.Outcome{
	wire.Outcome_OUTCOME_UNSPECIFIED,
	wire.Outcome_OUTCOME_NOT_RUN,
	wire.Outcome_OUTCOME_UNKNOWN,
	wire.Outcome_OUTCOME_RUNNING,
	wire.Outcome_OUTCOME_FAILED,
}

// TestNonIdempotentIsRetriedOnlyWhenProvenNotRun also checks that the final outcome is NOT_RUN only if no attempt has
// run.
func TestNonIdempotentIsRetriedOnlyWhenProvenNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(DefaultConfig(1))
		r := Request{Service: "booking", Idempotent: rapid.Bool().Draw(t, "idempotent")}
		notRun := true
		for range rapid.IntRange(1, 8).Draw(t, "attempts") {
			a := Attempt{
				Outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
				Reason:  wire.RefusalReason(rapid.IntRange(0, 10).Draw(t, "reason")),
			}
			notRun = notRun && a.Outcome == wire.Outcome_OUTCOME_NOT_RUN
			r.History = append(r.History, a)
		}
		d := p.Next(start, r)
		if d.Retry && !r.Idempotent && !notRun {
			t.Fatalf("request is retried after %+v", r.History)
		}
		if !d.Retry && (d.Outcome == wire.Outcome_OUTCOME_NOT_RUN) != notRun {
			t.Fatalf("outcome is %v after %+v", d.Outcome, r.History)
		}
		if d.Retry && len(r.History) >= p.config.MaxAttempts {
			t.Fatalf("attempt %d exceeds MaxAttempts", len(r.History)+1)
		}
	})
}

// TestOutageDoesNotMultiplyLoad sends 100 requests a second for ten minutes. After the first minute all requests fail.
// It checks that the retries stay within the bound of the budget.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	c := qt.New(t)
	p := New(DefaultConfig(1))
	now := start
	requests, attempts, successes := 0, 0, 0
	for range 60000 {
		now = now.Add(10 * time.Millisecond)
		requests++
		r := Request{Service: "assistant", Idempotent: true}
		for retry := true; retry; {
			attempts++
			if now.Sub(start) < time.Minute {
				successes++
				p.Succeeded(now, "assistant")
				break
			}
			r.History = append(r.History, Attempt{Outcome: wire.Outcome_OUTCOME_UNKNOWN})
			retry = p.Next(now, r).Retry
		}
	}
	budget := DefaultBudgetConfig()
	bound := budget.Burst + budget.PerSecond*now.Sub(start).Seconds()
	c.Assert(successes > 0, qt.IsTrue)
	c.Assert(attempts > requests, qt.IsTrue)
	c.Assert(float64(attempts-requests) <= bound, qt.IsTrue, qt.Commentf("%d retries, bound %.0f", attempts-requests, bound))
	t.Logf("%d requests, %d attempts", requests, attempts)
}

func TestRollingRestartDoesNotUseUpTheBudget(t *testing.T) {
	c := qt.New(t)
	p := New(DefaultConfig(1))
	leaving := Attempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.RefusalReason_REFUSAL_REASON_LEAVING}
	for range 1000 {
		d := p.Next(start, Request{Service: "assistant", History: []Attempt{leaving}})
		c.Assert(d, qt.Equals, Decision{Retry: true})
	}
}

func TestFinalDecisionHasRetryAfter(t *testing.T) {
	c := qt.New(t)
	full := Attempt{
		Outcome:    wire.Outcome_OUTCOME_NOT_RUN,
		Reason:     wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
		RetryAfter: 700 * time.Millisecond,
	}
	r := Request{Service: "assistant", Deadline: start.Add(time.Millisecond), History: []Attempt{full}}
	p := New(DefaultConfig(1))
	c.Assert(p.Next(start, r), qt.Equals, Decision{Outcome: wire.Outcome_OUTCOME_NOT_RUN, RetryAfter: 700 * time.Millisecond})

	// The caller must not retry, under a new key, a non-idempotent request that may have run.
	lost := Request{Service: "booking", History: []Attempt{full, {Outcome: wire.Outcome_OUTCOME_UNKNOWN}}}
	c.Assert(p.Next(start, lost), qt.Equals, Decision{Outcome: wire.Outcome_OUTCOME_UNKNOWN})

	// A request is not retried once the budget is exhausted.
	r.Deadline = time.Time{}
	for p.Next(start, r).Retry {
	}
	c.Assert(p.Next(start, r).RetryAfter, qt.Equals, 2*time.Second)
}

func TestBackoffIsSeededAndBounded(t *testing.T) {
	c := qt.New(t)
	delays := func() (all []time.Duration) {
		p := New(DefaultConfig(7))
		for attempts := range 12 {
			all = append(all, p.backoff(Attempt{}, attempts+1))
		}
		return all
	}
	first := delays()
	c.Assert(delays(), qt.DeepEquals, first)
	for _, d := range first {
		c.Assert(d >= 10*time.Millisecond && d <= 500*time.Millisecond, qt.IsTrue)
	}
}
