package rollout

import "time"

// holderMaxAge is how long the current holder's fencing token stays valid after it was read.
const holderMaxAge = 2 * time.Second

// Verdict is the result of a fence check.
type Verdict int

// The verdicts.
const (
	// Pass lets the order pass to the backend server.
	Pass Verdict = iota
	// Stale refuses the order: its fencing token is lower than the highest received or read, or zero.
	Stale
	// MustRead requires the caller to read the current holder's fencing token and to check again.
	// When the second check returns MustRead too, the order is refused: the service has another
	// holder or none.
	MustRead
)

// String returns the verdict as the reason of a refusal.
func (v Verdict) String() string {
	switch v {
	case Pass:
		return "passed"
	case Stale:
		return "the fencing token is lower than the highest received or read"
	default:
		return "the fencing token is not that of the lease's holder"
	}
}

// FenceChecker decides which orders reach a backend server. It is not safe for concurrent use.
//
// Invariant: an order passes only if its fencing token is that of the current holder as read from
// the key-value service less than holderMaxAge ago, and is not lower than any received or read before. A
// restarted agent passes no order until it has read the service. A holder that was paused past its
// lease is refused because the key that it created no longer exists.
type FenceChecker struct {
	highest uint64
	holder  uint64
	readAt  time.Time
}

// Raise records a received fencing token and reports whether it is the highest so far. Fencing
// numbers are revisions of the service, so a higher one belongs to a later holder.
func (g *FenceChecker) Raise(fence uint64) bool {
	g.highest = max(g.highest, fence)
	return fence == g.highest
}

// SetHolder records the current holder's fencing token as read from the service at the given time,
// 0 when there is no holder. It ignores a read older than the last one.
func (g *FenceChecker) SetHolder(holder uint64, at time.Time) {
	if at.Before(g.readAt) {
		return
	}
	g.holder = holder
	g.readAt = at
	g.highest = max(g.highest, holder)
}

// Check returns the verdict on an order with the given fencing token.
func (g *FenceChecker) Check(fence uint64, now time.Time) Verdict {
	if fence == 0 || fence < g.highest {
		return Stale
	}
	fresh := !g.readAt.IsZero() && now.Sub(g.readAt) < holderMaxAge
	if !fresh || fence != g.holder {
		return MustRead
	}
	return Pass
}

// Highest returns the highest fencing token received or read.
func (g *FenceChecker) Highest() uint64 { return g.highest }
