package dispatch

import "time"

// limit is the number of requests a second that a server takes from all gateways together, as it states in its
// responses.
type limit struct {
	// stated is set while the server states a limit; perSecond is then its value.
	stated    bool
	perSecond float64
	// at is when the latest response arrived that decided this; zero before the first statement.
	at time.Time
}

// recordLimit updates the limit from a report and reports whether it has changed. A report without a limit ends it unless
// its request was sent before the limit was last stated.
func (s *server) recordLimit(now time.Time, report *ServerReport) (changed bool) {
	if !report.HasLimit {
		if !s.limit.stated || report.SentAt.Before(s.limit.at) {
			return false
		}
		s.limit = limit{at: now}
		return true
	}
	changed = !s.limit.stated || s.limit.perSecond != report.Limit
	s.limit = limit{stated: true, perSecond: report.Limit, at: now}
	return changed
}

// Limit returns the number of requests a second that a server takes from all gateways together. It returns false if the
// server states no limit.
func (d *Dispatcher) Limit(id string) (perSecond float64, stated bool) {
	s := d.servers[id]
	if s == nil {
		return 0, false
	}
	return s.limit.perSecond, s.limit.stated
}
