package store

import "time"

// Durations of the suspension of a store after failures.
const (
	firstSuspension = 500 * time.Millisecond
	maxSuspension   = 30 * time.Second
)

// Breaker is a circuit breaker for calls to one store. The first failure suspends the store. When
// the suspension ends, one trial call is allowed, and each failed trial doubles the next suspension
// up to maxSuspension. The zero value allows all calls.
type Breaker struct {
	suspendedUntil time.Time
	suspension     time.Duration
	trialActive    bool
}

// Allow reports whether a call may be made. If it returns true, the caller must call Success, Failure
// or Abandon when the call ends.
func (b *Breaker) Allow(now time.Time) bool {
	if b.suspension == 0 {
		return true
	}
	if b.trialActive || now.Before(b.suspendedUntil) {
		return false
	}
	b.trialActive = true
	return true
}

// Success records a successful call, which ends the suspension.
func (b *Breaker) Success() { *b = Breaker{} }

// Abandon records the end of a call whose outcome doesn't depend on the state of the store.
func (b *Breaker) Abandon() { b.trialActive = false }

// Failure records a failed call, which starts or prolongs the suspension. Calls that started before
// the suspension and fail during it don't prolong it.
func (b *Breaker) Failure(now time.Time) {
	if !b.trialActive && now.Before(b.suspendedUntil) {
		return
	}
	b.trialActive = false
	b.suspension = min(max(2*b.suspension, firstSuspension), maxSuspension)
	b.suspendedUntil = now.Add(b.suspension)
}

// Suspended reports whether the store must not be used now, because it is suspended or a trial call is
// active.
func (b *Breaker) Suspended(now time.Time) bool { return b.trialActive || now.Before(b.suspendedUntil) }
