package kvcache

import (
	"slices"
	"time"
)

// Plan holds the store address from which each part of a prompt is fetched and the one to which it is saved.
// An empty address means that the part isn't fetched or saved.
type Plan struct {
	Fetch []string
	Save  []string
	// FetchTokens is the number of tokens to fetch, PrefillTokens the number to compute.
	FetchTokens   int
	PrefillTokens int
	// Gap is why the first shared part that is computed isn't fetched, GapTokens the number of tokens of it and of the shared parts
	// after it. Gap is empty if all shared parts are fetched.
	Gap       Gap
	GapTokens int
	// FetchMS is the expected time of the fetches, TransferMS the same without waiting; both in milliseconds.
	FetchMS    float64
	TransferMS float64
	// Until is when the engine discards fetches that haven't ended.
	Until time.Time
	// SaveBefore is when the readings by which the saves were planned are too old to send them.
	SaveBefore time.Time
	// saveID identifies the plan's open saves; zero for none.
	saveID uint64
}

// ForSending returns the plan, without the saves if it is too late to send them.
func (p *Plan) ForSending(now time.Time) *Plan {
	if now.Before(p.SaveBefore) {
		return p
	}
	fetches := *p
	fetches.Save = make([]string, len(p.Save))
	return &fetches
}

// WithoutFetch returns a copy of the plan that fetches nothing and keeps the saves.
func (p *Plan) WithoutFetch() *Plan {
	saves := *p
	saves.Fetch = make([]string, len(p.Fetch))
	return &saves
}

// Estimate describes how much of a prompt can be fetched from the stores, and in which time.
type Estimate struct {
	// Tokens is the number of leading tokens that can be fetched.
	Tokens int
	// MS is the expected time of the fetches, TransferMS the same without waiting; both in milliseconds.
	MS         float64
	TransferMS float64
}

// Estimate returns what a request that runs in the failure domain could fetch.
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

// Home returns the failure domain whose stores hold most of a prompt's leading parts, and how many tokens of it. The
// domain is empty if no part can be fetched. A transfer between failure domains occupies the link of a store for
// crossDomainFactor times as long.
func (c *Catalogue) Home(g Generation, salt string, parts []Part, now time.Time) (domain string, tokens int) {
	var domains [maxHomes]string
	var held [maxHomes]int
	best, n := 0, 0
	for _, p := range parts {
		source := c.source(g, Key{Salt: salt, ID: p.ID}, p.Tokens, "", now)
		if source == nil {
			break
		}
		i := slices.Index(domains[:n], source.FailureDomain)
		if i < 0 {
			if n == maxHomes {
				break
			}
			i, n = n, n+1
			domains[i] = source.FailureDomain
		}
		if held[i] += p.Tokens; held[i] > held[best] {
			best = i
		}
	}
	return domains[best], held[best]
}

// Plan decides what a request that runs in the failure domain saves and, if fetch is set, what it fetches. It
// records the saves as pending, and as open until the caller records what has become of the request.
func (c *Catalogue) Plan(g Generation, salt string, parts []Part, domain string, fetch bool, now time.Time) Plan {
	plan := Plan{
		Fetch:      make([]string, len(parts)),
		Save:       make([]string, len(parts)),
		Until:      now.Add(FetchTimeout),
		SaveBefore: now.Add(saveReadingTTL),
	}
	fetching := fetch
	var estimate Estimate
	saveLastPart := c.lastPartRecurs(parts)
	saveAllowed := !c.superseded(g)
	var saved []savedPart
	for i, p := range parts {
		key := Key{Salt: salt, ID: p.ID}
		source := c.source(g, key, p.Tokens, domain, now)
		fetching = fetching && source != nil
		if fetching {
			plan.Fetch[i] = source.Address
			estimate.add(c, source, p.Tokens, domain, now)
			continue
		}
		plan.PrefillTokens += p.Tokens
		if i < len(parts)-1 {
			if plan.Gap == "" {
				plan.Gap = c.gap(g, key, p.Tokens, fetch, now)
			}
			plan.GapTokens += p.Tokens
		}
		if source != nil || !saveAllowed || p.Tokens < minPartTokens || i == len(parts)-1 && !saveLastPart {
			continue
		}
		if target := c.target(key, p.Tokens, domain, now); target != nil {
			target.pending[key] = pendingSave{tokens: p.Tokens, at: now}
			target.reserved += p.Tokens
			plan.Save[i] = target.Address
			saved = append(saved, savedPart{target.Address, key})
			if staleAt := target.readAt.Add(saveReadingTTL); staleAt.Before(plan.SaveBefore) {
				plan.SaveBefore = staleAt
			}
		}
	}
	c.trackSaves(&plan, saved, now)
	plan.FetchTokens, plan.FetchMS, plan.TransferMS = estimate.Tokens, estimate.MS, estimate.TransferMS
	return plan
}

// source returns the store that is expected to deliver a part soonest, or nil when none may be used.
func (c *Catalogue) source(g Generation, key Key, tokens int, domain string, now time.Time) *store {
	if !c.mayFetch(g, key.ID, tokens, now) {
		return nil
	}
	c.evaluateReports(now)
	var best *store
	var bestMS float64
	for _, s := range c.stores {
		if s.readAt.Before(c.readFrom) || !s.canServe(key, tokens, now) {
			continue
		}
		ms := c.transferMS(s, tokens, domain) + s.lag(now)
		if best == nil || ms < bestMS {
			best, bestMS = s, ms
		}
	}
	return best
}

// target returns the store to save a part to from an engine in the failure domain, or nil. Stores with a short transfer
// time come first; among similar ones the part's rank decides, so that all gateways choose the same.
//
// Invariant: no part is saved to a store that is known to have it, whether or not this gateway may fetch it. Such a save would do
// nothing, unless the store restarts before the engine sends the part: then it would write the part while others still fetch it.
func (c *Catalogue) target(key Key, tokens int, domain string, now time.Time) *store {
	var best *store
	var bestScore float64
	for _, s := range c.stores {
		stored, known := s.complete[key]
		if s.savePending(key, now) || stored.tokens >= tokens && s.fresh(now) {
			return nil
		}
		if known || !s.hasCapacity(tokens, now) {
			continue
		}
		score := (c.transferMS(s, tokens, domain) + s.lag(now)) * (1 + rankWeight*s.rank(key))
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// rankWeight is the largest relative difference in cost that the rank of a part can outweigh, so that the parts
// are spread over stores of similar cost.
const rankWeight = 0.5

// lastPartRecurs reports whether the last part of this prompt was the last part of an earlier prompt too, so that
// saving it is worthwhile, and records it.
func (c *Catalogue) lastPartRecurs(parts []Part) bool {
	if len(parts) == 0 {
		return false
	}
	id := parts[len(parts)-1].ID
	if _, again := c.lastParts[id]; again {
		return true
	}
	c.lastParts[id] = struct{}{}
	c.lastPartOrder = append(c.lastPartOrder, id)
	if len(c.lastPartOrder) > maxLastParts {
		delete(c.lastParts, c.lastPartOrder[0])
		c.lastPartOrder = c.lastPartOrder[1:]
	}
	return false
}
