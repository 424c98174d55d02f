package retry

import "time"

// BudgetConfig sets how many retries a service may have.
type BudgetConfig struct {
	// Ratio is the retries earned by one success.
	Ratio float64
	// PerSecond is the retries earned each second without any success, so that a quiet service
	// can retry at all.
	PerSecond float64
	// Burst bounds the retries that can be saved up.
	Burst float64
}

// DefaultBudgetConfig allows one retry for five successes, and as many at once as an entry has in
// flight at the replicas of a failure domain.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, PerSecond: 0.5, Burst: 100}
}

// Budget is the retry allowance of one service in one process.
//
// Invariant: over any time the retries taken are at most Burst + Ratio x successes +
// PerSecond x seconds, so an outage cannot multiply the load by more than that.
type Budget struct {
	config  BudgetConfig
	tokens  float64
	filled  time.Time
	taken   uint64
	refused uint64
}

// NewBudget returns a full Budget.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	return &Budget{config: config, tokens: config.Burst, filled: now}
}

// Succeeded earns the share of a retry that a success is worth.
func (b *Budget) Succeeded(now time.Time) {
	b.fill(now)
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
}

// Take uses one retry. It returns false when none is left.
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

// Until returns how long it takes at least until a retry is earned without successes.
func (b *Budget) Until() time.Duration {
	if b.tokens >= 1 || b.config.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.config.PerSecond * float64(time.Second))
}

func (b *Budget) fill(now time.Time) {
	seconds := now.Sub(b.filled).Seconds()
	if seconds <= 0 {
		return
	}
	b.filled = now
	b.tokens = min(b.tokens+seconds*b.config.PerSecond, b.config.Burst)
}
