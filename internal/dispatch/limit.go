package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/quota"
)

const (
	// recheckAfter is how long after a server's latest statement a request is sent to find out whether the limit is still
	// in force.
	recheckAfter = 2 * time.Second
	// reportEndFor is how long the other gateways are told that a limit has ended.
	reportEndFor = 10 * time.Second
)

// limit is the number of requests a second that a server takes from all gateways together, as it states in its
// responses.
type limit struct {
	// stated is set while the server states a limit; perSecond is then its value.
	stated    bool
	perSecond float64
	// at is when the latest response arrived that decided this; zero before the first statement.
	at time.Time
	// own is set if the response came to this gateway. What others report isn't passed on, as it would seem newer at each
	// step.
	own bool
	// recheck is set when the next request may go to the server before others.
	recheck bool
}

// ServerLimit is a limit that one run of a server states, or its end.
type ServerLimit struct {
	ID string
	// StartedMS is the start of the run, as in backend.Server.
	StartedMS int64
	// Stated is false when the server no longer states a limit; PerSecond is the number of requests a second that it takes
	// from all gateways together.
	Stated    bool
	PerSecond float64
	// At is when the response arrived that stated this.
	At time.Time
}

// recordLimit updates the limit from a report and reports whether it has changed. A report without a limit ends it unless
// its request was sent before the limit was last stated.
func (s *server) recordLimit(now time.Time, report *ServerReport) (changed bool) {
	if !report.HasLimit {
		if !s.limit.stated || report.SentAt.Before(s.limit.at) {
			return false
		}
		s.limit = limit{at: now, own: true}
		return true
	}
	changed = !s.limit.stated || s.limit.perSecond != report.Limit
	s.limit = limit{stated: true, perSecond: report.Limit, at: now, own: true}
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

// SetLimit records a limit, or its end, that another gateway reports. It ignores other runs of the server and older
// statements. It reports whether the limit has changed.
func (d *Dispatcher) SetLimit(l ServerLimit) (changed bool) {
	s := d.servers[l.ID]
	if s == nil || s.StartedMS != l.StartedMS || !l.At.After(s.limit.at) {
		return false
	}
	changed = s.limit.stated != l.Stated || l.Stated && s.limit.perSecond != l.PerSecond
	s.limit = limit{stated: l.Stated, perSecond: l.PerSecond, at: l.At}
	return changed
}

// Limits returns the limits that servers have stated to this gateway and those that have ended lately, to be sent to the
// other gateways.
func (d *Dispatcher) Limits(now time.Time) []ServerLimit {
	var list []ServerLimit
	for _, s := range d.servers {
		if s.limit.own && (s.limit.stated || now.Sub(s.limit.at) < reportEndFor) {
			list = append(list, ServerLimit{ID: s.ID, StartedMS: s.StartedMS, Stated: s.limit.stated, PerSecond: s.limit.perSecond, At: s.limit.at})
		}
	}
	return list
}

// LimitedCount returns the number of servers that state a limit.
func (d *Dispatcher) LimitedCount() (count int) {
	for _, s := range d.servers {
		if s.limit.stated {
			count++
		}
	}
	return count
}

// mayBeGranted reports whether there is a grant for a server's limit or the owner may be asked for one.
func (d *Dispatcher) mayBeGranted(now time.Time, s *server) bool {
	return d.grants.Has(now, s.ID) || d.grants.MayAsk(now, s.ID)
}

// Ask returns the ask for a grant of a server's limit.
func (d *Dispatcher) Ask(now time.Time, id string) quota.Ask {
	perSecond, stated := d.Limit(id)
	cold := d.IsCold(now, id)
	if rate, ok := d.ColdRate(id); ok && cold && (!stated || rate < perSecond) {
		perSecond = rate
	}
	ask := d.grants.Ask(now, id, perSecond)
	ask.Cold = cold
	return ask
}

// AddGrant records what the owner of a server's limit replied to an ask at the given time.
func (d *Dispatcher) AddGrant(askedAt, now time.Time, id string, g quota.Grant) {
	d.grants.Add(askedAt, now, id, g)
}

// RecheckDue returns the servers whose limit must be checked by a request.
func (d *Dispatcher) RecheckDue(now time.Time) (ids []string) {
	for _, s := range d.servers {
		if s.limit.stated && now.Sub(s.limit.at) > recheckAfter {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Recheck lets the next request that the server can run go to it before others, if it is granted.
func (d *Dispatcher) Recheck(id string) {
	if s := d.servers[id]; s != nil {
		s.limit.recheck = true
	}
}
