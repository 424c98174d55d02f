package dispatch

import "time"

// BudgetConfig bounds how often requests are sent again, over all gateways.
type BudgetConfig struct {
	// Ratio is the share of the requests of a window that may be sent again.
	Ratio float64
	// Slack may be sent again besides, in each window.
	Slack float64
	// Window is the length of a sliding window.
	Window time.Duration
	// Gateways share Slack; at least 1.
	Gateways int
}

// budgetShare is the part of the allowance that is used, since gateways that start or restart don't know
// what was spent before.
const budgetShare = 0.8

// budgetSteps is the number of steps that a window is counted in.
const budgetSteps = 20

// Budget counts the repeats of one service at one gateway in a sliding window.
//
// Invariant: in any span of Window, the repeats of this gateway are at most Ratio times its requests of
// that span plus its part of Slack, and so the sum over all gateways keeps the bound.
type Budget struct {
	config   BudgetConfig
	requests [budgetSteps]float64
	repeats  [budgetSteps]float64
	at       int64
}

// step moves the window on to now.
func (b *Budget) step(now time.Time) int {
	length := b.config.Window / budgetSteps
	step := now.UnixNano() / max(1, int64(length))
	if step-b.at >= budgetSteps {
		clear(b.requests[:])
		clear(b.repeats[:])
		b.at = step
	}
	for b.at < step {
		b.at++
		b.requests[b.at%budgetSteps] = 0
		b.repeats[b.at%budgetSteps] = 0
	}
	return int(b.at % budgetSteps)
}

// Request counts the first sending of a request.
func (b *Budget) Request(now time.Time) { b.requests[b.step(now)]++ }

// Take counts a repeat if there is room for it.
func (b *Budget) Take(now time.Time) bool {
	step := b.step(now)
	if b.Left(now) < 1 {
		return false
	}
	b.repeats[step]++
	return true
}

// Left returns how many repeats are allowed now.
func (b *Budget) Left(now time.Time) float64 {
	b.step(now)
	requests, repeats := 0.0, 0.0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := b.config.Ratio*requests + b.config.Slack/float64(max(1, b.config.Gateways))
	return budgetShare*allowed - repeats
}

// SetBudget takes new bounds; what was spent stays counted.
func (d *Dispatcher) SetBudget(config BudgetConfig) {
	d.budget = config
	for _, b := range d.budgets {
		b.config = config
	}
}

// SetGateways takes the number of gateways that share the slack.
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

// CountRequest counts a request of a caller to the service.
func (d *Dispatcher) CountRequest(now time.Time, service string) { d.budgetOf(service).Request(now) }

// TakeRepeat reports whether a request to the service may be sent again, and counts that.
func (d *Dispatcher) TakeRepeat(now time.Time, service string) bool {
	return d.budgetOf(service).Take(now)
}
