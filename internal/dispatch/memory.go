package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

const (
	// memoryShare is the share of an engine's memory that running requests may take before others wait:
	// the rest is room for what they still write.
	memoryShare = 0.95
	// urgentShare is the share of the memory that is left to requests that go before: an engine that has no
	// room for them throws a running request out, which is then read once more.
	urgentShare = 0.14
	// defaultHoldMS is the time that a request holds its memory until some were measured, in milliseconds.
	defaultHoldMS = 1500.0
	// holdLearn is the weight of one engine's memory full of tokens in what is learnt of that time.
	holdLearn = 0.5
)

// memory is what this gateway's requests hold of one engine's memory, in tokens. Requests that share a part share
// its memory too; that those of walled organisations don't is left out of account.
type memory struct {
	tokens int
	uses   map[string]int
}

func (m *memory) take(parts []kvcache.Part, output int) {
	if m.uses == nil {
		m.uses = make(map[string]int)
	}
	for _, p := range parts {
		if m.uses[p.ID]++; m.uses[p.ID] == 1 {
			m.tokens += p.Tokens
		}
	}
	m.tokens += output
}

func (m *memory) release(parts []kvcache.Part, output int) {
	for _, p := range parts {
		if m.uses[p.ID]--; m.uses[p.ID] <= 0 {
			m.tokens -= p.Tokens
			delete(m.uses, p.ID)
		}
	}
	m.tokens = max(0, m.tokens-output)
}

// need returns the memory that a request would take besides.
func (m *memory) need(r *Request) int {
	need := r.OutputTokens
	for _, p := range r.Parts {
		if m.uses[p.ID] == 0 {
			need += p.Tokens
		}
	}
	return need
}

// memoryWait returns how long a prompt waits at an engine until enough memory is released, in milliseconds:
// what is missing, over the rate at which a full engine releases it. Room at an engine that isn't the gateway's
// own may be claimed by each gateway of the failure domain before it hears of the others.
func (g *service) memoryWait(r *Request, s *server) float64 {
	if g.Engine == nil || g.Engine.CacheTokens == 0 {
		return 0
	}
	room := memoryShare * float64(g.Engine.CacheTokens)
	if r.Priority > g.first {
		room -= urgentShare * float64(g.Engine.CacheTokens)
	}
	need := s.memory.need(r)
	if s.away {
		need *= g.claims
	}
	missing := float64(s.memory.tokens+s.others.Held+need) - room
	if missing <= 0 {
		return 0
	}
	return missing / float64(g.Engine.CacheTokens) * g.holdMS
}

// held learns how long requests hold their memory, weighted by its size.
func (g *service) held(p *Placement, took time.Duration) {
	if g.Engine == nil || g.Engine.CacheTokens == 0 {
		return
	}
	weight := min(1, holdLearn*float64(p.holds)/float64(g.Engine.CacheTokens))
	g.holdMS += weight * (float64(took)/float64(time.Millisecond) - g.holdMS)
}

// rank keeps the rank of the most urgent requests that the service has had; 0 goes first.
func (g *service) rank(priority int) {
	if !g.ranked || priority < g.first {
		g.first, g.ranked = priority, true
	}
}
