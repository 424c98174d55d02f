// Package registry derives the set of servers to use from the registrations of backend servers. It
// distinguishes a server that has left from one whose registration expired because the metadata store was
// unreachable: such registrations return soon, and until then the servers stay in use.
package registry

import (
	"maps"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
)

const (
	// returnTimeout is how long an expired registration may take to return after the store is reachable again.
	returnTimeout = 2200 * time.Millisecond
	// massExpiryShare is the minimum share of the registrations whose expiry within massExpiryWindow is
	// attributed to an outage of the store.
	massExpiryShare  = 0.4
	massExpiryWindow = 1500 * time.Millisecond
	// massExpiryMin is the number of expired registrations below which the share is not significant.
	massExpiryMin = 3
	// minOutageIntervals is how long an outage must last to make registrations expire, in intervals at which servers renew them. They
	// expire after three without a renewal, the first of which may have begun before the outage.
	minOutageIntervals = 2
	// resurrectedTimeout is how long a registration that was removed before the store came back from an older copy is
	// not used. A server that has left doesn't renew it, and it expires in that time.
	resurrectedTimeout = 5 * time.Second
)

// expiry is a registration that was removed while its server was ready.
type expiry struct {
	server backend.Server
	at     time.Time
	// inOutage is set when the registration was removed during an outage of the store or just after it.
	inOutage bool
	// inMass is set when the registration was removed together with many others. It stays so while those return.
	inMass bool
}

// Registry is the set of servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]backend.Server
	expired map[string]expiry
	// resurrected is, by id, until when a resurrected registration isn't used.
	resurrected map[string]time.Time
	// reachableAt is when the store became reachable again after the latest outage.
	reachableAt time.Time
	// restoredAt is when the store was last known to have come back from a copy.
	restoredAt  time.Time
	unreachable bool
	uptime      uptime
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{servers: make(map[string]backend.Server), expired: make(map[string]expiry), resurrected: make(map[string]time.Time)}
}

// SetRenewalInterval sets the interval at which servers renew their registrations. Without it, any outage may have made one expire.
func (r *Registry) SetRenewalInterval(interval time.Duration) {
	r.uptime.minOutage = minOutageIntervals * interval
}

// RecordReply records that the store made a reply at some time from earliest to latest. Registrations that are removed while it is known
// to have had no outage have not expired in one, however late the removals are received.
func (r *Registry) RecordReply(earliest, latest time.Time) { r.uptime.recordReply(earliest, latest) }

// Uptime returns the latest stretch in which the store is known to have had no outage that makes registrations expire, and false if
// there is none.
func (r *Registry) Uptime() (Stretch, bool) {
	return r.uptime.Stretch, r.uptime.minOutage > 0 && r.uptime.From.Before(r.uptime.To)
}

// MergeUptime records such a stretch that another gateway knows.
func (r *Registry) MergeUptime(s Stretch) { r.uptime.merge(s) }

// StoreUnreachable records that the store doesn't reply. It is called after each failed call, before the retry.
func (r *Registry) StoreUnreachable() { r.unreachable = true }

// StoreReachable records that the store replies.
func (r *Registry) StoreReachable(now time.Time) {
	if r.unreachable {
		r.unreachable = false
		r.reachableAt = now
	}
}

// IsStoreReachable reports whether the store has replied to the latest call.
func (r *Registry) IsStoreReachable() bool { return !r.unreachable }

// IsCurrent reports whether a server has a registration that is of its present run as far as the store's content shows. It hasn't if
// the registration has expired, or if it may be of an earlier run because the store came back from a copy and the servers haven't all
// written again.
func (r *Registry) IsCurrent(id string, now time.Time) bool {
	_, ok := r.servers[id]
	return ok && (r.restoredAt.IsZero() || now.Sub(r.restoredAt) >= returnTimeout)
}

// MayBeOld reports whether registrations may be of earlier runs because the store doesn't take new ones, or has only just begun to.
func (r *Registry) MayBeOld(now time.Time) bool {
	return r.unreachable || !r.reachableAt.IsZero() && now.Sub(r.reachableAt) < returnTimeout
}

// StoreRestored records that the store has come back from a copy that may lack recent registrations.
func (r *Registry) StoreRestored(now time.Time) {
	r.reachableAt, r.restoredAt = now, now
	r.uptime.restart(now)
}

// Put adds or replaces a registration. A run of a server that was draining stays so: the store may have lost that
// report.
func (r *Registry) Put(s backend.Server) {
	known, ok := r.servers[s.ID]
	if ok && known.State == backend.Draining && known.StartedMS == s.StartedMS && s.StartedMS != 0 {
		s.State = backend.Draining
	}
	r.servers[s.ID] = s
	delete(r.expired, s.ID)
	delete(r.resurrected, s.ID)
}

// PutResurrected adds a registration that had been removed before the store came back from an older copy. The server
// may have left, so that it isn't used until its registration has outlived resurrectedTimeout.
func (r *Registry) PutResurrected(s backend.Server, now time.Time) {
	r.Put(s)
	r.resurrected[s.ID] = now.Add(resurrectedTimeout)
}

// Remove removes a registration. now is when this process received the removal.
func (r *Registry) Remove(id string, now time.Time) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	delete(r.servers, id)
	if _, ok := r.resurrected[id]; ok {
		delete(r.resurrected, id)
		return
	}
	if s.State == backend.Ready {
		r.expired[id] = expiry{server: s, at: now, inOutage: r.MayBeOld(now)}
	}
}

// Drop removes a registration whose value names no server any more. Unlike one that was removed, it is in the store, so
// that no outage explains it.
func (r *Registry) Drop(id string) {
	delete(r.servers, id)
	delete(r.expired, id)
	delete(r.resurrected, id)
}

// Servers returns the servers to use, in the order of their ids. It includes servers whose registration expired
// because of an outage and may still return.
func (r *Registry) Servers(now time.Time) []backend.Server {
	used := maps.Clone(r.servers)
	recent := 0
	for id, e := range r.expired {
		if now.Sub(e.at) > returnTimeout || r.uptime.excludesOutage(e.at, returnTimeout) {
			delete(r.expired, id)
		} else if now.Sub(e.at) <= massExpiryWindow {
			recent++
		}
	}
	total := len(r.servers) + len(r.expired)
	massExpiry := recent >= massExpiryMin && float64(recent) >= massExpiryShare*float64(total)
	for id, e := range r.expired {
		if massExpiry && now.Sub(e.at) <= massExpiryWindow && !e.inMass {
			e.inMass = true
			r.expired[id] = e
		}
		if e.inMass || e.inOutage && (r.unreachable || now.Sub(r.reachableAt) < returnTimeout) {
			used[id] = e.server
		}
	}
	for id, until := range r.resurrected {
		if now.Before(until) {
			delete(used, id)
		} else {
			delete(r.resurrected, id)
		}
	}
	servers := make([]backend.Server, 0, len(used))
	for _, id := range slices.Sorted(maps.Keys(used)) {
		servers = append(servers, used[id])
	}
	return servers
}

// IsUnsettled reports whether the result of Servers changes as time passes: there are expired registrations that may
// return, or resurrected ones.
func (r *Registry) IsUnsettled() bool { return len(r.expired)+len(r.resurrected) > 0 }
