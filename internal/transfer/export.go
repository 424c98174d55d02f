package transfer

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/store"
)

const (
	// maxActiveExports limits the exports in the link's queue or on the link, so that more valuable
	// ones offered later still go first.
	maxActiveExports = 2
	// exportTimeout limits the time of one export.
	exportTimeout = 10 * time.Second
)

// Offer offers the pieces of a prompt that the engine has just run for export, except those that
// are in a usable store.
func (m *Mover) Offer(organisation string, prompt Prompt) {
	now := time.Now()
	_, probability := m.returns.Observe(organisation, prompt.Names)
	value := Value(probability, prompt.PiecePrefill, m.pieceBytes, m.settings.BytesPerSecond)
	for i, name := range prompt.Names {
		if location, ok := m.locations.Find(name); ok && m.usable(location, now) {
			continue
		}
		m.exports.Offer(Candidate{
			Piece:       name,
			LookupPiece: prompt.Names[directory.LookupIndex(i)],
			Position:    i,
			Value:       value,
		})
	}
	m.enqueueExports()
}

// enqueueExports moves the most valuable waiting exports into the link's queue.
func (m *Mover) enqueueExports() {
	now := time.Now()
	for m.activeExports < maxActiveExports && m.exports.Len() > 0 && m.hasUsableStore(now) {
		candidate, _ := m.exports.Next()
		member := m.storeFor(candidate.LookupPiece, now)
		m.activeExports++
		m.link.Enqueue(&Transfer{
			Class: Export,
			Bytes: m.pieceBytes,
			Start: func() { m.startExport(candidate, member) },
		})
	}
	m.startTransfers()
}

// ExportsLeft returns the number of pieces whose export is waiting or active.
func (m *Mover) ExportsLeft() int { return m.exports.Len() + m.activeExports }

// startExport copies a piece from the engine to a store.
func (m *Mover) startExport(candidate Candidate, member *storeMember) {
	m.generation++
	generation := m.generation
	start := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, exportTimeout)
		defer cancel()
		bytes, err := m.export(ctx, candidate.Piece, member, generation)
		m.loop.Post(func() {
			m.finishExport(candidate, member, generation, bytes, err, time.Since(start))
		})
	}()
}

// export reads a piece from the engine and stores it.
func (m *Mover) export(ctx context.Context, name piece.Name, member *storeMember, generation uint64) (int, error) {
	data, err := m.engine.Export(ctx, name[:])
	if err != nil {
		return 0, err
	}
	return len(data), member.client.Put(ctx, name, generation, data, store.Export)
}

// finishExport handles the end of an export.
func (m *Mover) finishExport(c Candidate, member *storeMember, generation uint64, bytes int, err error, took time.Duration) {
	m.link.Finish(took)
	m.activeExports--
	switch {
	case err == nil:
		m.recordExport(c, member, generation, bytes)
	case errorx.IsOfType(err, engine.ErrNotCached):
		m.counters.exportFailed.Inc(1)
		m.observer.NotCached(c.Piece)
	case errorx.IsOfType(err, store.ErrFull):
		m.counters.exportFailed.Inc(1)
		m.evictFor(c, member)
	default:
		m.counters.exportFailed.Inc(1)
		m.retryLater(c, member)
	}
	m.enqueueExports()
}

// retryLater offers a piece again if its store is suspended, so that it waits for another store or
// for the end of the suspension. After any other failure the export is abandoned, since nothing
// would limit the rate of its retries.
func (m *Mover) retryLater(c Candidate, member *storeMember) {
	if member.client.Suspended(time.Now()) {
		m.exports.Offer(c)
	}
}

// recordExport records the location of an exported piece.
func (m *Mover) recordExport(c Candidate, member *storeMember, generation uint64, bytes int) {
	m.updatePieceBytes(bytes)
	m.counters.exported.Inc(1)
	m.counters.exportBytes.Inc(int64(bytes))
	location := Location{
		Piece: c.Piece, Store: member.client.Instance(), Generation: generation, Bytes: uint32(bytes), Own: true,
	}
	m.addLocation(location, c.Value, time.Now())
	m.observer.Stored(location, c.LookupPiece)
}

// evictFor deletes this agent's least valuable piece from a full store if its value is below that
// of the candidate, and then offers the candidate again.
func (m *Mover) evictFor(c Candidate, member *storeMember) {
	victim, ok := m.locations.Victim(member.client.Instance(), c.Value, time.Now())
	if !ok {
		return
	}
	location, _ := m.locations.Find(victim)
	m.locations.Remove(victim)
	m.observer.Lost(location)
	m.counters.evicted.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, exportTimeout)
		defer cancel()
		err := member.client.Delete(ctx, victim, store.Export)
		m.loop.Post(func() {
			if err == nil {
				m.exports.Offer(c)
				m.enqueueExports()
			}
		})
	}()
}
