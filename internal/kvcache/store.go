package kvcache

import (
	"math"
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// store is the last known state of one cache store.
type store struct {
	routing.CacheStore
	epoch int64
	// readAt is when the latest reading was requested; zero before the first.
	readAt time.Time
	// epochFrom is when this gateway first read the epoch. saveFrom is when the first save in the epoch may be planned.
	epochFrom time.Time
	saveFrom  time.Time
	complete  map[Key]storedPart
	pending   map[Key]pendingSave
	used      int
	reserved  int
	// position is the store's number of its latest change by the latest complete reading, positions the same for earlier readings in the
	// epoch, the latest last.
	position  int64
	positions []readPosition
	// reported is the position up to which all other gateways have reported that they have read the store, reportedAsOf the request time of
	// this gateway's latest reading at that position or before. openSaves are the parts of which some gateway has an open save. All are of
	// the latest evaluateReports.
	reported     int64
	reportedAsOf time.Time
	openSaves    map[openSaveID]bool
	// reservedByPeers are the tokens that the other gateways have reserved for saves.
	reservedByPeers int
	// lagMS is by how much recent fetches took longer than their transfers, in milliseconds: the wait for the
	// store's link. lagAt is when it was last updated.
	lagMS float64
	lagAt time.Time
	// changes are the latest changes, numbered up to next, for gateways that read the store through this one.
	changes []Change
	next    int64
}

type storedPart struct {
	tokens int
	// knownFrom is when this gateway learnt that the part is complete. position is not before that change; noPosition if there is none
	// that is known to be so.
	knownFrom time.Time
	position  int64
}

type pendingSave struct {
	tokens int
	at     time.Time
}

// restartWait is how long after a store has restarted nothing may be saved to it: until every gateway has either seen
// the new epoch or treats its reading as stale, and active fetches have ended.
const restartWait = ReadingTTL + FetchTimeout

// saveDelay is the longest time from the completion of a part until the store reports it.
const saveDelay = 500 * time.Millisecond

// settleTime is how much later than a part is known to be complete the store must have been read for the part to be
// fetched, at the earliest: no gateway plans saves by a reading from before any more. See isSettled for the saves that it has sent.
const settleTime = saveReadingTTL

// restart drops the content of an earlier epoch. The store may have restarted just before this reading, also if it is
// this gateway's first one and has content: a gateway that hasn't noticed the restart may have saved that. Unless
// another gateway has known the epoch for long enough, nothing is saved for restartWait.
func (s *store) restart(epoch int64, now time.Time) {
	s.epochFrom, s.saveFrom = now, now.Add(restartWait)
	s.epoch = epoch
	s.complete = make(map[Key]storedPart)
	s.pending = make(map[Key]pendingSave)
	s.used, s.reserved = 0, 0
	s.position, s.positions = 0, nil
	s.reported, s.reportedAsOf = noPosition, time.Time{}
	s.forceRelist()
}

// maxKnownFill is how much more than its capacity a store may report. Removals may be reported late.
const maxKnownFill = 2

// holds reports whether the store can have the part of a change beside its others. Parts that can't be saved are of no use, and
// the catalogue of a store that reports more than fits in it would exceed the memory.
func (s *store) holds(change Change) bool {
	return change.Tokens >= minPartTokens && s.used+change.Tokens <= maxKnownFill*s.CapacityTokens
}

// apply applies a change of a reading at a position.
func (s *store) apply(change Change, position int64, now time.Time) {
	before, known := s.complete[change.Key]
	s.used -= before.tokens
	delete(s.complete, change.Key)
	if !change.Removed && !s.holds(change) {
		if !known {
			return
		}
		change.Removed = true
	}
	if !change.Removed {
		part := storedPart{tokens: change.Tokens, knownFrom: now, position: position}
		if change.Unnumbered {
			part.position = noPosition
		}
		if part.tokens == before.tokens {
			part = before
		}
		s.complete[change.Key] = part
		s.used += change.Tokens
	}
	s.removePending(change.Key)
	s.recordChange(change)
}

// replace sets the complete parts. It applies only what differs, so that gateways which read through this one needn't list
// the store again.
func (s *store) replace(listing []Change, now time.Time) {
	listed := make(map[Key]int, len(listing))
	for _, change := range listing {
		listed[change.Key] = change.Tokens
	}
	for key := range s.complete {
		if _, ok := listed[key]; !ok {
			s.apply(Change{Key: key, Removed: true}, s.position, now)
		}
	}
	for key, tokens := range listed {
		if s.complete[key].tokens != tokens {
			s.apply(Change{Key: key, Tokens: tokens, Unnumbered: true}, s.position, now)
		}
	}
}

// removePending removes a pending save and its reservation.
func (s *store) removePending(key Key) {
	if p, ok := s.pending[key]; ok {
		s.reserved -= p.tokens
		delete(s.pending, key)
	}
}

func (s *store) fresh(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < ReadingTTL
}

// canServe reports whether the store has the complete part, settled, and its reading is fresh.
func (s *store) canServe(key Key, tokens int, now time.Time) bool {
	part := s.complete[key]
	return part.tokens >= tokens && s.fresh(now) && s.isSettled(key, part)
}

// lag returns the expected wait for the store's link, in milliseconds.
func (s *store) lag(now time.Time) float64 {
	if s.lagMS == 0 {
		return 0
	}
	return s.lagMS * math.Exp2(-float64(now.Sub(s.lagAt))/float64(lagHalfLife))
}

// rank returns the rank of the store for a part, in [0, 1). It is the same in all gateways.
func (s *store) rank(key Key) float64 {
	return float64(rendezvous.Weight(rendezvous.Hash(key.ID), rendezvous.Hash(s.Address))>>11) / (1 << 53)
}

// savePending reports whether a save of the part to the store is pending. It drops a save that has timed out.
func (s *store) savePending(key Key, now time.Time) bool {
	p, ok := s.pending[key]
	if ok && now.Sub(p.at) > saveTimeout {
		s.removePending(key)
		return false
	}
	return ok
}

// hasCapacity reports whether a part may be saved to the store and probably fits.
func (s *store) hasCapacity(tokens int, now time.Time) bool {
	return s.Managed && now.Sub(s.readAt) < saveReadingTTL && !now.Before(s.saveFrom) &&
		float64(s.used+s.reserved+s.reservedByPeers+tokens) < maxFillRatio*float64(s.CapacityTokens)
}

// StoreState is the part of a dump about one store.
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
	// OpenSaves is the number of complete parts that aren't fetched because some gateway has an open save of them. ReportedAgeMS is the age
	// of the latest reading up to which all gateways have reported theirs, in milliseconds; -1 if there is none.
	OpenSaves     int   `json:"open_saves"`
	ReportedAgeMS int64 `json:"reported_age_ms"`
}
