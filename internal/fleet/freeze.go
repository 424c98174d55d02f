package fleet

import "time"

const (
	// maxTickDelay is the delay of a tick of evaluate from which this gateway counts as having been frozen.
	maxTickDelay = 2 * evaluateInterval
	// leaderWait bounds how long prompts wait after a freeze for the leader's heartbeat, in case that there is no leader. Where many
	// gateways share a failure domain their heartbeats are further apart.
	leaderWait = 250 * time.Millisecond
	// leaderCheckInterval is the interval at which a waiting prompt looks whether the heartbeat has come.
	leaderCheckInterval = 10 * time.Millisecond
)

// recordTick records a tick of evaluate.
func (f *Fleet) recordTick(now time.Time) {
	if f.tickIsLate(now) {
		f.awakeSince = now
		if f.holdsLead(now) {
			// This gateway's own exclusions have expired meanwhile.
			f.dispatcher.SetExcluded(f.lead.excluded, now)
		}
	}
	f.tickedAt = now
}

// tickIsLate reports whether this gateway has been frozen since the latest tick of evaluate.
func (f *Fleet) tickIsLate(now time.Time) bool { return now.Sub(f.tickedAt) > maxTickDelay }

// registrationsMayBeOld reports whether servers may have started again without this gateway having had the time to learn of it: in an
// outage of the metadata store, and after a freeze until the registrations have been read again.
func (f *Fleet) registrationsMayBeOld(now time.Time) bool {
	return f.registry.MayBeOld(now) || f.tickIsLate(now) || f.registrationsAsOf.Before(f.awakeSince)
}

// holdsLead reports whether this gateway leads and decides which servers are excluded.
func (f *Fleet) holdsLead(now time.Time) bool {
	return f.lead.fence > 0 && f.lead.fence >= f.latestFence && now.Before(f.lead.until)
}

// exclusionsMayBeOld reports whether this gateway was frozen lately and hasn't heard from the leader since. While it leads that is until
// the next tick.
func (f *Fleet) exclusionsMayBeOld(now time.Time) bool {
	switch {
	case f.tickIsLate(now):
		return true
	case f.holdsLead(now):
		return false
	default:
		return f.exclusionsAsOf.Before(f.awakeSince) && now.Sub(f.awakeSince) < leaderWait
	}
}
