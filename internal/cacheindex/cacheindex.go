// Package cacheindex is an agent's index of its engine's prefix cache. The engine publishes cache
// events late and with gaps; the agent applies them here together with what it knows at once from
// its own imports and runs. The control goroutine owns an Index.
//
// The index only predicts. The engine decides at the run what it has, so a wrong entry costs a
// recomputation or a needless fetch.
package cacheindex

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// ownTrust is how long an import or run of the agent counts although no event has confirmed it.
// It exceeds the delay of the engine's events.
const ownTrust = 5 * time.Second

// Kind tells what happened to a piece.
type Kind uint8

// The kinds of events.
const (
	Stored Kind = iota + 1
	Removed
)

// Event is one change of the engine's cache. Sequence numbers have no holes in the engine.
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
	// stored holds what events and resyncs say.
	stored map[piece.Name]struct{}
	// own holds the pieces that the agent knows of at once, and until when that counts.
	own map[piece.Name]time.Time
	// sequence is the number up to which stored is known; latest the last one published.
	sequence  uint64
	latest    uint64
	synced    bool
	suspect   bool
	updatedAt time.Time
	gaps      uint64
	resyncs   uint64
	changes   []Change
}

// New returns an empty Index that asks for a resync.
func New() *Index {
	return &Index{
		stored:  make(map[piece.Name]struct{}),
		own:     make(map[piece.Name]time.Time),
		suspect: true,
	}
}

// Apply takes events in the order of their sequence numbers. The events up to latest are complete
// but for lost ones; events that were applied before are passed over. A missing number makes the
// index suspect, and so does a latest that falls, since it means that the engine restarted: the
// index stays usable, and NeedsResync returns true.
func (x *Index) Apply(events []Event, latest uint64, now time.Time) {
	x.updatedAt = now
	x.Sweep(now)
	if latest < x.latest {
		x.noteGap()
	}
	x.latest = latest
	for _, e := range events {
		if e.Sequence <= x.sequence {
			continue
		}
		if e.Sequence != x.sequence+1 {
			x.noteGap()
		}
		x.sequence = e.Sequence
		x.applyOne(e)
	}
	// A resync is ahead of the events that it covers, so a lower latest is no gap.
	if latest > x.sequence {
		x.noteGap()
		x.sequence = latest
	}
}

func (x *Index) noteGap() {
	if !x.suspect {
		x.gaps++
	}
	x.suspect = true
}

func (x *Index) applyOne(e Event) {
	switch e.Kind {
	case Stored:
		x.store(e.Piece)
	case Removed:
		x.unstore(e.Piece)
	}
}

// NeedsResync reports whether the index may differ from the cache by more than late events.
func (x *Index) NeedsResync() bool { return x.suspect }

// Resync replaces what events said with the exact content of the cache as of sequence.
func (x *Index) Resync(pieces []piece.Name, sequence uint64, now time.Time) {
	exact := make(map[piece.Name]struct{}, len(pieces))
	for _, name := range pieces {
		exact[name] = struct{}{}
	}
	for name := range x.stored {
		if _, ok := exact[name]; !ok {
			x.unstore(name)
		}
	}
	for name := range exact {
		x.store(name)
	}
	x.sequence = sequence
	x.latest = min(x.latest, sequence)
	x.synced = true
	x.suspect = false
	x.updatedAt = now
	x.resyncs++
}

// Own records that the agent has just imported a piece or seen a run store it. It counts for a few
// seconds, until an event or resync confirms it. A piece that the engine confirmed before needs no
// such trust.
func (x *Index) Own(name piece.Name, now time.Time) {
	if _, ok := x.stored[name]; ok {
		return
	}
	if !x.Has(name, now) {
		x.note(name, true)
	}
	x.own[name] = now.Add(ownTrust)
}

// Forget records that the engine has just denied having a piece.
func (x *Index) Forget(name piece.Name) {
	_, stored := x.stored[name]
	_, own := x.own[name]
	delete(x.stored, name)
	delete(x.own, name)
	if stored || own {
		x.note(name, false)
	}
}

// Sweep ends the trust in own knowledge that nothing has confirmed.
func (x *Index) Sweep(now time.Time) {
	for name, until := range x.own {
		if until.After(now) {
			continue
		}
		delete(x.own, name)
		if _, ok := x.stored[name]; !ok {
			x.note(name, false)
		}
	}
}

// Has reports whether a piece is believed to be in the cache.
func (x *Index) Has(name piece.Name, now time.Time) bool {
	if _, ok := x.stored[name]; ok {
		return true
	}
	until, ok := x.own[name]
	return ok && until.After(now)
}

// Prefix returns how many leading pieces of a prompt are believed to be in the cache.
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

func (x *Index) store(name piece.Name) {
	if _, ok := x.stored[name]; ok {
		return
	}
	x.stored[name] = struct{}{}
	if _, ok := x.own[name]; !ok {
		x.note(name, true)
	}
	// Confirmed: from now on the engine's word counts, also that the piece is gone.
	delete(x.own, name)
}

func (x *Index) unstore(name piece.Name) {
	if _, ok := x.stored[name]; !ok {
		return
	}
	delete(x.stored, name)
	if _, ok := x.own[name]; !ok {
		x.note(name, false)
	}
}

func (x *Index) note(name piece.Name, present bool) {
	x.changes = append(x.changes, Change{Piece: name, Present: present})
}

// State is the part of an Index that dumps show.
type State struct {
	Pieces   int    `json:"pieces"`
	Own      int    `json:"own"`
	Sequence uint64 `json:"sequence"`
	Synced   bool   `json:"synced"`
	Suspect  bool   `json:"suspect"`
	AgeMS    int64  `json:"age_ms"`
	Gaps     uint64 `json:"gaps"`
	Resyncs  uint64 `json:"resyncs"`
}

// State returns the index's counts and the time since its last update.
func (x *Index) State(now time.Time) State {
	state := State{
		Pieces:   len(x.stored),
		Own:      len(x.own),
		Sequence: x.sequence,
		Synced:   x.synced,
		Suspect:  x.suspect,
		Gaps:     x.gaps,
		Resyncs:  x.resyncs,
	}
	if !x.updatedAt.IsZero() {
		state.AgeMS = now.Sub(x.updatedAt).Milliseconds()
	}
	return state
}
