package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Spender spends grants at one entry.
//
// Invariant: what it admitted is at most what it was granted, the share of its first interval and
// one request more; without a home, at most the entry's share of the limit.
type Spender struct {
	accounts map[string]*account
	live     int // entries that are believed to live, this one included; 0 while not known
}

// account is one organisation at this entry.
type account struct {
	limit Limit
	// balance is what may be spent; a negative one is repaid by the next grants.
	balance Amount
	expires time.Time
	// wanted is the demand since the last draw, refused requests included.
	wanted Amount
	// demand is the mean of what was wanted in a second.
	demand   Amount
	since    time.Time
	nextDraw time.Time
	interval time.Duration
	drawing  bool
	// asked is what the latest draw asked for; ample says that the home gave all of it.
	asked    Amount
	ample    bool
	failures int
	// rate is what the last grant allows in a second.
	rate   Amount
	filled time.Time
	used   time.Time
}

// Decision is the answer to a request.
type Decision struct {
	Allowed bool
	// RetryAfter is when a refused caller may try again.
	RetryAfter time.Duration
	// Draw asks the caller to draw soon.
	Draw bool
}

// NewSpender returns a Spender for an entry that does not know the others yet. Until SetLive is
// called it has no share of a limit.
func NewSpender() *Spender {
	return &Spender{accounts: make(map[string]*account)}
}

// SetLive tells how many entries live, this one included.
func (s *Spender) SetLive(entries int) { s.live = max(entries, 1) }

// Spend takes one request with its estimated tokens from the organisation's balance.
func (s *Spender) Spend(now time.Time, organisation string, limit Limit, tokens float64) Decision {
	if limit.none() {
		return Decision{Allowed: true}
	}
	a := s.account(now, organisation, limit)
	a.wanted.Requests++
	a.wanted.Tokens += tokens
	a.used = now
	s.settle(now, a)
	spendable := a.spendable()
	if !spendable {
		a.drawEarly(now)
	}
	draw := !a.drawing && !now.Before(a.nextDraw)
	if !spendable {
		return Decision{RetryAfter: s.retryAfter(now, a), Draw: draw}
	}
	a.balance.Requests--
	a.balance.Tokens -= tokens
	return Decision{Allowed: true, Draw: draw}
}

// Refund gives back tokens that a request was estimated to use but did not.
func (s *Spender) Refund(organisation string, tokens float64) {
	if a := s.accounts[organisation]; a != nil && tokens > 0 {
		a.balance.Tokens += tokens
	}
}

