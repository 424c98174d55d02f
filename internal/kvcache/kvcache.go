// Package kvcache keeps a catalogue of the prompt parts that are complete in each cache store, and decides what
// a request fetches and what it saves. The gateway applies the stores' events to a Catalogue and calls it for
// a plan for each request; the leader calls it for the parts to free. The package has no clock and no network.
//
// Invariant: a plan fetches a part from a store only if the store has reported the part complete in its
// current epoch, the latest reading of the store is younger than ReadingTTL, and no gateway has a save of the part under way
// that it planned before it knew the part.
package kvcache

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// ReadingTTL is how long the reading of a store is valid. After a store has restarted empty, gateways that have
	// read it again may save to it, and by then no gateway may still fetch by a reading from before the restart.
	// ReadingTTL covers two long polls by a gateway that relays its readings, and one poll by a gateway that
	// receives them.
	ReadingTTL = 1800 * time.Millisecond
	// saveReadingTTL is how long the reading of a store is valid for saves. A part may be fetched only when no saves are planned by
	// readings from before it was complete any more, so a longer time delays fetches of new parts.
	saveReadingTTL = 500 * time.Millisecond
	// FetchTimeout limits the time of a fetch from its planning; the engine discards what arrives later. An
	// engine doesn't start a transfer that would wait longer than two seconds.
	FetchTimeout = 1500 * time.Millisecond
	// saveTimeout is how long a save may stay unreported before it counts as lost: the time to compute
	// the longest prompt in a full queue.
	saveTimeout = 4 * time.Second
	// maxFillRatio is the share of a store's capacity up to which this gateway saves to it. The rest is left for
	// saves of other gateways that aren't reported yet.
	maxFillRatio = 0.97
	// minPartTokens is the size of the smallest part that is worth a transfer; a shorter one is computed in
	// one step of the engine.
	minPartTokens = 48
	// maxHomes limits the failure domains that are compared for one prompt, which has few parts.
	maxHomes = 8
	// maxLastParts limits the last parts of prompts that are kept to detect those that recur.
	maxLastParts = 4096
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Key identifies a part in a store by its content and by the salt, which separates weight versions and cache
// isolation boundaries.
type Key struct {
	Salt string
	ID   string
}

// Change is one event of a store.
type Change struct {
	Key    Key
	Tokens int
	// Removed means that the store no longer has the part; otherwise the part is complete.
	Removed bool
	// Unnumbered means that the position of the reading may be before the change, as in a listing: the store reports changes late.
	Unnumbered bool
}

// Batch is one reading of a store: the changes since the last reading, or its full content.
type Batch struct {
	Epoch int64
	// Next is the change number at which the next reading starts.
	Next int64
	// Lost means that changes before these are missing.
	Lost    bool
	Changes []Change
	// Position is the store's own number of its latest change; zero if a gateway that doesn't tell it has relayed the reading.
	Position int64
	// ClockMS is the servers' clock at the reading, in Unix milliseconds; zero when the store doesn't report it.
	ClockMS int64
	// Age is the age of the reading when another gateway relayed it; zero when it came from the store itself.
	Age time.Duration
}

