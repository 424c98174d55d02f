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
	// maxExporting bounds the exports that wait for the link, so that more valuable ones may
	// still overtake.
	maxExporting = 2
	// exportTimeout bounds one export.
	exportTimeout = 10 * time.Second
)

// Offer considers the pieces of a prompt that an engine has just run for export.
func (m *Mover) Offer(organisation string, prompt Prompt) {
	now := time.Now()
	_, probability := m.returns.Observe(organisation, prompt.Names)
	value := Value(probability, prompt.PiecePrefill, m.pieceBytes, m.settings.BytesPerSecond)
	for i, name := range prompt.Names {
		if location, ok := m.locations.Find(name); ok && m.usable(location, now) {
			continue
		}
		m.exports.Offer(Candidate{
			Piece:    name,
			Anchor:   prompt.Names[directory.AnchorIndex(i)],
			Position: i,
			Value:    value,
		})
	}
	m.pumpExports()
}

// pumpExports puts the most valuable waiting exports into the link's queue.
func (m *Mover) pumpExports() {
	now := time.Now()
	for m.exporting < maxExporting && m.exports.Len() > 0 && m.anyStore(now) {
		candidate, _ := m.exports.Next()
		member := m.storeFor(candidate.Anchor, now)
		m.exporting++
		m.link.Enqueue(&Transfer{
			Class: Export,
			Bytes: m.pieceBytes,
			Start: func() { m.startExport(candidate, member) },
		})
	}
	m.pump()
}

// ExportsLeft counts the pieces that wait to be exported or are on their way.
func (m *Mover) ExportsLeft() int { return m.exports.Len() + m.exporting }

// startExport copies a piece from the engine to a store.
func (m *Mover) startExport(candidate Candidate, member *storeMember) {
	m.generation++
	generation := m.generation
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, exportTimeout)
		defer cancel()
		bytes, err := m.export(ctx, candidate.Piece, member, generation)
		m.loop.Post(func() {
			m.exported(candidate, member, generation, bytes, err, time.Since(began))
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

// exported ends an export.
func (m *Mover) exported(c Candidate, member *storeMember, generation uint64, bytes int, err error, took time.Duration) {
	m.link.Done(took)
	m.exporting--
	switch {
	case err == nil:
		m.keep(c, member, generation, bytes)
	case errorx.IsOfType(err, engine.ErrNotCached):
		m.counters.exportFailed.Inc(1)
		m.observer.NotCached(c.Piece)
	case errorx.IsOfType(err, store.ErrFull):
		m.counters.exportFailed.Inc(1)
		m.makeRoom(c, member)
	default:
		m.counters.exportFailed.Inc(1)
		m.tryLater(c, member)
	}
	m.pumpExports()
}

// tryLater lets a piece wait for another store, or for the end of the suspension of the one that
// failed. After any other failure the export is given up, since nothing would pace its repetition.
func (m *Mover) tryLater(c Candidate, member *storeMember) {
	if member.client.Suspended(time.Now()) {
		m.exports.Offer(c)
	}
}

// keep remembers an exported piece.
func (m *Mover) keep(c Candidate, member *storeMember, generation uint64, bytes int) {
	m.moved(bytes)
	m.counters.exported.Inc(1)
	m.counters.exportBytes.Inc(int64(bytes))
	location := Location{
		Piece: c.Piece, Store: member.client.Instance(), Generation: generation, Bytes: uint32(bytes), Own: true,
	}
	m.remember(location, c.Value, time.Now())
	m.observer.Stored(location, c.Anchor)
}

// makeRoom deletes this agent's least valuable piece from a full store, if it is worth less than
// the candidate, and offers the candidate again.
func (m *Mover) makeRoom(c Candidate, member *storeMember) {
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
				m.pumpExports()
			}
		})
	}()
}
