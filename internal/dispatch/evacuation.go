package dispatch

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated replaces the evacuated failure domains. No request is placed on a server there, in any search pass. Requests that
// run there and plans for KV cache in the domain's stores aren't affected.
func (d *Dispatcher) SetEvacuated(now time.Time, domains []string) {
	for _, s := range d.servers {
		if d.isEvacuated(s) && !slices.Contains(domains, s.FailureDomain) {
			s.returned.begin(now)
		}
	}
	clear(d.evacuated)
	for _, domain := range domains {
		d.evacuated[domain] = true
	}
	// The engines that are left are considered more often.
	d.assignEngines()
}

// isEvacuated reports whether the server is in an evacuated failure domain. The domain is the one of the server's latest
// registration, so that registrations and evacuations may arrive in any order.
func (d *Dispatcher) isEvacuated(s *server) bool {
	return len(d.evacuated) > 0 && d.evacuated[s.FailureDomain]
}

// countEvacuated returns the number of servers of a service that are in evacuated failure domains.
func (d *Dispatcher) countEvacuated(group *service) (count int) {
	for _, s := range group.servers {
		if d.isEvacuated(s) {
			count++
		}
	}
	return count
}

// ServersByDomain returns the ids of the servers by failure domain, sorted.
func (d *Dispatcher) ServersByDomain() map[string][]string {
	byDomain := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		domain := d.servers[id].FailureDomain
		byDomain[domain] = append(byDomain[domain], id)
	}
	return byDomain
}

// evacuatedServers counts the servers of a service that an evacuation keeps from a request.
type evacuatedServers struct {
	// all are those that could continue what the caller has; left are those among them that the request wasn't sent to and that
	// have weights that it may run on.
	all, left int
}

func (e *evacuatedServers) count(d *Dispatcher, now time.Time, r *Request, s *server) {
	e.all++
	if slices.Contains(r.Tried, s.ID) {
		return
	}
	if r.Model != "" && !d.hasWeights(now, r, s) {
		return
	}
	e.left++
}

// hasWeights reports whether a request for a model would start on weights of the server on which it may.
func (d *Dispatcher) hasWeights(now time.Time, r *Request, s *server) bool {
	version := s.weightVersion[r.Model]
	return version != 0 && version >= r.MinVersion && !d.startsOverdue(now, r, s)
}
