// Package kvcache knows which parts of prompts lie whole in which cache store, and decides what a
// request fetches and what it saves. The gateway feeds it the stores' events and asks it for a plan for
// each request; the leader asks it what to free. It has no clock and no network.
//
// Invariant: a plan names a part as a source only if the store has reported it whole under the store's
// present epoch, and the latest reading of the store is no older than FreshFor.
package kvcache

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// FreshFor is how long the reading of a store counts. A store that restarts empty may be written
	// again by whoever knows; nobody may fetch by what it held before. It spans two long polls of a gateway
	// that reads for others, and one of theirs.
	FreshFor = 1800 * time.Millisecond
	// FetchFor bounds a fetch from the moment it is planned: later it is thrown away by the engine. An
	// engine doesn't start a transfer that would wait longer than two seconds.
	FetchFor = 1500 * time.Millisecond
	// savePending is how long a save may go without a report before it counts as lost: the time
	// to read the longest prompt in a full queue.
	savePending = 4 * time.Second
	// fullShare is the share of a store's capacity from which on nothing more is saved to it. The rest
	// is for saves of other gateways that aren't reported yet.
	fullShare = 0.97
	// minPartTokens is the smallest part that is worth a transfer; a shorter one is read in a step.
	minPartTokens = 48
	// lastPartMemory is how many last parts of prompts are remembered to see whether they return.
	lastPartMemory = 4096
)

// SetGateways takes how many gateways save to the stores.
func (c *Catalogue) SetGateways(n int) { c.gateways = max(1, n) }

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Key names a part in a store: its content and the salt that keeps it from other weights and walls.
type Key struct {
	Salt string
	ID   string
}

// Change is one event of a store.
type Change struct {
	Key    Key
	Tokens int
	// Removed tells that the part is gone; otherwise it is whole.
	Removed bool
}

// Batch is one reading of a store: the changes since the last one, or all that it holds.
type Batch struct {
	Epoch int64
	// Next is the number to read on from.
	Next int64
	// Lost tells that changes before these are missing.
	Lost    bool
	Changes []Change
	// ClockMS is the servers' clock at the reading, in Unix milliseconds; zero when the store doesn't say.
	ClockMS int64
	// Age is how old the reading was when it was passed on by another gateway; zero from the store itself.
	Age time.Duration
}

// Plan says where each part of a prompt comes from and goes to. An empty address means nowhere.
type Plan struct {
	Fetch []string
	Save  []string
	// FetchTokens are the tokens that the sources hold, ReadTokens those that must be computed.
	FetchTokens int
	ReadTokens  int
	// FetchMS is the expected time of the fetches, in milliseconds, TransferMS the part of it without waiting.
	FetchMS    float64
	TransferMS float64
	// Until is when fetches are thrown away.
	Until time.Time
}

// WithoutFetch returns the plan with its saves only.
func (p *Plan) WithoutFetch() *Plan {
	saves := *p
	saves.Fetch = make([]string, len(p.Fetch))
	return &saves
}

// Catalogue is what one gateway knows of all stores. It is not safe for concurrent use.
type Catalogue struct {
	stores []*store
	home   string
	// gateways is how many gateways save to the stores.
	gateways int
	// tokenBytes is the size of one token of KV cache.
	tokenBytes int
	// lastParts remembers the last parts of recent prompts; recurring counts those that came again.
	lastParts map[string]struct{}
	lastOrder []string
	lastSeen  int
	lastAgain int
	// newest is the newest named weight version by model, retired the retired share by generation.
	newest  map[string]int64
	retired map[Generation]int
	// touchedAt is when the latest news came.
	touchedAt time.Time
	// firstChange is where the numbers of changes begin; it tells runs of a gateway apart.
	firstChange int64
}

// New returns a Catalogue without stores, of a gateway in the failure domain home: prompts come back to
// gateways of the same domain, so their parts are saved near it.
func New(home string) *Catalogue {
	return &Catalogue{
		home:      home,
		gateways:  1,
		lastParts: make(map[string]struct{}),
		newest:    make(map[string]int64),
		retired:   make(map[Generation]int),
	}
}

// SetStores takes the stores of the configuration and the size of one token of KV cache, in bytes; what
// is known of stores that stay is kept.
func (c *Catalogue) SetStores(stores []routing.CacheStore, tokenBytes int) {
	c.tokenBytes = max(1, tokenBytes)
	kept := make([]*store, 0, len(stores))
	for _, s := range stores {
		known := c.find(s.Address)
		if known == nil {
			known = &store{whole: make(map[Key]int), pending: make(map[Key]pendingSave), next: c.firstChange}
		}
		known.CacheStore = s
		kept = append(kept, known)
	}
	c.stores = kept
}

