package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// maxEvacuations bounds the evacuated failure domains that are kept without having servers, and maxDomainBytes the length of
	// their names: deployments have a few domains with short names, and whoever may write the operator's keys must not be able to
	// fill the memory. Domains that have servers are always kept.
	maxEvacuations = 512
	maxDomainBytes = 256
	// maxEvacuationBytes bounds the values that the mirror keeps of evacuations, in bytes. The operator writes `{}`.
	maxEvacuationBytes = 1 << 10
	// unlistedEvacuationTTL is how long an evacuation stays in force after an era began whose first listing doesn't have it. The
	// operator writes again what the store has lost; what it doesn't write again in that time has been withdrawn.
	unlistedEvacuationTTL = 5 * time.Second
	// maxLoggedServers bounds the servers that a log line about an evacuation names.
	maxLoggedServers = 8
	// sourceStore is the source of what the metadata store itself returned. Other sources are control addresses of gateways.
	sourceStore = "metastore"
)

// evacuation is a failure domain whose servers get no requests.
type evacuation struct {
	domain string
	// position is that of the operator's key, source where it was learned from.
	position metastore.Position
	source   string
	since    time.Time
	// unlisted is set when a later era began whose first listing doesn't have the key.
	unlisted bool
}

// evacuations are the evacuations in force. It is not safe for concurrent use.
//
// Invariant: a domain is evacuated from the change that brings its key until the one that removes it, or for
// unlistedEvacuationTTL after an era began that doesn't list it.
type evacuations struct {
	inForce map[string]evacuation
	// incomplete is set once a key was not kept because of the bounds.
	incomplete bool
}

func newEvacuations() *evacuations { return &evacuations{inForce: make(map[string]evacuation)} }

// put records that a domain's key exists. began reports whether its evacuation wasn't in force before, kept is false if the bounds
// leave no room for it.
func (e *evacuations) put(next evacuation, hasServers bool) (began, kept bool) {
	known, ok := e.inForce[next.domain]
	if ok {
		known.position, known.unlisted = next.position, false
		e.inForce[next.domain] = known
		return false, true
	}
	if !hasServers && (len(e.inForce) >= maxEvacuations || len(next.domain) > maxDomainBytes) {
		e.incomplete = true
		return false, false
	}
	e.inForce[next.domain] = next
	return true, true
}

// setUnlisted records that a later era doesn't list the domain's key. It reports whether the domain is evacuated.
func (e *evacuations) setUnlisted(domain string) bool {
	known, ok := e.inForce[domain]
	if ok {
		known.unlisted = true
		e.inForce[domain] = known
	}
	return ok
}

// remove ends an evacuation and returns it. It returns false if the domain isn't evacuated.
func (e *evacuations) remove(domain string) (evacuation, bool) {
	known, ok := e.inForce[domain]
	delete(e.inForce, domain)
	return known, ok
}

// lapsed returns the domains whose evacuations end because the latest era, which began at eraSince, doesn't list them.
func (e *evacuations) lapsed(now, eraSince time.Time) []string {
	var lapsed []string
	for _, domain := range e.domains() {
		if e.inForce[domain].unlisted && now.Sub(eraSince) >= unlistedEvacuationTTL {
			lapsed = append(lapsed, domain)
		}
	}
	return lapsed
}

// domains returns the evacuated domains, sorted.
func (e *evacuations) domains() []string { return slices.Sorted(maps.Keys(e.inForce)) }

// isEvacuation reports whether a key of the metadata store evacuates a failure domain.
func (f *Fleet) isEvacuation(key string) bool { return f.Platform.Documents.EvacuatedDomain(key) != "" }

// applyEvacuations applies those of the changed keys that evacuate a failure domain. A changed key that exists in the mirror
// evacuates its domain, whatever its value.
func (f *Fleet) applyEvacuations(keys []string, source string, now time.Time) {
	keys = slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return !f.isEvacuation(key) })
	if len(keys) == 0 {
		return
	}
	servers := f.dispatcher.ServersByDomain()
	for _, key := range keys {
		domain := f.Platform.Documents.EvacuatedDomain(key)
		entry, exists := f.mirror.Get(key)
		switch {
		case exists:
			f.beginEvacuation(evacuation{domain: domain, position: entry.Modified(), source: source, since: now}, servers[domain])
			if _, err := f.Platform.Documents.Read(key, entry.Value); err != nil {
				f.reportUnreadable(key, entry, err)
			} else {
				delete(f.unreadable, key)
			}
		case entry.Unlisted:
			if f.evacuations.setUnlisted(domain) {
				f.Log.Warn(EventEvacuationUnlisted, zap.String("failure_domain", clipDomain(domain)), zap.Int64("era", int64(entry.Era)),
					zap.String("source", source), zap.Duration("lapses_in", max(0, unlistedEvacuationTTL-now.Sub(f.eraSince))))
			}
		default:
			f.endEvacuation(domain, servers[domain], entry.Modified(), source, now)
		}
	}
	f.publishEvacuations(now)
	if source == sourceStore {
		// The gateways that don't read the store learn from heartbeats that there are changes. With the regular ones an evacuation
		// would wait for the interval between them.
		f.broadcastBeat()
	}
}

