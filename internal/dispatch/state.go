package dispatch

import (
	"maps"
	"slices"
	"time"
)

// ServerState is the state of one server in a dump.
type ServerState struct {
	ID       string           `json:"id"`
	Service  string           `json:"service"`
	Versions map[string]int64 `json:"versions,omitempty"`
	Running  int              `json:"running"`
	Tokens   int              `json:"tokens"`
	Others   int              `json:"running_by_others"`
	// RequestKB is the size of this gateway's requests there, RequestKBOthers that of the other gateways', in kilobytes.
	RequestKB       int     `json:"request_kb"`
	RequestKBOthers int     `json:"request_kb_by_others"`
	Slowness        float64 `json:"slowness"`
	SuspectMS       int64   `json:"suspect_for_ms"`
	ExcludedMS      int64   `json:"withheld_for_ms"`
	Healthy         bool    `json:"healthy"`
	// LimitPerSecond is the limit of requests that the server states; 0 without one.
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
	// Evacuated reports that the server gets no requests because its failure domain is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	SpeedState
	// UnseenTokens are prompt tokens that the other gateways are expected to have sent to an engine that has just become available.
	UnseenTokens int `json:"unseen_tokens,omitempty"`
	// ColdMS is how much longer the server may be cold, ColdSource where that is known from; empty for warm servers.
	ColdMS     int64  `json:"cold_for_ms,omitempty"`
	ColdSource string `json:"cold_source,omitempty"`
}

// State returns the state of each server, sorted by id.
func (d *Dispatcher) State(now time.Time) []ServerState {
	states := make([]ServerState, 0, len(d.servers))
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		s := d.servers[id]
		states = append(states, ServerState{
			ID: id, Service: s.Service, Versions: maps.Clone(s.weightVersion), Running: s.running, Tokens: s.waitingTokens,
			RequestKB: s.kilobytes(), RequestKBOthers: s.peerLoad.KB,
			Others: s.peerLoad.Running, Slowness: s.slowness, SuspectMS: max(0, s.suspectUntil.Sub(now).Milliseconds()),
			ExcludedMS: max(0, s.excludedUntil.Sub(now).Milliseconds()), Healthy: d.health.Usable(now, id),
			LimitPerSecond: s.limit.perSecond, Evacuated: d.isEvacuated(s), SpeedState: s.speed.state(now), UnseenTokens: d.unseenTokens(now, s),
		})
	}
	for i := range states {
		if s := d.servers[states[i].ID]; d.isCold(now, s) {
			states[i].ColdMS, states[i].ColdSource = max(0, s.cold.until.Sub(now).Milliseconds()), s.cold.source
		}
	}
	return states
}

// SheddingState is what load shedding decides by at a service, in a dump. Requests and Placed count recent requests, LowRequests and
// LowPlaced those with a priority below the highest.
type SheddingState struct {
	Service          string  `json:"service"`
	ShortestTargetMS float64 `json:"shortest_target_ms"`
	TopPriority      int     `json:"top_priority"`
	Requests         float64 `json:"requests"`
	Placed           float64 `json:"placed"`
	LowRequests      float64 `json:"low_priority_requests"`
	LowPlaced        float64 `json:"low_priority_placed"`
}

// SheddingStates returns what load shedding decides by at each service, sorted by name; nil where it isn't used.
func (d *Dispatcher) SheddingStates(now time.Time) (states []SheddingState) {
	if !d.Sheds() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		s := d.services[name].sheddingState(now)
		states = append(states, SheddingState{
			Service: name, ShortestTargetMS: inMS(s.ShortestTarget), TopPriority: s.TopPriority,
			Requests: s.All.Requests, Placed: s.All.Placed, LowRequests: s.Low.Requests, LowPlaced: s.Low.Placed,
		})
	}
	return states
}
