package dispatch

import "time"

// SoftwareVersion returns the software version that a server has registered; empty if unknown, or if the run that registered it
// has ended.
func (d *Dispatcher) SoftwareVersion(now time.Time, server string) string {
	if s := d.servers[server]; s != nil && s.isRegisteredRun(now) {
		return s.SoftwareVersion
	}
	return ""
}

// IsRegistered reports whether the server of a placement is still registered at the placement's address with its software version.
func (d *Dispatcher) IsRegistered(now time.Time, p *Placement) bool {
	s := d.servers[p.Server]
	return s != nil && s.Address == p.Address && s.SoftwareVersion == p.SoftwareVersion && s.isRegisteredRun(now)
}

// isRegisteredRun reports whether the server is taken to be in the run that its registration is of. A metadata store that comes back
// from a copy brings back registrations of earlier runs.
func (s *server) isRegisteredRun(now time.Time) bool {
	return !now.Before(s.runEndedUntil) && s.StartedMS >= s.latestStartMS
}

// runEndedTTL is how long a server counts as one whose registration is of an earlier run, after its address has stopped accepting
// connections. A server that has started again registers within that time, if the metadata store is reachable; a cut that looks
// alike ends without a change of the registration.
const runEndedTTL = 5 * time.Second

// EndRun records that the runs of a server that started before a time, in Unix milliseconds of the servers' clock, seem to have
// ended. The next one may have other software.
func (d *Dispatcher) EndRun(now time.Time, server string, startedBeforeMS int64) {
	if s := d.servers[server]; s != nil && s.StartedMS < startedBeforeMS {
		s.runEndedUntil = now.Add(runEndedTTL)
	}
}

// KeepRunsEnded keeps the servers that count as ones whose registration is of an earlier run from being taken at it again. It is
// called while registrations may not arrive, because the metadata store isn't reachable.
func (d *Dispatcher) KeepRunsEnded(now time.Time) {
	for _, s := range d.servers {
		if now.Before(s.runEndedUntil) {
			s.runEndedUntil = now.Add(runEndedTTL)
		}
	}
}

// markReplaced marks the servers whose address another server has registered that started later. The registration of a server that
// has crashed outlives it by seconds, in which its successor refuses what is sent to it. A server stays marked only for replacedTTL.
func (d *Dispatcher) markReplaced() {
	latest := make(map[string]int64, len(d.servers))
	for _, s := range d.servers {
		latest[s.Address] = max(latest[s.Address], s.StartedMS)
	}
	for _, s := range d.servers {
		switch superseded := s.StartedMS != 0 && s.StartedMS < latest[s.Address]; {
		case !superseded:
			s.replaced, s.replacedSince = false, time.Time{}
		case s.replacedSince.IsZero():
			s.replaced = true
		}
	}
}

// replacedTTL is how long a server gets nothing because another one has registered its address. The registration of a server that has
// ended expires within 5 s; one that stays three times as long is of a server that runs, and the other one is a copy or of a host
// whose clock is ahead. If neither, requests are misdirected, and the server is avoided for longer with each.
const replacedTTL = 15 * time.Second

// expireReplaced lets servers be used again that have been marked as replaced for replacedTTL.
func (d *Dispatcher) expireReplaced(now time.Time) {
	for _, s := range d.servers {
		switch {
		case !s.replaced:
		case s.replacedSince.IsZero():
			s.replacedSince = now
		case now.Sub(s.replacedSince) >= replacedTTL:
			s.replaced = false
		}
	}
}