// beginEvacuation records that the key of a domain with the given servers exists.
func (f *Fleet) beginEvacuation(next evacuation, servers []string) {
	wasIncomplete := f.evacuations.incomplete
	began, kept := f.evacuations.put(next, len(servers) > 0)
	switch {
	case began:
		f.Log.Warn(EventEvacuationBegan, zap.String("failure_domain", clipDomain(next.domain)), zap.Int("servers", len(servers)), idsField(servers),
			zap.Int64("revision", int64(next.position.Revision)), zap.Int64("era", int64(next.position.Era)), zap.String("source", next.source))
	case !kept && !wasIncomplete:
		f.Log.Warn(EventEvacuationNotKept, zap.String("failure_domain", clipDomain(next.domain)), zap.Int("length", len(next.domain)),
			zap.Int("kept", len(f.evacuations.inForce)))
	}
}

// endEvacuation ends an evacuation because of a change at a position of the metadata store.
func (f *Fleet) endEvacuation(domain string, servers []string, at metastore.Position, source string, now time.Time) {
	ended, ok := f.evacuations.remove(domain)
	if !ok {
		return
	}
	f.Log.Warn(EventEvacuationEnded, zap.String("failure_domain", clipDomain(domain)), zap.Int("servers", len(servers)), idsField(servers),
		zap.Int64("revision", int64(at.Revision)), zap.Int64("era", int64(at.Era)), zap.String("source", source),
		zap.Bool("unlisted", ended.unlisted), zap.Duration("age", now.Sub(ended.since)))
	f.dispatcher.MarkCold(now, domain)
}

// publishEvacuations passes the evacuated domains to the dispatcher and the request path.
func (f *Fleet) publishEvacuations(now time.Time) {
	domains := f.evacuations.domains()
	f.dispatcher.SetEvacuated(now, domains)
	evacuated := make(map[string]bool, len(domains))
	for _, domain := range domains {
		evacuated[domain] = true
	}
	f.evacuated.Store(&evacuated)
	f.Counters.EvacuatedDomains.Update(float64(len(domains)))
}

// lapseEvacuations ends the evacuations that the latest era hasn't listed in time.
func (f *Fleet) lapseEvacuations(now time.Time) {
	lapsed := f.evacuations.lapsed(now, f.eraSince)
	if len(lapsed) == 0 {
		return
	}
	servers := f.dispatcher.ServersByDomain()
	for _, domain := range lapsed {
		f.endEvacuation(domain, servers[domain], metastore.Position{Era: metastore.Era(f.era.Load())}, sourceStore, now)
	}
	f.publishEvacuations(now)
}

// keepEvacuationsOfServers begins the evacuations that were beyond the bounds while their domains had no servers. It is called after
// the servers have changed.
func (f *Fleet) keepEvacuationsOfServers(now time.Time) {
	if !f.evacuations.incomplete {
		return
	}
	servers := f.dispatcher.ServersByDomain()
	for _, entry := range f.mirror.Under(f.Platform.Documents.OperatorPrefix()) {
		if domain := f.Platform.Documents.EvacuatedDomain(entry.Key); domain != "" {
			f.beginEvacuation(evacuation{domain: domain, position: entry.Modified(), source: sourceStore, since: now}, servers[domain])
		}
	}
	f.publishEvacuations(now)
}

// IsEvacuated reports whether the servers of a failure domain get no requests. It may be called from any goroutine.
func (f *Fleet) IsEvacuated(failureDomain string) bool {
	evacuated := f.evacuated.Load()
	return evacuated != nil && (*evacuated)[failureDomain]
}

func clipDomain(domain string) string { return fmt.Sprintf("%.*s", maxDomainBytes, domain) }

// idsField returns the log field for the first of some servers.
func idsField(servers []string) zap.Field {
	return zap.Strings("ids", servers[:min(len(servers), maxLoggedServers)])
}

// EvacuationState is an evacuated failure domain in a dump.
type EvacuationState struct {
	FailureDomain string `json:"failure_domain"`
	// Servers is the number of servers in the domain.
	Servers  int    `json:"servers"`
	Revision int64  `json:"revision"`
	Era      int64  `json:"era"`
	Source   string `json:"source"`
	AgeMS    int64  `json:"age_ms"`
	// LapsesInMS is the time until the evacuation ends because the present era doesn't list it; 0 if it is listed.
	LapsesInMS int64 `json:"lapses_in_ms,omitempty"`
}

// evacuationStates returns the evacuations in force.
func (f *Fleet) evacuationStates(now time.Time) []EvacuationState {
	states := make([]EvacuationState, 0, len(f.evacuations.inForce))
	servers := f.dispatcher.ServersByDomain()
	for _, domain := range f.evacuations.domains() {
		e := f.evacuations.inForce[domain]
		state := EvacuationState{
			FailureDomain: clipDomain(domain), Servers: len(servers[domain]), Revision: int64(e.position.Revision),
			Era: int64(e.position.Era), Source: e.source, AgeMS: now.Sub(e.since).Milliseconds(),
		}
		if e.unlisted {
			state.LapsesInMS = max(1, (unlistedEvacuationTTL - now.Sub(f.eraSince)).Milliseconds())
		}
		states = append(states, state)
	}
	return states
}
