package dispatch

import "time"

// BudgetConfig bounds the retries of all gateways together.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per request of a window.
	Ratio float64
	// Slack is the number of retries allowed in each window in addition to Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Gateways is the number of gateways that share Slack; at least 1.
	Gateways int
}

// budgetUsableShare is the part of the allowance that is used, because gateways that start or restart have no count of
// the retries spent before.
const budgetUsableShare = 0.8

// budgetSteps is the number of steps into which a window is divided for counting.
const budgetSteps = 20

// Budget limits the retries of one service at one gateway in a sliding window.
//
// Invariant: in any span of Window, the retries of this gateway are at most Ratio times its requests of
// that span plus its part of Slack, so the sum over all gateways stays within the bound.
type Budget struct {
	config   BudgetConfig
	requests [budgetSteps]float64
	retries  [budgetSteps]float64
	current  int64
}

// advance moves the window to now and returns the index of the current step.
func (b *Budget) advance(now time.Time) int {
	length := b.config.Window / budgetSteps
	step := now.UnixNano() / max(1, int64(length))
	if step-b.current >= budgetSteps {
		clear(b.requests[:])
		clear(b.retries[:])
		b.current = step
	}
	for b.current < step {
		b.current++
		b.requests[b.current%budgetSteps] = 0
		b.retries[b.current%budgetSteps] = 0
	}
	return int(b.current % budgetSteps)
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// Take counts a retry and returns true if the budget allows one; otherwise it returns false.
func (b *Budget) Take(now time.Time) bool {
	step := b.advance(now)
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries[step]++
	return true
}

// Remaining returns how many more retries are allowed now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	requests, retries := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := b.config.Ratio*requests + b.config.Slack/float64(max(1, b.config.Gateways))
	return budgetUsableShare*allowed - retries
}

// SetBudget replaces the bounds. Retries already counted stay counted.
func (d *Dispatcher) SetBudget(config BudgetConfig) {
	d.budget = config
	for _, b := range d.budgets {
		b.config = config
	}
}

// SetGateways sets the number of gateways that share Slack.
func (d *Dispatcher) SetGateways(n int) {
	config := d.budget
	config.Gateways = n
	d.SetBudget(config)
}

func (d *Dispatcher) budgetOf(service string) *Budget {
	b := d.budgets[service]
	if b == nil {
		b = &Budget{config: d.budget}
		d.budgets[service] = b
	}
	return b
}

// CountRequest counts the first attempt of a caller's request to the service.
func (d *Dispatcher) CountRequest(now time.Time, service string) {
	d.budgetOf(service).CountRequest(now)
}

// TakeRetry reports whether a request to the service may be retried, and counts the retry if so.
func (d *Dispatcher) TakeRetry(now time.Time, service string) bool {
	return d.budgetOf(service).Take(now)
}
