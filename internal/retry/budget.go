package retry

import "time"

// BudgetConfig bounds the retries of a service.
type BudgetConfig struct {
	// Ratio is the number of retries earned by one success.
	Ratio float64
	// PerSecond is the number of retries earned each second even without successes, so that a service with few
	// requests can retry at all.
	PerSecond float64
	// Burst bounds the number of retries that can be saved up.
	Burst float64
}

// DefaultBudgetConfig returns a budget of one retry for five successes. Its burst is the number of requests that an
// entry has in flight at the replicas of one failure domain.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, PerSecond: 0.5, Burst: 100}
}

// Budget is the retry budget of one service in one process.
//
// Invariant: over any period the retries taken are at most Burst + Ratio x successes +
// PerSecond x seconds, so an outage cannot multiply the load by more than that.
type Budget struct {
	config   BudgetConfig
	tokens   float64
	filledAt time.Time
	taken    uint64
	refused  uint64
}

// NewBudget returns a full Budget.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Burst, filledAt: now}
}

// Succeeded adds the Ratio that a success earns.
func (b *Budget) Succeeded(now time.Time) {
	b.fill(now)
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Take uses one retry. It returns false if none is left.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.taken++
	return true
}

// UntilNextRetry returns the time until a retry is available if there are no successes; zero if one is available now or
// none is earned over time.
func (b *Budget) UntilNextRetry() time.Duration {
	if b.tokens >= 1 || b.config.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.config.PerSecond * float64(time.Second))
}

func (b *Budget) fill(now time.Time) {
	seconds := now.Sub(b.filledAt).Seconds()
	if seconds <= 0 {
		return
	}
	b.filledAt = now
	b.tokens = min(b.tokens+seconds*b.config.PerSecond, b.config.Burst)
}
