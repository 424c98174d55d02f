package rollout

import "time"

// holderKnownFor is how long a reading of the current holder's fencing number counts.
const holderKnownFor = 2 * time.Second

// Verdict is a Gate's answer to an order.
type Verdict int

// The verdicts.
const (
	// Pass lets the order through to the backend server.
	Pass Verdict = iota
	// Stale refuses the order: its fencing number is older than the highest seen.
	Stale
	// MustRead asks for a reading of the current holder's fencing number. Right after a reading it
	// refuses the order: the service names another holder or none.
	MustRead
)

// String returns the verdict as the reason of a refusal.
func (v Verdict) String() string {
	switch v {
	case Pass:
		return "passed"
	case Stale:
		return "the fencing number is older than the highest seen"
	default:
		return "the fencing number is not that of the lease's holder"
	}
}

// Gate decides which orders reach a backend server. It is not safe for concurrent use.
//
// Invariant: an order passes only with the fencing number that the key-value service named as the
// current holder's less than holderKnownFor ago, and with none lower than any seen before. A
// restarted agent has no reading, so it passes nothing before it has read the service; a holder
// that was paused past its lease is refused because the key it created is gone.
type Gate struct {
	highest uint64
	holder  uint64
	readAt  time.Time
}

// Raise notes a fencing number. Fencing numbers are revisions of the service, so a higher one
// belongs to a later holder. It returns whether the number is the highest seen.
func (g *Gate) Raise(fence uint64) bool {
	g.highest = max(g.highest, fence)
	return fence == g.highest
}

// Read notes the current holder's fencing number as read from the service at the given time; 0
// when there is no holder.
func (g *Gate) Read(holder uint64, at time.Time) {
	if at.Before(g.readAt) {
		return
	}
	g.holder = holder
	g.readAt = at
	g.highest = max(g.highest, holder)
}

// Check decides about an order.
func (g *Gate) Check(fence uint64, now time.Time) Verdict {
	if fence == 0 || fence < g.highest {
		return Stale
	}
	fresh := !g.readAt.IsZero() && now.Sub(g.readAt) < holderKnownFor
	if !fresh || fence != g.holder {
		return MustRead
	}
	return Pass
}

// Highest returns the highest fencing number seen.
func (g *Gate) Highest() uint64 { return g.highest }
