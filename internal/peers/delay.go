package peers

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// delayWindow is for how long at least the fastest heartbeat counts, and half of how long it may.
const delayWindow = 30 * time.Second

// keepDelays is how long the estimate for a gateway is kept after its latest window began.
const keepDelays = 10 * time.Minute

// delayEstimate tells how long the heartbeats of one run of a gateway are held up: by how much longer they take than the fastest of the
// latest ones. The clocks of two hosts have different starts, so that the transit time itself is unknown.
type delayEstimate struct {
	incarnation uint64
	// least is the smallest difference between the time of receipt and the time of sending since beganAt, formerLeast that of the
	// window before.
	least, formerLeast time.Duration
	beganAt            time.Time
}

// add adds a heartbeat that was sent at a time of the sender's clock and arrived at now, and returns how long it was held up.
func (e *delayEstimate) add(incarnation uint64, sentNS int64, now time.Time) time.Duration {
	difference := time.Duration(now.UnixNano() - sentNS)
	switch {
	case e.beganAt.IsZero() || e.incarnation != incarnation:
		*e = delayEstimate{incarnation: incarnation, least: difference, formerLeast: difference, beganAt: now}
	case now.Sub(e.beganAt) > delayWindow:
		e.formerLeast, e.least, e.beganAt = e.least, difference, now
	default:
		e.least = min(e.least, difference)
	}
	return difference - min(e.least, e.formerLeast)
}

// SentAt adds a heartbeat that arrives at now to the estimate for its sender, and returns when it was sent: on this gateway's clock, and
// too late by what the fastest heartbeats take. It returns now if that isn't known. Ages in a heartbeat count from then, because one that
// waited while the receiver was frozen isn't new.
func (m *Members) SentAt(beat *wire.Beat, now time.Time) time.Time {
	name := beat.GetFrom().GetInstance()
	member, estimate := m.members[name], m.delays[name]
	if beat.GetSentNs() == 0 || member != nil && beat.GetIncarnation() == member.formerIncarnation {
		return now
	}
	if estimate == nil {
		if member == nil {
			return now
		}
		estimate = &delayEstimate{}
		m.delays[name] = estimate
	}
	return now.Add(-estimate.add(beat.GetIncarnation(), beat.GetSentNs(), now))
}

// expireDelays removes the estimates for gateways that haven't been heard for a long time.
func (m *Members) expireDelays(now time.Time) {
	for name, estimate := range m.delays {
		if now.Sub(estimate.beganAt) > keepDelays {
			delete(m.delays, name)
		}
	}
}
