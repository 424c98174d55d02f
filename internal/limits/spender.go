package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Spender spends grants at one entry. It is not safe for concurrent use.
//
// Invariant: it admits at most what it was granted, plus its share of the first interval and one
// request. Without an owner it admits at most the entry's share of the limit.
type Spender struct {
	accounts    map[string]*account
	liveEntries int // last known number of live entries, this one included; 0 while not known
}

// account is the state of one organisation at this entry.
type account struct {
	limit Limit
	// balance is what may be spent. The next grants repay a negative balance.
	balance Amount
	expires time.Time
	// newDemand is the demand since the last draw, refused requests included.
	newDemand Amount
	// demand is the moving average of the demand in a second.
	demand         Amount
	newDemandSince time.Time
	nextDraw       time.Time
	interval       time.Duration
	drawPending    bool
	// requested is the amount of the latest draw. fullyGranted is true when the owner granted all of it.
	requested    Amount
	fullyGranted bool
	failures     int
	// rate is what the last grant allows in a second.
	rate     Amount
	filledAt time.Time
	usedAt   time.Time
}

// Decision is the result of Spend.
type Decision struct {
	Allowed bool
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	// Draw is true when a draw is due, so that the caller should draw soon.
	Draw bool
}

// NewSpender returns a Spender without accounts. It has no share of a limit until SetLive is called,
// because the number of entries is not known.
func NewSpender() *Spender {
	return &Spender{accounts: make(map[string]*account)}
}

// SetLive sets the number of live entries, this one included.
func (s *Spender) SetLive(entries int) { s.liveEntries = max(entries, 1) }

// Spend takes one request with its estimated tokens from the organisation's balance.
func (s *Spender) Spend(now time.Time, organisation string, limit Limit, tokens float64) Decision {
	if limit.unlimited() {
		return Decision{Allowed: true}
	}
	a := s.account(now, organisation, limit)
	a.newDemand.Requests++
	a.newDemand.Tokens += tokens
	a.usedAt = now
	s.updateBalance(now, a)
	spendable := a.spendable()
	if !spendable {
		a.drawEarly(now)
	}
	draw := !a.drawPending && !now.Before(a.nextDraw)
	if !spendable {
		return Decision{RetryAfter: s.retryAfter(now, a), Draw: draw}
	}
	a.balance.Requests--
	a.balance.Tokens -= tokens
	return Decision{Allowed: true, Draw: draw}
}

// Refund returns tokens that a request was estimated to use but did not use.
func (s *Spender) Refund(organisation string, tokens float64) {
	if a := s.accounts[organisation]; a != nil && tokens > 0 {
		a.balance.Tokens += tokens
	}
}

