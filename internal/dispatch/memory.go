package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

const (
	// memoryShare is the share of an engine's memory that running requests may reserve before others wait.
	// The rest is left for the tokens that they still generate.
	memoryShare = 0.95
	// urgentMemoryShare is the share of the memory that is left free for the most urgent requests. An engine without
	// free memory for them evicts a running request, whose prompt must then be computed again.
	urgentMemoryShare = 0.14
	// defaultHoldMS is the time for which a request is assumed to reserve memory until requests have been measured, in
	// milliseconds.
	defaultHoldMS = 1500.0
	// holdSmoothing is the weight of an observation in the average of that time, for a request that fills an engine's
	// memory. Smaller requests weigh proportionally less.
	holdSmoothing = 0.5
)

// memory is the part of one engine's memory that this gateway's requests reserve, in tokens. Requests that share a part
// share its memory too. The count ignores that isolated organisations do not share memory.
type memory struct {
	reservedTokens int
	partUses       map[string]int
}

func (m *memory) reserve(parts []kvcache.Part, output int) {
	if m.partUses == nil {
		m.partUses = make(map[string]int)
	}
	for _, p := range parts {
		if m.partUses[p.ID]++; m.partUses[p.ID] == 1 {
			m.reservedTokens += p.Tokens
		}
	}
	m.reservedTokens += output
}

func (m *memory) release(parts []kvcache.Part, output int) {
	for _, p := range parts {
		if m.partUses[p.ID]--; m.partUses[p.ID] <= 0 {
			m.reservedTokens -= p.Tokens
			delete(m.partUses, p.ID)
		}
	}
	m.reservedTokens = max(0, m.reservedTokens-output)
}

// need returns the memory that a request would reserve in addition, in tokens.
func (m *memory) need(r *Request) int {
	need := r.OutputTokens
	for _, p := range r.Parts {
		if m.partUses[p.ID] == 0 {
			need += p.Tokens
		}
	}
	return need
}

// memoryWaitMS returns how long a prompt waits at an engine until enough memory is released, in milliseconds:
// the missing memory divided by the rate at which a full engine releases it. Every gateway of the failure domain
// may claim the free memory of an unassigned engine before it has received the load of the others.
func (d *Dispatcher) memoryWaitMS(now time.Time, r *Request, g *service, s *server) float64 {
	if g.Engine == nil || g.Engine.CacheTokens == 0 {
		return 0
	}
	limit := memoryShare * float64(g.Engine.CacheTokens)
	limit -= d.reserve(now, r, g) * float64(g.Engine.CacheTokens)
	need := s.memory.need(r)
	if s.unassigned {
		need *= d.claimants(g)
	}
	missing := float64(s.memory.reservedTokens+s.peerLoad.ReservedTokens+need) - limit
	if missing <= 0 {
		return 0
	}
	return missing / float64(g.Engine.CacheTokens) * g.holdMS
}

// updateHoldTime updates the average time that requests reserve memory, weighted by the amount of memory. speed is the
// server's in the time that it took.
func (g *service) updateHoldTime(p *Placement, took time.Duration, speed float64) {
	if g.Engine == nil || g.Engine.CacheTokens == 0 {
		return
	}
	weight := min(1, holdSmoothing*float64(p.reservedTokens)/float64(g.Engine.CacheTokens))
	g.holdMS += weight * (float64(took)/float64(time.Millisecond)/speed - g.holdMS)
}

// observePriority records the rank of the most urgent requests to the service so far; 0 is the most urgent.
func (g *service) observePriority(priority int) {
	if !g.hasPriority || priority < g.topPriority {
		g.topPriority, g.hasPriority = priority, true
	}
}
