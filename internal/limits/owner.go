package limits

import (
	"math"
	"time"
)

const (
	// minIntervalFactor is the smallest share of the interval after which an entry with a partial grant
	// draws again.
	minIntervalFactor = 1.0 / 3
	// maxJitter is the share of the interval over which draws are spread, by multiples of the golden
	// ratio, which are distributed evenly.
	maxJitter   = 0.2
	goldenRatio = 1.618033988749895
)

// Owner grants parts of the limits that this entry owns. It is not safe for concurrent use.
//
// Invariant: the sum of its grants of an organisation's limit over T seconds is at most
// limit x (T + burst), for any number of entries that draw.
type Owner struct {
	pools map[string]*pool
}

// pool is the owner's state of one organisation's limit.
type pool struct {
	requests      bucket
	tokens        bucket
	demandByEntry map[string]entryDemand
	drawCount     uint64 // number of draws so far
	totalDemand   Amount // sum of the amounts in demandByEntry
	prunedAt      time.Time
}

// entryDemand is the amount that an entry requested in its last draw.
type entryDemand struct {
	requested Amount
	at        time.Time
}

// NewOwner returns an Owner that has granted nothing.
func NewOwner() *Owner { return &Owner{pools: make(map[string]*pool)} }

// Draw grants the requested amount, as far as the limit and the demand of the other entries allow.
func (o *Owner) Draw(now time.Time, d Draw, limit Limit) Grant {
	p := o.pools[d.Organisation]
	if p == nil {
		p = &pool{demandByEntry: make(map[string]entryDemand), prunedAt: now}
		o.pools[d.Organisation] = p
	}
	p.recordDemand(now, d)
	interval := p.interval()
	granted := Amount{
		Requests: p.requests.grant(now, limit.Requests, interval, d.Requested.Requests, p.totalDemand.Requests),
		Tokens:   p.tokens.grant(now, limit.Tokens, interval, d.Requested.Tokens, p.totalDemand.Tokens),
	}
	return Grant{Amount: granted, Valid: 2 * p.nextDrawAfter(interval, granted, d.Requested)}
}

// nextDrawAfter returns the time until the entry should draw again: the interval, or less when it was granted
// only a part of the requested amount. The times are jittered, since entries that started to draw at the same
// time would otherwise continue to draw at the same time.
func (p *pool) nextDrawAfter(interval time.Duration, granted, requested Amount) time.Duration {
	p.drawCount++
	_, jitter := math.Modf(float64(p.drawCount) * goldenRatio)
	part := min(grantedShare(granted.Requests, requested.Requests), grantedShare(granted.Tokens, requested.Tokens))
	factor := max(part, minIntervalFactor) * (1 - maxJitter*jitter)
	return max(time.Duration(factor*float64(interval)), minInterval)
}

func grantedShare(granted, requested float64) float64 {
	if requested <= 0 {
		return 1
	}
	return granted / requested
}

// Prune deletes organisations for which no entry draws. The caller prunes about once a minute.
func (o *Owner) Prune(now time.Time) {
	for name, p := range o.pools {
		p.prune(now)
		if len(p.demandByEntry) == 0 {
			delete(o.pools, name)
		}
	}
}

// Organisations returns the number of organisations for which entries draw.
func (o *Owner) Organisations() int { return len(o.pools) }

// recordDemand replaces the recorded demand of one entry.
func (p *pool) recordDemand(now time.Time, d Draw) {
	if now.Sub(p.prunedAt) >= p.interval() {
		p.prune(now)
	}
	p.removeDemand(d.From)
	p.demandByEntry[d.From] = entryDemand{requested: d.Requested, at: now}
	p.totalDemand.Requests += d.Requested.Requests
	p.totalDemand.Tokens += d.Requested.Tokens
}

func (p *pool) removeDemand(from string) {
	old := p.demandByEntry[from].requested
	p.totalDemand.Requests -= old.Requests
	p.totalDemand.Tokens -= old.Tokens
	delete(p.demandByEntry, from)
	if len(p.demandByEntry) == 0 {
		p.totalDemand = Amount{} // clears rounding errors
	}
}

// prune deletes the demand of entries that stopped drawing.
func (p *pool) prune(now time.Time) {
	p.prunedAt = now
	limit := 3 * p.interval()
	for from, d := range p.demandByEntry {
		if now.Sub(d.at) > limit {
			p.removeDemand(from)
		}
	}
}

// interval returns the time between two draws of an entry.
func (p *pool) interval() time.Duration {
	seconds := float64(len(p.demandByEntry)) / maxDrawsPerSecond
	return min(max(time.Duration(seconds*float64(time.Second)), minInterval), maxInterval)
}

// bucket is a token bucket that fills at a limit's rate and is emptied by grants.
type bucket struct {
	level    float64
	filledAt time.Time
}

// grant returns the part of the requested amount that one entry gets. When the bucket is less than half full and
// the demand of all entries exceeds what the rate provides in an interval, each gets a part in proportion to its
// demand.
func (m *bucket) grant(now time.Time, rate float64, interval time.Duration, requested, demand float64) float64 {
	if rate <= 0 {
		return requested
	}
	bound := rate * max(burstSeconds, interval.Seconds())
	m.fill(now, rate, bound)
	part := requested
	if perInterval := rate * interval.Seconds(); m.level < bound/2 && demand > perInterval {
		part = perInterval * requested / demand
	}
	part = min(part, m.level)
	m.level -= part
	return part
}

func (m *bucket) fill(now time.Time, rate, bound float64) {
	if m.filledAt.IsZero() {
		m.level = rate * burstSeconds
	} else if elapsed := now.Sub(m.filledAt).Seconds(); elapsed > 0 {
		m.level += elapsed * rate
	}
	m.filledAt = now
	m.level = min(m.level, bound)
}
