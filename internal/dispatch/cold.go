package dispatch

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/quota"
)

// A cold server of a service with routing.Service.ColdPerSecond gets requests only under grants of the gateway that owns its
// limit. This file decides until when a server may be cold; package quota holds the rate and the grants.

const (
	// askPenaltyMS is the penalty for a cold server for which a grant must be asked for: about the time of a call between
	// gateways, in milliseconds.
	askPenaltyMS = 5.0
	// registrationMaxAge is how long after it was written a registration may arrive at most: a gateway that reads the metadata
	// store through others polls it itself every 10 s, and a call takes up to 2 s. A registration without a cold time ends the
	// suspicion that a server is cold only if it arrives later than this after the last reason for it.
	registrationMaxAge = 12 * time.Second
)

// Sources of what is known about cold servers, as they are logged.
const (
	ColdByRegistration = "registration"
	ColdByResponse     = "response"
	ColdByGateway      = "gateway"
	ColdByNewRun       = "new_run"
	ColdByFailure      = "unreachable"
	ColdByReturn       = "reached_again"
	ColdByEvacuation   = "evacuation_ended"
	// ColdByTime is the source of the end of a server's cold time.
	ColdByTime = "time"
)

// ColdBounds defines how many requests a cold server may get from all gateways together in any second: Overage times what the
// server tolerates on average, and Slack.
type ColdBounds struct {
	Overage float64
	Slack   float64
}

// coldState is what is known about one server being cold.
type coldState struct {
	// until is when the server can no longer be cold, and source is what it was last set from. ended is set when the server was
	// then stated to be warm. reasonAt is when there was last a reason to take it for cold.
	until    time.Time
	source   string
	ended    bool
	reasonAt time.Time
	// ownUntil is the part of until that the other gateways are told of: what this gateway knows from the server itself, not from
	// registrations and heartbeats, which the others get too.
	ownUntil time.Time
	// seen is set once RecordNewRuns has been called with this run.
	seen bool
	// reported is what ColdChanges returned last.
	reported bool
	// starts is Dispatcher.coldStarts.
	starts *atomic.Uint64
}

// extend records a reason to take the server for cold for a time from now on.
func (c *coldState) extend(now time.Time, left time.Duration, source string) {
	if left <= 0 {
		return
	}
	c.countStart(now)
	c.reasonAt = now
	if until := now.Add(left); until.After(c.until) {
		c.until, c.source, c.ended = until, source, false
	}
}

// extendOwn is extend for what this gateway knows from the server itself.
func (c *coldState) extendOwn(now time.Time, left time.Duration, source string) {
	c.extend(now, left, source)
	if until := now.Add(left); until.After(c.ownUntil) {
		c.ownUntil = until
	}
}

// set replaces what is known by what the server itself has stated since.
func (c *coldState) set(now time.Time, left time.Duration, source string) {
	if left > 0 {
		c.countStart(now)
	}
	c.until, c.ownUntil, c.source, c.ended = now.Add(left), now.Add(left), source, left <= 0
	if left > 0 {
		c.reasonAt = now
	}
}

// countStart counts the start of a cold time, unless one lasts.
func (c *coldState) countStart(now time.Time) {
	if !now.Before(c.until) && c.starts != nil {
		c.starts.Add(1)
	}
}

// SetColdBounds sets the bounds for cold servers.
func (d *Dispatcher) SetColdBounds(bounds ColdBounds) { d.coldBounds = bounds }

// isCold reports whether a server may be cold and needs grants because of that. A server that couldn't be reached may be cold
// whenever it is reached again. Where the bound allows a cold server no request, only time ends that: without a request it
// would never be reached again.
func (d *Dispatcher) isCold(now time.Time, s *server) bool {
	if !now.Before(s.cold.until) && (s.unreachableCount == 0 || d.coldRate(s) <= 0) {
		return false
	}
	group := d.services[s.Service]
	return group != nil && group.ColdPerSecond > 0
}

// MayHaveBecomeCold reports whether a server has become cold since the placement on one that counted as warm, so that MaySend must
// decide. It may be called from any goroutine.
func (d *Dispatcher) MayHaveBecomeCold(p *Placement) bool {
	return p.warm && d.coldStarts.Load() != p.coldStarts
}

// MaySend reports whether a request may be sent now to the server that it was placed on while that counted as warm. If the server
// has become cold, it uses a grant at hand.
func (d *Dispatcher) MaySend(now time.Time, p *Placement) bool {
	s := d.servers[p.Server]
	return s == nil || !d.isCold(now, s) || d.grants.Take(now, s.ID)
}

// needsGrant reports whether a request may go to the server only under a grant.
func (d *Dispatcher) needsGrant(now time.Time, s *server) bool {
	return s.limit.stated || d.isCold(now, s)
}

// coldRate returns the rate of grants for a cold server; 0 if it may get no requests.
func (d *Dispatcher) coldRate(s *server) float64 {
	group := d.services[s.Service]
	if group == nil {
		return 0
	}
	return quota.ColdRate(group.ColdPerSecond, d.coldBounds.Overage, d.coldBounds.Slack)
}

// coldCandidate reports whether a request may be placed on a cold server now: there is a grant, or its owner may be asked.
func (d *Dispatcher) coldCandidate(now time.Time, r *Request, s *server) bool {
	if d.coldRate(s) <= 0 {
		return false
	}
	return d.grants.Has(now, s.ID) || !r.NoAsk && d.grants.MayAsk(now, s.ID)
}

// hasColdGrant reports whether a grant for a cold server is at hand. Such a server is in every sample of engines, as the grant would
// be lost otherwise: the sample after an ask isn't the one before it.
func (d *Dispatcher) hasColdGrant(now time.Time, s *server) bool {
	return d.isCold(now, s) && d.grants.Has(now, s.ID)
}