func (c *Catalogue) find(address string) *store {
	for _, s := range c.stores {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// Apply takes one reading of a store. askedAt is when it was asked for. It returns whether the whole
// content must be listed, since changes are missing.
func (c *Catalogue) Apply(address string, batch Batch, askedAt, now time.Time) (list bool) {
	s := c.find(address)
	if s == nil {
		return false
	}
	if s.epoch != batch.Epoch {
		s.restart(batch.Epoch, now)
	}
	for _, change := range batch.Changes {
		s.apply(change)
	}
	s.readAt = askedAt
	return batch.Lost
}

// Replace takes a listing of all that a store holds.
func (c *Catalogue) Replace(address string, batch Batch, askedAt, now time.Time) {
	s := c.find(address)
	if s == nil {
		return
	}
	if s.epoch != batch.Epoch {
		s.restart(batch.Epoch, now)
	}
	s.whole = make(map[Key]int, len(batch.Changes))
	s.used = 0
	s.skip()
	for _, change := range batch.Changes {
		s.apply(change)
	}
	s.readAt = askedAt
}

// Estimate is what the stores hold of a prompt.
type Estimate struct {
	// Tokens are the leading tokens that can be fetched.
	Tokens int
	// MS is the expected time of the fetches, in milliseconds, TransferMS the part of it without waiting.
	MS         float64
	TransferMS float64
}

// Estimate returns what a request that runs in domain could fetch.
func (c *Catalogue) Estimate(g Generation, salt string, parts []Part, domain string, now time.Time) Estimate {
	var e Estimate
	for _, p := range parts {
		source := c.source(g, Key{Salt: salt, ID: p.ID}, p.Tokens, domain, now)
		if source == nil {
			break
		}
		e.add(c, source, p.Tokens, domain, now)
	}
	return e
}

func (e *Estimate) add(c *Catalogue, s *store, tokens int, domain string, now time.Time) {
	transfer := c.transferMS(s, tokens, domain)
	e.Tokens += tokens
	e.TransferMS += transfer
	e.MS += transfer + s.lag(now)
}

// Plan decides what a request that runs in domain saves, and what it fetches when it may fetch. It
// remembers the saves.
func (c *Catalogue) Plan(g Generation, salt string, parts []Part, domain string, fetch bool, now time.Time) Plan {
	plan := Plan{
		Fetch: make([]string, len(parts)),
		Save:  make([]string, len(parts)),
		Until: now.Add(FetchFor),
	}
	leading := fetch
	var estimate Estimate
	saveLast := c.lastReturns(parts)
	saves := !c.superseded(g)
	for i, p := range parts {
		key := Key{Salt: salt, ID: p.ID}
		source := c.source(g, key, p.Tokens, domain, now)
		leading = leading && source != nil
		if leading {
			plan.Fetch[i] = source.Address
			estimate.add(c, source, p.Tokens, domain, now)
			continue
		}
		plan.ReadTokens += p.Tokens
		if source != nil || !saves || p.Tokens < minPartTokens || i == len(parts)-1 && !saveLast {
			continue
		}
		if target := c.target(key, p.Tokens, now); target != nil {
			target.pending[key] = pendingSave{tokens: p.Tokens, at: now}
			target.reserved += p.Tokens
			plan.Save[i] = target.Address
		}
	}
	plan.FetchTokens, plan.FetchMS, plan.TransferMS = estimate.Tokens, estimate.MS, estimate.TransferMS
	return plan
}

// source returns the store to fetch a part from, or nil: the one that is expected to be the quickest.
func (c *Catalogue) source(g Generation, key Key, tokens int, domain string, now time.Time) *store {
	if !c.mayFetch(g, key.ID, tokens, now) {
		return nil
	}
	var best *store
	var bestMS float64
	for _, s := range c.stores {
		if !s.holds(key, tokens, now) {
			continue
		}
		ms := c.transferMS(s, tokens, domain) + s.lag(now)
		if best == nil || ms < bestMS {
			best, bestMS = s, ms
		}
	}
	return best
}

const (
	// distantFactor is how much longer a transfer between failure domains takes.
	distantFactor = 2
	// bitsPerMbpsMS is how many bits a link of one megabit a second carries in a millisecond.
	bitsPerMbpsMS = 1000
	bitsPerByte   = 8
	// lagLearn is the weight of one fetch in what is learnt of a store's lag.
	lagLearn = 0.15
	// lagHalfLife is the time after which a lag that no fetch has confirmed counts half: a store that is
	// avoided is tried again.
	lagHalfLife = time.Second
	// lagLimit bounds the lag: a transfer that would wait for longer isn't started.
	lagLimit = 2000.0
)

// transferMS returns the time of a transfer apart from waiting, in milliseconds.
func (c *Catalogue) transferMS(s *store, tokens int, domain string) float64 {
	ms := float64(tokens*c.tokenBytes*bitsPerByte) / (max(s.LinkMbps, 1) * bitsPerMbpsMS)
	if s.FailureDomain != domain {
		ms *= distantFactor
	}
	return ms + float64(s.FirstByte)/float64(time.Millisecond)
}

// Fetched takes how much longer than its transfers the fetches of a plan took, in milliseconds.
func (c *Catalogue) Fetched(plan *Plan, waitedMS float64, now time.Time) {
	waitedMS = min(max(waitedMS, 0), lagLimit)
	for i, address := range plan.Fetch {
		if address == "" || i > 0 && address == plan.Fetch[i-1] {
			continue
		}
		if s := c.find(address); s != nil {
			lag := s.lag(now)
			s.lagMS, s.lagAt = lag+lagLearn*(waitedMS-lag), now
		}
	}
}

// target returns the store to save a part to, or nil. Quick stores in the gateway's failure domain come
// first; among equals the part's rank decides, so that gateways agree.
func (c *Catalogue) target(key Key, tokens int, now time.Time) *store {
	var best *store
	var bestScore float64
	for _, s := range c.stores {
		if s.awaits(key, now) {
			return nil
		}
		if !s.takes(tokens, c.gateways, now) {
			continue
		}
		score := (c.transferMS(s, tokens, c.home) + s.lag(now)) * (1 + rankSpread*s.rank(key))
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// rankSpread lets the rank of a part outweigh differences in cost of up to as much, so that stores of
// about the same cost share the parts.
const rankSpread = 0.5

// lastReturns reports whether last parts of prompts come again, so that saving one pays, and
// remembers this one.
func (c *Catalogue) lastReturns(parts []Part) bool {
	if len(parts) == 0 {
		return false
	}
	id := parts[len(parts)-1].ID
	c.lastSeen++
	if _, again := c.lastParts[id]; again {
		c.lastAgain++
		return true
	}
	c.lastParts[id] = struct{}{}
	c.lastOrder = append(c.lastOrder, id)
	if len(c.lastOrder) > lastPartMemory {
		delete(c.lastParts, c.lastOrder[0])
		c.lastOrder = c.lastOrder[1:]
	}
	return false
}

// Expire gives up saves that were never reported, so that their space counts as free.
func (c *Catalogue) Expire(now time.Time) {
	for _, s := range c.stores {
		for key := range s.pending {
			s.awaits(key, now)
		}
	}
}

// Held is one part that a store holds.
type Held struct {
	Address string
	Epoch   int64
	Key     Key
	Tokens  int
}

// Select returns the parts that lie whole in the stores and that match.
func (c *Catalogue) Select(match func(key Key, tokens int) bool) []Held {
	var found []Held
	for _, s := range c.stores {
		for key, tokens := range s.whole {
			if match(key, tokens) {
				found = append(found, Held{Address: s.Address, Epoch: s.epoch, Key: key, Tokens: tokens})
			}
		}
	}
	return found
}

// Forget drops parts that were freed before the store reports it.
func (c *Catalogue) Forget(address string, keys []Key) {
	s := c.find(address)
	if s == nil {
		return
	}
	for _, key := range keys {
		s.apply(Change{Key: key, Removed: true})
	}
}

// State returns what is known of each store.
func (c *Catalogue) State(now time.Time) []StoreState {
	states := make([]StoreState, len(c.stores))
	for i, s := range c.stores {
		states[i] = StoreState{
			Address: s.Address, Epoch: s.epoch, AgeMS: now.Sub(s.readAt).Milliseconds(), Parts: len(s.whole),
			Pending: len(s.pending), Used: s.used, Capacity: s.CapacityTokens, Available: s.fresh(now), LagMS: s.lag(now),
		}
	}
	return states
}