// Due returns the draws to send now, in order of organisation. Each must be answered by Granted or
// Failed.
func (s *Spender) Due(now time.Time) []Draw {
	var due []Draw
	for name, a := range s.accounts {
		s.settle(now, a)
		if a.drawing || now.Before(a.nextDraw) {
			continue
		}
		if a.idle() {
			if now.Sub(a.used) >= accountIdle {
				delete(s.accounts, name)
			}
			continue
		}
		a.drawing = true
		due = append(due, Draw{Organisation: name, Want: a.ask(now)})
	}
	slices.SortFunc(due, func(a, b Draw) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return due
}

// Granted takes the answer to a draw. The grant covers the interval that was asked for, so the next
// draw comes after that or when the home says; the interval then grows by steps to what the home
// wants.
func (s *Spender) Granted(now time.Time, organisation string, g Grant) {
	a := s.accounts[organisation]
	if a == nil {
		return
	}
	s.settle(now, a)
	a.drawing = false
	a.failures = 0
	a.ample = g.Requests >= a.asked.Requests && g.Tokens >= a.asked.Tokens
	asked := a.interval
	told := min(max(g.Valid/2, minInterval), maxInterval)
	a.interval = min(told, 2*asked)
	a.balance.Requests += g.Requests
	a.balance.Tokens += g.Tokens
	a.rate = Amount{Requests: g.Requests / asked.Seconds(), Tokens: g.Tokens / asked.Seconds()}
	a.expires = now.Add(g.Valid)
	a.nextDraw = now.Add(min(asked, told))
}

// Failed takes a draw that the home did not answer. After a few the entry falls back to its share.
func (s *Spender) Failed(now time.Time, organisation string) {
	a := s.accounts[organisation]
	if a == nil {
		return
	}
	a.drawing = false
	a.failures++
	a.nextDraw = now.Add(minInterval)
	if a.failures == lostDraws {
		a.filled = now
	}
}

// Organisations returns how many organisations have an account.
func (s *Spender) Organisations() int { return len(s.accounts) }

// Lost returns for how many organisations the home counts as lost.
func (s *Spender) Lost() int {
	count := 0
	for _, a := range s.accounts {
		if a.failures >= lostDraws {
			count++
		}
	}
	return count
}

func (s *Spender) account(now time.Time, organisation string, limit Limit) *account {
	a := s.accounts[organisation]
	if a == nil {
		a = &account{limit: limit, since: now, nextDraw: now, interval: minInterval, filled: now}
		share := s.share(limit)
		a.balance = Amount{Requests: share.Requests * minInterval.Seconds(), Tokens: share.Tokens * minInterval.Seconds()}
		a.expires = now.Add(minInterval)
		s.accounts[organisation] = a
	}
	a.limit = limit
	return a
}

// share is this entry's part of a limit, per second, when all live entries take the same.
func (s *Spender) share(limit Limit) Amount {
	if s.live == 0 {
		return Amount{}
	}
	return Amount{Requests: limit.Requests / float64(s.live), Tokens: limit.Tokens / float64(s.live)}
}

// settle lets grants lapse and, without a home, fills the balance with the entry's share.
func (s *Spender) settle(now time.Time, a *account) {
	if a.failures >= lostDraws {
		s.fallBack(now, a)
		return
	}
	if !now.Before(a.expires) {
		a.balance.Requests = min(a.balance.Requests, 0)
		a.balance.Tokens = min(a.balance.Tokens, 0)
	}
}

func (s *Spender) fallBack(now time.Time, a *account) {
	seconds := max(now.Sub(a.filled).Seconds(), 0)
	a.filled = now
	a.rate = s.share(a.limit)
	interval := minInterval.Seconds()
	a.balance.Requests = min(a.balance.Requests+seconds*a.rate.Requests, a.rate.Requests*interval)
	a.balance.Tokens = min(a.balance.Tokens+seconds*a.rate.Tokens, a.rate.Tokens*interval)
	a.expires = now.Add(minInterval)
}

func (s *Spender) retryAfter(now time.Time, a *account) time.Duration {
	share := s.share(a.limit)
	seconds := max(
		repay(a.limit.Requests, a.balance.Requests, max(a.rate.Requests, share.Requests)),
		repay(a.limit.Tokens, a.balance.Tokens, max(a.rate.Tokens, share.Tokens)),
	)
	after := max(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), a.nextDraw.Sub(now))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// repay returns the seconds until a negative balance is repaid.
func repay(limit, balance, rate float64) float64 {
	if limit <= 0 || balance >= 0 || rate <= 0 {
		return 0
	}
	return -balance / rate
}

// spendable reports whether no limited balance is overdrawn.
func (a *account) spendable() bool {
	return (a.limit.Requests <= 0 || a.balance.Requests >= 0) && (a.limit.Tokens <= 0 || a.balance.Tokens >= 0)
}

// idle reports whether nothing was wanted since the last draw and nothing is owed.
func (a *account) idle() bool {
	return a.wanted == Amount{} && a.spendable()
}

// drawEarly lets an exhausted account draw before its interval is over when the home had enough for
// it the last time. Where the home gives all that it has, drawing more often gains nothing.
func (a *account) drawEarly(now time.Time) {
	earliest := a.since.Add(a.interval / earlyDraws)
	if a.ample && earliest.Before(a.nextDraw) {
		a.nextDraw = earliest
	}
}

// ask returns what the next draw asks for and remembers it.
func (a *account) ask(now time.Time) Amount {
	a.asked = a.want(now)
	return a.asked
}

// want takes what was wanted since the last draw into the mean demand and returns the demand of one
// interval with headroom, less the balance.
func (a *account) want(now time.Time) Amount {
	seconds := max(now.Sub(a.since).Seconds(), minInterval.Seconds())
	a.demand.Requests += demandGain * (a.wanted.Requests/seconds - a.demand.Requests)
	a.demand.Tokens += demandGain * (a.wanted.Tokens/seconds - a.demand.Tokens)
	a.demand.Requests = max(a.demand.Requests, a.wanted.Requests/seconds)
	a.demand.Tokens = max(a.demand.Tokens, a.wanted.Tokens/seconds)
	a.wanted = Amount{}
	a.since = now
	requests := a.demand.Requests * a.interval.Seconds()
	factor := min(1+headroom/math.Sqrt(max(requests, 1)), maxHeadroom)
	return Amount{
		Requests: max(requests*factor-a.balance.Requests, 0),
		Tokens:   max(a.demand.Tokens*a.interval.Seconds()*factor-a.balance.Tokens, 0),
	}
}