// ColdRate returns the rate at which the owner may grant requests to a server that is cold, and false if the server is unknown or
// its service has no bound for cold servers.
func (d *Dispatcher) ColdRate(id string) (perSecond float64, ok bool) {
	s := d.servers[id]
	if s == nil || d.services[s.Service] == nil || d.services[s.Service].ColdPerSecond <= 0 {
		return 0, false
	}
	return d.coldRate(s), true
}

// IsCold reports whether a server gets requests only under grants because it may be cold.
func (d *Dispatcher) IsCold(now time.Time, id string) bool {
	s := d.servers[id]
	return s != nil && d.isCold(now, s)
}

// RecordNewRuns records that the runs that SetServers has added may be cold though their registrations don't say so. atStart is
// set for those that a gateway finds when it starts: they have mostly been running for long.
func (d *Dispatcher) RecordNewRuns(now time.Time, atStart bool) {
	for _, s := range d.servers {
		group := d.services[s.Service]
		if s.cold.seen || group == nil && !atStart {
			continue
		}
		s.cold.seen = true
		if !atStart {
			s.returned.begin(now)
			s.cold.extend(now, group.ColdStart, ColdByNewRun)
		}
	}
}

// RecordRegistration records what a registration that has just arrived says of its server being cold. SetServers must have been
// called with it.
func (d *Dispatcher) RecordRegistration(now time.Time, registered backend.Server) {
	s := d.servers[registered.ID]
	if s == nil || s.StartedMS != registered.StartedMS {
		return
	}
	if registered.WarmUpLeft > 0 {
		s.cold.extend(now, registered.WarmUpLeft, ColdByRegistration)
		return
	}
	if now.Before(s.cold.until) && now.Sub(s.cold.reasonAt) > registrationMaxAge {
		s.cold.set(now, 0, ColdByRegistration)
	}
}

// recordColdReport records what a response says about its server being cold, and reports whether the server is now known from
// itself to be cold and was not before. What the server states counts alone if the request was sent after the last reason to
// suspect it; a response that the request has not run may be of another server at the same address.
func (d *Dispatcher) recordColdReport(now time.Time, s *server, report *ServerReport) (became bool) {
	group := d.services[s.Service]
	if group == nil || report.Misdirected {
		return false
	}
	wasOwn, known := now.Before(s.cold.ownUntil), d.isCold(now, s)
	stated := report.HasCold && !report.ColdUnreadable && !report.SentAt.Before(s.cold.reasonAt)
	if s.unreachableCount > 0 {
		s.cold.extendOwn(now, group.ColdStart, ColdByReturn)
	}
	switch {
	case report.ColdUnreadable:
		s.cold.extendOwn(now, group.ColdStart, ColdByResponse)
	case stated && (report.ColdFor > 0 || known):
		s.cold.set(now, report.ColdFor, ColdByResponse)
	case report.HasCold:
		s.cold.extendOwn(now, report.ColdFor, ColdByResponse)
	}
	return group.ColdPerSecond > 0 && !wasOwn && now.Before(s.cold.ownUntil)
}

// recordColdFailure records that a server couldn't be reached: the process that is there next may be cold.
func (d *Dispatcher) recordColdFailure(now time.Time, s *server) {
	if group := d.services[s.Service]; group != nil {
		s.cold.extendOwn(now, group.ColdStart, ColdByFailure)
	}
}

// MarkCold records that the servers of a failure domain may be cold, as after the end of an evacuation.
func (d *Dispatcher) MarkCold(now time.Time, failureDomain string) {
	for _, s := range d.servers {
		if group := d.services[s.Service]; group != nil && s.FailureDomain == failureDomain {
			s.cold.extend(now, group.ColdStart, ColdByEvacuation)
		}
	}
}

// ColdServer is one run of a server that may be cold for a time.
type ColdServer struct {
	ID string
	// StartedMS is the start of the run, as in backend.Server.
	StartedMS int64
	Left      time.Duration
}

// ColdServers returns the servers that this gateway knows from the servers themselves to be possibly cold, to be sent to the other
// gateways. What others have reported isn't passed on, so that it can't circulate.
func (d *Dispatcher) ColdServers(now time.Time) []ColdServer {
	var list []ColdServer
	for _, s := range d.servers {
		if left := s.cold.ownUntil.Sub(now); left > 0 && d.isCold(now, s) {
			list = append(list, ColdServer{ID: s.ID, StartedMS: s.StartedMS, Left: left})
		}
	}
	return list
}

// SetCold records that another gateway reports a server as possibly cold. It ignores runs that are older than the registered one.
func (d *Dispatcher) SetCold(now time.Time, c ColdServer) {
	if s := d.servers[c.ID]; s != nil && (c.StartedMS >= s.StartedMS || c.StartedMS == 0) {
		s.cold.extend(now, c.Left, ColdByGateway)
	}
}

// ColdChange is a server that has become cold or warm.
type ColdChange struct {
	ID     string
	Cold   bool
	Source string
	// Left is how much longer it may be cold.
	Left time.Duration
}

// ColdChanges returns the servers that have become cold or warm since the previous call, in the order of their ids, and the number
// of those that may be cold.
func (d *Dispatcher) ColdChanges(now time.Time) (changes []ColdChange, count int) {
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		s := d.servers[id]
		cold := d.isCold(now, s)
		if cold {
			count++
		}
		if cold == s.cold.reported {
			continue
		}
		s.cold.reported = cold
		change := ColdChange{ID: id, Cold: cold, Source: s.cold.source, Left: max(0, s.cold.until.Sub(now))}
		if !cold && !s.cold.ended {
			change.Source = ColdByTime
		}
		changes = append(changes, change)
	}
	return changes, count
}