// Due returns the draws to send now, sorted by organisation. The result of each must be passed to
// Granted or Failed. Due also deletes idle accounts.
func (s *Spender) Due(now time.Time) []Draw {
	var due []Draw
	for name, a := range s.accounts {
		s.updateBalance(now, a)
		if a.drawPending || now.Before(a.nextDraw) {
			continue
		}
		if a.idle() {
			if now.Sub(a.usedAt) >= accountIdleTime {
				delete(s.accounts, name)
			}
			continue
		}
		a.drawPending = true
		due = append(due, Draw{Organisation: name, Requested: a.requestAmount(now)})
	}
	slices.SortFunc(due, func(a, b Draw) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return due
}

// Granted records the owner's reply to a draw. The grant covers the interval that the draw was for, so
// the next draw follows after that interval, or earlier if the owner's interval is shorter. The interval
// then grows towards the owner's, at most doubling with each grant.
func (s *Spender) Granted(now time.Time, organisation string, g Grant) {
	a := s.accounts[organisation]
	if a == nil {
		return
	}
	s.updateBalance(now, a)
	a.drawPending = false
	a.failures = 0
	a.fullyGranted = g.Requests >= a.requested.Requests && g.Tokens >= a.requested.Tokens
	requestedInterval := a.interval
	ownerInterval := min(max(g.Valid/2, minInterval), maxInterval)
	a.interval = min(ownerInterval, 2*requestedInterval)
	a.balance.Requests += g.Requests
	a.balance.Tokens += g.Tokens
	a.rate = Amount{Requests: g.Requests / requestedInterval.Seconds(), Tokens: g.Tokens / requestedInterval.Seconds()}
	a.expires = now.Add(g.Valid)
	a.nextDraw = now.Add(min(requestedInterval, ownerInterval))
}

// Failed records a draw to which the owner did not reply. After maxFailedDraws consecutive failures the
// entry falls back to its share of the limit.
func (s *Spender) Failed(now time.Time, organisation string) {
	a := s.accounts[organisation]
	if a == nil {
		return
	}
	a.drawPending = false
	a.failures++
	a.nextDraw = now.Add(minInterval)
	if a.failures == maxFailedDraws {
		a.filledAt = now
	}
}

// Organisations returns the number of organisations with an account.
func (s *Spender) Organisations() int { return len(s.accounts) }

// CountLost returns the number of organisations whose owner counts as lost.
func (s *Spender) CountLost() int {
	count := 0
	for _, a := range s.accounts {
		if a.failures >= maxFailedDraws {
			count++
		}
	}
	return count
}

func (s *Spender) account(now time.Time, organisation string, limit Limit) *account {
	a := s.accounts[organisation]
	if a == nil {
		a = &account{limit: limit, newDemandSince: now, nextDraw: now, interval: minInterval, filledAt: now}
		share := s.share(limit)
		a.balance = Amount{Requests: share.Requests * minInterval.Seconds(), Tokens: share.Tokens * minInterval.Seconds()}
		a.expires = now.Add(minInterval)
		s.accounts[organisation] = a
	}
	a.limit = limit
	return a
}

// share returns this entry's part of a limit, per second, when all live entries have equal parts.
func (s *Spender) share(limit Limit) Amount {
	if s.liveEntries == 0 {
		return Amount{}
	}
	return Amount{Requests: limit.Requests / float64(s.liveEntries), Tokens: limit.Tokens / float64(s.liveEntries)}
}

// updateBalance expires grants and, without an owner, fills the balance with the entry's share.
func (s *Spender) updateBalance(now time.Time, a *account) {
	if a.failures >= maxFailedDraws {
		s.fillFromShare(now, a)
		return
	}
	if !now.Before(a.expires) {
		a.balance.Requests = min(a.balance.Requests, 0)
		a.balance.Tokens = min(a.balance.Tokens, 0)
	}
}

func (s *Spender) fillFromShare(now time.Time, a *account) {
	seconds := max(now.Sub(a.filledAt).Seconds(), 0)
	a.filledAt = now
	a.rate = s.share(a.limit)
	interval := minInterval.Seconds()
	a.balance.Requests = min(a.balance.Requests+seconds*a.rate.Requests, a.rate.Requests*interval)
	a.balance.Tokens = min(a.balance.Tokens+seconds*a.rate.Tokens, a.rate.Tokens*interval)
	a.expires = now.Add(minInterval)
}

func (s *Spender) retryAfter(now time.Time, a *account) time.Duration {
	share := s.share(a.limit)
	seconds := max(
		repayTime(a.limit.Requests, a.balance.Requests, max(a.rate.Requests, share.Requests)),
		repayTime(a.limit.Tokens, a.balance.Tokens, max(a.rate.Tokens, share.Tokens)),
	)
	after := max(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), a.nextDraw.Sub(now))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// repayTime returns the number of seconds until a negative balance is repaid.
func repayTime(limit, balance, rate float64) float64 {
	if limit <= 0 || balance >= 0 || rate <= 0 {
		return 0
	}
	return -balance / rate
}

// spendable reports whether no limited balance is overdrawn.
func (a *account) spendable() bool {
	return (a.limit.Requests <= 0 || a.balance.Requests >= 0) && (a.limit.Tokens <= 0 || a.balance.Tokens >= 0)
}

// idle reports whether nothing was requested since the last draw and no balance is negative.
func (a *account) idle() bool {
	return a.newDemand == Amount{} && a.spendable()
}

// drawEarly lets an exhausted account draw before the end of its interval if the owner granted its last
// draw in full. If the owner already grants all that it has, drawing more often gains nothing.
func (a *account) drawEarly(now time.Time) {
	earliest := a.newDemandSince.Add(a.interval / earlyDraws)
	if a.fullyGranted && earliest.Before(a.nextDraw) {
		a.nextDraw = earliest
	}
}

// requestAmount returns the amount of the next draw and records it in requested.
func (a *account) requestAmount(now time.Time) Amount {
	a.requested = a.updateDemand(now)
	return a.requested
}

// updateDemand adds what was requested since the last draw to the moving average of the demand. It returns the
// demand of one interval with headroom, less the balance.
func (a *account) updateDemand(now time.Time) Amount {
	seconds := max(now.Sub(a.newDemandSince).Seconds(), minInterval.Seconds())
	a.demand.Requests += demandSmoothing * (a.newDemand.Requests/seconds - a.demand.Requests)
	a.demand.Tokens += demandSmoothing * (a.newDemand.Tokens/seconds - a.demand.Tokens)
	a.demand.Requests = max(a.demand.Requests, a.newDemand.Requests/seconds)
	a.demand.Tokens = max(a.demand.Tokens, a.newDemand.Tokens/seconds)
	a.newDemand = Amount{}
	a.newDemandSince = now
	requests := a.demand.Requests * a.interval.Seconds()
	factor := min(1+headroomDeviations/math.Sqrt(max(requests, 1)), maxHeadroomFactor)
	return Amount{
		Requests: max(requests*factor-a.balance.Requests, 0),
		Tokens:   max(a.demand.Tokens*a.interval.Seconds()*factor-a.balance.Tokens, 0),
	}
}
