package limits

import (
	"math"
	"time"
)

const (
	// shortestPart bounds how much earlier than its interval a drawer with a partial grant comes back.
	shortestPart = 1.0 / 3
	// maxSpread is the part of the interval over which draws are spread, by multiples of the golden
	// ratio, which fill it evenly.
	maxSpread   = 0.2
	goldenRatio = 1.618033988749895
)

// Home grants the limits of the organisations whose home this entry is.
//
// Invariant: what it granted of an organisation's limit over T seconds is at most
// limit x (T + burst), whoever drew.
type Home struct {
	pools map[string]*pool
}

// pool is the limit of one organisation.
type pool struct {
	requests meter
	tokens   meter
	drawers  map[string]drawer
	draws    uint64 // draws so far
	demand   Amount // sum of what the drawers want
	pruned   time.Time
}

// drawer is an entry that drew lately.
type drawer struct {
	want Amount
	at   time.Time
}

// NewHome returns a Home that has granted nothing.
func NewHome() *Home { return &Home{pools: make(map[string]*pool)} }

// Draw grants what the entry wants as far as the limit and the demand of others allow.
func (h *Home) Draw(now time.Time, d Draw, limit Limit) Grant {
	p := h.pools[d.Organisation]
	if p == nil {
		p = &pool{drawers: make(map[string]drawer), pruned: now}
		h.pools[d.Organisation] = p
	}
	p.note(now, d)
	interval := p.interval()
	granted := Amount{
		Requests: p.requests.grant(now, limit.Requests, interval, d.Want.Requests, p.demand.Requests),
		Tokens:   p.tokens.grant(now, limit.Tokens, interval, d.Want.Tokens, p.demand.Tokens),
	}
	return Grant{Amount: granted, Valid: 2 * p.comeBack(interval, granted, d.Want)}
}

// comeBack returns when the drawer should draw again: after the interval, or earlier when it got only
// a part of what it wants. The draws are spread, as entries that all began to draw together would go
// on drawing together.
func (p *pool) comeBack(interval time.Duration, granted, want Amount) time.Duration {
	p.draws++
	_, spread := math.Modf(float64(p.draws) * goldenRatio)
	part := min(ratio(granted.Requests, want.Requests), ratio(granted.Tokens, want.Tokens))
	factor := max(part, shortestPart) * (1 - maxSpread*spread)
	return max(time.Duration(factor*float64(interval)), minInterval)
}

func ratio(granted, want float64) float64 {
	if want <= 0 {
		return 1
	}
	return granted / want
}

// Prune forgets organisations that nobody draws for. The caller prunes about once a minute.
func (h *Home) Prune(now time.Time) {
	for name, p := range h.pools {
		p.prune(now)
		if len(p.drawers) == 0 {
			delete(h.pools, name)
		}
	}
}

// Organisations returns how many organisations have drawers.
func (h *Home) Organisations() int { return len(h.pools) }

// note records the demand of one entry.
func (p *pool) note(now time.Time, d Draw) {
	if now.Sub(p.pruned) >= p.interval() {
		p.prune(now)
	}
	p.forget(d.From)
	p.drawers[d.From] = drawer{want: d.Want, at: now}
	p.demand.Requests += d.Want.Requests
	p.demand.Tokens += d.Want.Tokens
}

func (p *pool) forget(from string) {
	old := p.drawers[from].want
	p.demand.Requests -= old.Requests
	p.demand.Tokens -= old.Tokens
	delete(p.drawers, from)
	if len(p.drawers) == 0 {
		p.demand = Amount{} // clears rounding errors
	}
}

// prune forgets entries that stopped drawing.
func (p *pool) prune(now time.Time) {
	p.pruned = now
	limit := 3 * p.interval()
	for from, d := range p.drawers {
		if now.Sub(d.at) > limit {
			p.forget(from)
		}
	}
}

// interval is how often each entry draws.
func (p *pool) interval() time.Duration {
	seconds := float64(len(p.drawers)) / maxDrawsPerSecond
	return min(max(time.Duration(seconds*float64(time.Second)), minInterval), maxInterval)
}

// meter fills with a limit's rate and is emptied by grants.
type meter struct {
	level  float64
	filled time.Time
}

// grant returns the part of want that one drawer gets. Once half of what may be saved up is gone,
// drawers that together want more than the rate gives in an interval get parts in proportion to
// what they want.
func (m *meter) grant(now time.Time, rate float64, interval time.Duration, want, demand float64) float64 {
	if rate <= 0 {
		return want
	}
	bound := rate * max(burstSeconds, interval.Seconds())
	m.fill(now, rate, bound)
	part := want
	if perInterval := rate * interval.Seconds(); m.level < bound/2 && demand > perInterval {
		part = perInterval * want / demand
	}
	part = min(part, m.level)
	m.level -= part
	return part
}

func (m *meter) fill(now time.Time, rate, bound float64) {
	if m.filled.IsZero() {
		m.level = rate * burstSeconds
	} else if elapsed := now.Sub(m.filled).Seconds(); elapsed > 0 {
		m.level += elapsed * rate
	}
	m.filled = now
	m.level = min(m.level, bound)
}