// Catalogue is one gateway's view of all stores. It is not safe for concurrent use.
type Catalogue struct {
	stores []*store
	// peers are the tokens that each other gateway has reserved for saves, by store address.
	peers map[string]map[string]int
	// confirmedEpochs are, by store address, epochs that another gateway has known for restartWait.
	confirmedEpochs map[string]int64
	// tokenBytes is the size of one token of KV cache, in bytes.
	tokenBytes int
	// lastParts are the ids of the last parts of recent prompts, lastPartOrder the same, the oldest first.
	lastParts     map[string]struct{}
	lastPartOrder []string
	// newestVersions is the newest target weight version by model, retiredShares the retired share by
	// generation, in thousandths.
	newestVersions map[string]int64
	retiredShares  map[Generation]int
	// fetchUntil is the end of the lease to fetch; zero before the first.
	fetchUntil time.Time
	// readFrom is from when a store must have been read for fetches from it.
	readFrom time.Time
	// openSaves are this gateway's open saves by the id of their plan, lastSaveID is the latest id.
	openSaves  map[uint64]openSaves
	lastSaveID uint64
	// gateways are the other gateways that may save, valid if knowsGateways is set. saveReports are the latest reports of each run of a
	// gateway, by storeEpoch.
	gateways           []GatewayRun
	knowsGateways      bool
	saveReports        map[GatewayRun]map[uint64]receivedReport
	gatewayRestartedAt time.Time
	reportsEvaluatedAt time.Time
	// firstChange is the first change number. It differs between runs of a gateway.
	firstChange int64
}

// New returns a Catalogue without stores.
func New() *Catalogue {
	return &Catalogue{
		peers:           make(map[string]map[string]int),
		confirmedEpochs: make(map[string]int64),
		lastParts:       make(map[string]struct{}),
		newestVersions:  make(map[string]int64),
		retiredShares:   make(map[Generation]int),
		openSaves:       make(map[uint64]openSaves),
		saveReports:     make(map[GatewayRun]map[uint64]receivedReport),
	}
}

// SetStores sets the stores of the configuration and the size of one token of KV cache, in bytes. The state of
// stores that remain is kept.
func (c *Catalogue) SetStores(stores []routing.CacheStore, tokenBytes int) {
	c.tokenBytes = max(1, tokenBytes)
	kept := make([]*store, 0, len(stores))
	for _, s := range stores {
		existing := c.find(s.Address)
		if existing == nil {
			existing = &store{complete: make(map[Key]storedPart), pending: make(map[Key]pendingSave), next: c.firstChange}
		}
		existing.CacheStore = s
		existing.reservedByPeers = 0
		for _, reserved := range c.peers {
			existing.reservedByPeers += reserved[s.Address]
		}
		kept = append(kept, existing)
	}
	c.stores = kept
}

// SetPeer sets the tokens that another gateway has reserved for saves that no store has reported yet, by store address.
// Nil removes the gateway.
func (c *Catalogue) SetPeer(peer string, reserved map[string]int) {
	before := c.peers[peer]
	for _, s := range c.stores {
		s.reservedByPeers += reserved[s.Address] - before[s.Address]
	}
	if reserved == nil {
		delete(c.peers, peer)
		return
	}
	c.peers[peer] = reserved
}

// Epoch is how long a gateway has known the epoch of a store.
type Epoch struct {
	Address string
	Epoch   int64
	// Age is the time from its first to its latest reading.
	Age time.Duration
}

// Epochs returns how long this gateway has known the epoch of each store, to be sent to gateways that have started.
func (c *Catalogue) Epochs() []Epoch {
	var epochs []Epoch
	for _, s := range c.stores {
		if s.epoch != 0 {
			// The first reading was requested before it was received.
			epochs = append(epochs, Epoch{Address: s.Address, Epoch: s.epoch, Age: max(0, s.readAt.Sub(s.epochFrom))})
		}
	}
	return epochs
}

// ConfirmEpoch ends the wait before the first save to a store whose epoch another gateway has known for restartWait.
func (c *Catalogue) ConfirmEpoch(e Epoch) {
	if e.Age < restartWait {
		return
	}
	c.confirmedEpochs[e.Address] = e.Epoch
	if s := c.find(e.Address); s != nil && s.epoch == e.Epoch {
		s.saveFrom = time.Time{}
	}
}

// restart starts the epoch of a store that was just read.
func (c *Catalogue) restart(s *store, epoch int64, now time.Time) {
	s.restart(epoch, now)
	if confirmed, ok := c.confirmedEpochs[s.Address]; ok && confirmed == epoch {
		s.saveFrom = time.Time{}
	}
}

