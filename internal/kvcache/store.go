package kvcache

import (
	"math"
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// store is what is known of one cache store.
type store struct {
	routing.CacheStore
	epoch int64
	// readAt is when the latest reading was asked for; zero before the first.
	readAt time.Time
	// saveFrom is when the first save after a restart may be planned. unsure tells that the store was empty when
	// this gateway first read it, so that it may have restarted just before.
	saveFrom time.Time
	unsure   bool
	whole    map[Key]int
	pending  map[Key]pendingSave
	used     int
	reserved int
	// lagMS is how much longer than its transfer a fetch took lately: the wait for the store's link.
	lagMS float64
	lagAt time.Time
	// changes are the latest ones, numbered up to next, for gateways that read the store through this one.
	changes []Change
	next    int64
}

type pendingSave struct {
	tokens int
	at     time.Time
}

// restart forgets what a store held in an earlier epoch. Until every gateway has either seen the new
// epoch or holds its reading for too old, and fetches under way have ended, nothing is saved there. The same
// goes for a store that is read for the first time, unless it holds something: whoever saved that has waited.
func (s *store) restart(epoch int64, now time.Time) {
	s.saveFrom = now.Add(FreshFor + FetchFor)
	s.unsure = s.epoch == 0
	s.epoch = epoch
	s.whole = make(map[Key]int)
	s.pending = make(map[Key]pendingSave)
	s.used, s.reserved = 0, 0
	s.skip()
}

func (s *store) apply(change Change) {
	s.used -= s.whole[change.Key]
	delete(s.whole, change.Key)
	if !change.Removed {
		s.whole[change.Key] = change.Tokens
		s.used += change.Tokens
		s.sawContent()
	}
	s.settle(change.Key)
	s.record(change)
}

// sawContent notes that the store holds something.
func (s *store) sawContent() {
	if s.unsure {
		s.unsure, s.saveFrom = false, time.Time{}
	}
}

// settle ends the wait for a save.
func (s *store) settle(key Key) {
	if p, ok := s.pending[key]; ok {
		s.reserved -= p.tokens
		delete(s.pending, key)
	}
}

func (s *store) fresh(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < FreshFor
}

// holds reports whether the whole part may be fetched from the store.
func (s *store) holds(key Key, tokens int, now time.Time) bool {
	return s.whole[key] >= tokens && s.fresh(now)
}

// lag returns the expected wait for the store, in milliseconds.
func (s *store) lag(now time.Time) float64 {
	if s.lagMS == 0 {
		return 0
	}
	return s.lagMS * math.Exp2(-float64(now.Sub(s.lagAt))/float64(lagHalfLife))
}

// rank returns a number in [0, 1) on which all gateways agree.
func (s *store) rank(key Key) float64 {
	return float64(rendezvous.Weight(rendezvous.Hash(key.ID), rendezvous.Hash(s.Address))>>11) / (1 << 53)
}

// awaits reports whether the part is already on its way to the store.
func (s *store) awaits(key Key, now time.Time) bool {
	p, ok := s.pending[key]
	if ok && now.Sub(p.at) > savePending {
		s.settle(key)
		return false
	}
	return ok
}

// takes reports whether a part probably finds room. The saves of other gateways that aren't reported yet are
// taken to be as many as this one's.
func (s *store) takes(tokens, gateways int, now time.Time) bool {
	return s.Managed && s.fresh(now) && !now.Before(s.saveFrom) &&
		float64(s.used+s.reserved*gateways+tokens) < fullShare*float64(s.CapacityTokens)
}

// StoreState is what a dump shows of one store.
type StoreState struct {
	Address   string  `json:"address"`
	Epoch     int64   `json:"epoch"`
	AgeMS     int64   `json:"age_ms"`
	Parts     int     `json:"parts"`
	Pending   int     `json:"pending"`
	Used      int     `json:"used_tokens"`
	Capacity  int     `json:"capacity_tokens"`
	Available bool    `json:"available"`
	LagMS     float64 `json:"lag_ms"`
}
