// Package cacheindex is an agent's index of its engine's prefix cache. The engine publishes cache
// events late and with gaps. The agent applies them to the index, and adds the results of its own
// imports and runs without waiting for their events. The control goroutine owns an Index.
//
// The index is only a prediction. The engine determines its cached pieces when a run starts, so a
// wrong entry costs a recomputation or a needless fetch.
package cacheindex

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// unconfirmedTTL is how long a piece that the agent imported or a run stored stays in the index
// without an event that confirms it. It exceeds the delay of the engine's events.
const unconfirmedTTL = 5 * time.Second

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	Stored Kind = iota + 1
	Removed
)

// Event is one change of the engine's cache. The engine numbers its events without gaps.
type Event struct {
	Sequence uint64
	Kind     Kind
	Piece    piece.Name
}

// Change is a piece that became present or absent in the index.
type Change struct {
	Piece   piece.Name
	Present bool
}

// Index predicts which pieces the engine's cache holds.
type Index struct {
	// stored holds the pieces that events and resyncs reported.
	stored map[piece.Name]struct{}
	// unconfirmed holds the pieces that the agent added before an event confirmed them, and when
	// each entry expires.
	unconfirmed map[piece.Name]time.Time
	// sequence is the event number up to which stored is current, latest the last number that the
	// engine published.
	sequence  uint64
	latest    uint64
	synced    bool
	suspect   bool
	updatedAt time.Time
	gaps      uint64
	resyncs   uint64
	changes   []Change
}

// New returns an empty Index that needs a resync.
func New() *Index {
	return &Index{
		stored:      make(map[piece.Name]struct{}),
		unconfirmed: make(map[piece.Name]time.Time),
		suspect:     true,
	}
}

// Apply applies events in the order of their sequence numbers and skips those that were applied
// before. Events up to latest that are missing have been lost. A missing number makes the index
// suspect, and so does a latest below the previous one, since it means that the engine restarted:
// the index stays usable, and NeedsResync returns true.
func (x *Index) Apply(events []Event, latest uint64, now time.Time) {
	x.updatedAt = now
	x.Expire(now)
	if latest < x.latest {
		x.recordGap()
	}
	x.latest = latest
	for _, e := range events {
		if e.Sequence <= x.sequence {
			continue
		}
		if e.Sequence != x.sequence+1 {
			x.recordGap()
		}
		x.sequence = e.Sequence
		x.applyEvent(e)
	}
	// After a resync the index is ahead of the events that the resync covers, so a lower latest is
	// no gap.
	if latest > x.sequence {
		x.recordGap()
		x.sequence = latest
	}
}

func (x *Index) recordGap() {
	if !x.suspect {
		x.gaps++
	}
	x.suspect = true
}

func (x *Index) applyEvent(e Event) {
	switch e.Kind {
	case Stored:
		x.addStored(e.Piece)
	case Removed:
		x.removeStored(e.Piece)
	}
}

// NeedsResync reports whether the index may differ from the cache by more than delayed events.
func (x *Index) NeedsResync() bool { return x.suspect }

// Resync replaces the pieces reported by events with the exact content of the cache as of sequence.
func (x *Index) Resync(pieces []piece.Name, sequence uint64, now time.Time) {
	content := make(map[piece.Name]struct{}, len(pieces))
	for _, name := range pieces {
		content[name] = struct{}{}
	}
	for name := range x.stored {
		if _, ok := content[name]; !ok {
			x.removeStored(name)
		}
	}
	for name := range content {
		x.addStored(name)
	}
	x.sequence = sequence
	x.latest = min(x.latest, sequence)
	x.synced = true
	x.suspect = false
	x.updatedAt = now
	x.resyncs++
}

// AddUnconfirmed adds a piece that the agent has just imported or a run has just stored. The entry expires
// after a few seconds unless an event or resync confirms it. AddUnconfirmed does nothing for a piece that
// the engine has already confirmed.
func (x *Index) AddUnconfirmed(name piece.Name, now time.Time) {
	if _, ok := x.stored[name]; ok {
		return
	}
	if !x.Has(name, now) {
		x.recordChange(name, true)
	}
	x.unconfirmed[name] = now.Add(unconfirmedTTL)
}

// Remove removes a piece after the engine has just reported that it is not cached.
func (x *Index) Remove(name piece.Name) {
	_, stored := x.stored[name]
	_, unconfirmed := x.unconfirmed[name]
	delete(x.stored, name)
	delete(x.unconfirmed, name)
	if stored || unconfirmed {
		x.recordChange(name, false)
	}
}

// Expire removes unconfirmed entries whose TTL has ended.
func (x *Index) Expire(now time.Time) {
	for name, expiresAt := range x.unconfirmed {
		if expiresAt.After(now) {
			continue
		}
		delete(x.unconfirmed, name)
		if _, ok := x.stored[name]; !ok {
			x.recordChange(name, false)
		}
	}
}

// Has reports whether a piece is predicted to be in the cache.
func (x *Index) Has(name piece.Name, now time.Time) bool {
	if _, ok := x.stored[name]; ok {
		return true
	}
	expiresAt, ok := x.unconfirmed[name]
	return ok && expiresAt.After(now)
}

// Prefix returns how many leading pieces of a prompt are predicted to be in the cache.
func (x *Index) Prefix(names []piece.Name, now time.Time) int {
	for i, name := range names {
		if !x.Has(name, now) {
			return i
		}
	}
	return len(names)
}

// Sequence returns the number of the last applied event.
func (x *Index) Sequence() uint64 { return x.sequence }

// TakeChanges returns the pieces that became present or absent since the last call, in order.
func (x *Index) TakeChanges() []Change {
	changes := x.changes
	x.changes = nil
	return changes
}

func (x *Index) addStored(name piece.Name) {
	if _, ok := x.stored[name]; ok {
		return
	}
	x.stored[name] = struct{}{}
	if _, ok := x.unconfirmed[name]; !ok {
		x.recordChange(name, true)
	}
	// The piece is confirmed, so from now on only the engine's events count, also those that remove it.
	delete(x.unconfirmed, name)
}

func (x *Index) removeStored(name piece.Name) {
	if _, ok := x.stored[name]; !ok {
		return
	}
	delete(x.stored, name)
	if _, ok := x.unconfirmed[name]; !ok {
		x.recordChange(name, false)
	}
}

func (x *Index) recordChange(name piece.Name, present bool) {
	x.changes = append(x.changes, Change{Piece: name, Present: present})
}

// State is the part of a dump about an Index.
type State struct {
	Pieces      int    `json:"pieces"`
	Unconfirmed int    `json:"own"`
	Sequence    uint64 `json:"sequence"`
	Synced      bool   `json:"synced"`
	Suspect     bool   `json:"suspect"`
	AgeMS       int64  `json:"age_ms"`
	Gaps        uint64 `json:"gaps"`
	Resyncs     uint64 `json:"resyncs"`
}

// State returns the index's counts and the time since its last update.
func (x *Index) State(now time.Time) State {
	state := State{
		Pieces:      len(x.stored),
		Unconfirmed: len(x.unconfirmed),
		Sequence:    x.sequence,
		Synced:      x.synced,
		Suspect:     x.suspect,
		Gaps:        x.gaps,
		Resyncs:     x.resyncs,
	}
	if !x.updatedAt.IsZero() {
		state.AgeMS = now.Sub(x.updatedAt).Milliseconds()
	}
	return state
}
