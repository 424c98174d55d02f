package store

import "time"

// Suspension of a store after failures.
const (
	firstSuspension = 500 * time.Millisecond
	maxSuspension   = 30 * time.Second
)

// Breaker keeps callers away from a store that fails. The first failure suspends the store; when
// the suspension ends, one trial call may go through, and each failed trial doubles the next
// suspension. The zero value lets all calls through.
type Breaker struct {
	until      time.Time
	suspension time.Duration
	trial      bool
}

// Allow reports whether a call may be made. A caller that got true must report Success, Failure or
// Abandon.
func (b *Breaker) Allow(now time.Time) bool {
	if b.suspension == 0 {
		return true
	}
	if b.trial || now.Before(b.until) {
		return false
	}
	b.trial = true
	return true
}

// Success ends the suspension.
func (b *Breaker) Success() { *b = Breaker{} }

// Abandon ends a call that says nothing about the store.
func (b *Breaker) Abandon() { b.trial = false }

// Failure starts or prolongs the suspension. Calls that began before the suspension and fail
// during it don't prolong it.
func (b *Breaker) Failure(now time.Time) {
	if !b.trial && now.Before(b.until) {
		return
	}
	b.trial = false
	b.suspension = min(max(2*b.suspension, firstSuspension), maxSuspension)
	b.until = now.Add(b.suspension)
}

// Suspended reports whether the store is out of use, be it but for a trial under way.
func (b *Breaker) Suspended(now time.Time) bool { return b.trial || now.Before(b.until) }
