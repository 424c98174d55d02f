// Package registry turns the registrations of backend servers into the set of servers to use. It tells
// a server that has left from one whose registration lapsed because the metadata store was away: such
// registrations return within moments, and until then the servers serve on.
package registry

import (
	"maps"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
)

const (
	// returnFor is how long a lapsed registration may take to return after the store is back.
	returnFor = 2200 * time.Millisecond
	// massShare is the share of the registrations that lapse together only when the store was away,
	// and massWithin is what counts as together.
	massShare  = 0.4
	massWithin = 1500 * time.Millisecond
	// massLeast is the least number of registrations that make such a share mean anything.
	massLeast = 3
)

// lapse is a registration that vanished while its server was ready.
type lapse struct {
	server backend.Server
	at     time.Time
}

// Registry is the set of servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]backend.Server
	lapsed  map[string]lapse
	// storeBack is when the store was last reached again after an outage.
	storeBack time.Time
	away      bool
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{servers: make(map[string]backend.Server), lapsed: make(map[string]lapse)}
}

// StoreAway notes that the store doesn't answer, or is about to be asked again.
func (r *Registry) StoreAway() { r.away = true }

// StoreBack notes that the store answers.
func (r *Registry) StoreBack(now time.Time) {
	if r.away {
		r.away = false
		r.storeBack = now
	}
}

// Put takes a registration.
func (r *Registry) Put(s backend.Server) {
	r.servers[s.ID] = s
	delete(r.lapsed, s.ID)
}

// Remove takes the end of a registration. now is when this process heard of it.
func (r *Registry) Remove(id string, now time.Time) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	delete(r.servers, id)
	if s.State == backend.Ready {
		r.lapsed[id] = lapse{server: s, at: now}
	}
}

// Servers returns the servers to use, in the order of their ids.
func (r *Registry) Servers(now time.Time) []backend.Server {
	used := maps.Clone(r.servers)
	recent := 0
	for id, l := range r.lapsed {
		if now.Sub(l.at) > returnFor {
			delete(r.lapsed, id)
		} else if now.Sub(l.at) <= massWithin {
			recent++
		}
	}
	total := len(r.servers) + len(r.lapsed)
	mass := recent >= massLeast && float64(recent) >= massShare*float64(total)
	for id, l := range r.lapsed {
		if mass || r.away || l.at.Sub(r.storeBack) < returnFor && now.Sub(r.storeBack) < returnFor {
			used[id] = l.server
		}
	}
	servers := make([]backend.Server, 0, len(used))
	for _, id := range slices.Sorted(maps.Keys(used)) {
		servers = append(servers, used[id])
	}
	return servers
}

// Lapsing reports whether the result of Servers changes by time alone.
func (r *Registry) Lapsing() bool { return len(r.lapsed) > 0 }
