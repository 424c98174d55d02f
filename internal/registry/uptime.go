package registry

import "time"

// Stretch is a span of time in which the metadata store wasn't unavailable for long, as far as the times of its replies show.
type Stretch struct {
	// From is no earlier than the first reply of the span was made, To no later than the last one was.
	From, To time.Time
}

// uptime is the latest stretch without an outage of minOutage or longer.
type uptime struct {
	Stretch
	// minOutage is 0 when outages of any length may matter. No stretch is known then.
	minOutage time.Duration
	// notBefore bounds the stretches of other gateways.
	notBefore time.Time
}

// recordReply records that the store made a reply at some time from earliest to latest.
func (u *uptime) recordReply(earliest, latest time.Time) {
	if !earliest.After(u.To) {
		return
	}
	if u.To.IsZero() || latest.Sub(u.To) >= u.minOutage {
		u.From = latest
	}
	u.To = earliest
}

// merge records a stretch that is known to another gateway. It is ignored if it ended before this one began.
func (u *uptime) merge(s Stretch) {
	if s.From.Before(u.notBefore) {
		s.From = u.notBefore
	}
	switch {
	case s.To.Before(s.From):
	case u.To.IsZero() || s.From.Sub(u.To) >= u.minOutage:
		u.Stretch = s
	case u.From.Sub(s.To) >= u.minOutage:
	default:
		if s.From.Before(u.From) {
			u.From = s.From
		}
		if s.To.After(u.To) {
			u.To = s.To
		}
	}
}

// restart records that what happened to the store before a time is unknown.
func (u *uptime) restart(at time.Time) { u.Stretch, u.notBefore = Stretch{at, at}, at }

// excludesOutage reports whether the stretch shows that no outage ended within a time before at.
func (u *uptime) excludesOutage(at time.Time, within time.Duration) bool {
	return u.minOutage > 0 && !u.To.IsZero() && !u.From.After(at.Add(-within)) && at.Sub(u.To) < u.minOutage
}