// Reserved returns the tokens that this gateway has reserved for saves, by store address, to be sent to the others.
func (c *Catalogue) Reserved() map[string]int {
	reserved := make(map[string]int)
	for _, s := range c.stores {
		if s.reserved > 0 {
			reserved[s.Address] = s.reserved
		}
	}
	return reserved
}

func (c *Catalogue) find(address string) *store {
	for _, s := range c.stores {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// Apply applies one reading of a store, which was requested at requestedAt. It returns true when the full content
// must be listed because changes are missing; the reading then counts only with the listing. Unknown stores are ignored.
func (c *Catalogue) Apply(address string, batch Batch, requestedAt, now time.Time) (list bool) {
	s := c.find(address)
	if s == nil {
		return false
	}
	// Changes after a number of an earlier epoch aren't all changes of the new one.
	incomplete := batch.Lost || s.epoch != 0 && s.epoch != batch.Epoch
	if s.epoch != batch.Epoch {
		c.restart(s, batch.Epoch, now)
	}
	for _, change := range batch.Changes {
		change.Unnumbered = change.Unnumbered || incomplete || batch.Position == 0
		s.apply(change, batch.Position, now)
	}
	if !incomplete && !s.isBehind(batch.Position) {
		s.readAt = requestedAt
		s.recordPosition(batch.Position, requestedAt)
	}
	return incomplete
}

// Replace replaces the content of a store by a full listing, which was requested at requestedAt.
func (c *Catalogue) Replace(address string, batch Batch, requestedAt, now time.Time) {
	s := c.find(address)
	if s == nil {
		return
	}
	if s.epoch != batch.Epoch {
		c.restart(s, batch.Epoch, now)
	}
	if s.isBehind(batch.Position) {
		return
	}
	s.replace(batch.Changes, now)
	s.readAt = requestedAt
	s.recordPosition(batch.Position, requestedAt)
}

// Expire drops saves that weren't reported in time, so that their space counts as free.
func (c *Catalogue) Expire(now time.Time) {
	for _, s := range c.stores {
		for key := range s.pending {
			s.savePending(key, now)
		}
	}
}

// StoredPart is one complete part in a store.
type StoredPart struct {
	Address string
	Epoch   int64
	Key     Key
	Tokens  int
}

// Filter returns the complete parts in the stores for which match returns true.
func (c *Catalogue) Filter(match func(key Key, tokens int) bool) []StoredPart {
	var found []StoredPart
	for _, s := range c.stores {
		for key, part := range s.complete {
			if match(key, part.tokens) {
				found = append(found, StoredPart{Address: s.Address, Epoch: s.epoch, Key: key, Tokens: part.tokens})
			}
		}
	}
	return found
}

// RemoveFreed removes parts that were freed, before the store reports their removal.
func (c *Catalogue) RemoveFreed(address string, keys []Key, now time.Time) {
	s := c.find(address)
	if s == nil {
		return
	}
	for _, key := range keys {
		s.apply(Change{Key: key, Removed: true}, s.position, now)
	}
}

// State returns the state of each store for dumps.
func (c *Catalogue) State(now time.Time) []StoreState {
	c.evaluateReports(now)
	states := make([]StoreState, len(c.stores))
	for i, s := range c.stores {
		reportedAge := int64(-1)
		if !s.reportedAsOf.IsZero() {
			reportedAge = now.Sub(s.reportedAsOf).Milliseconds()
		}
		states[i] = StoreState{
			Address: s.Address, Epoch: s.epoch, AgeMS: now.Sub(s.readAt).Milliseconds(), Parts: len(s.complete),
			Pending: len(s.pending), Used: s.used, Capacity: s.CapacityTokens, Available: s.fresh(now), LagMS: s.lag(now),
			OpenSaves: len(s.openSaves), ReportedAgeMS: reportedAge,
		}
	}
	return states
}
