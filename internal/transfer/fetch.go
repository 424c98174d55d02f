package transfer

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/store"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// hintValue is the value of locations that the directory returned. It ranks them below the
	// locations of own exports.
	hintValue = 0.01
	// minFetchTimeout is the shortest timeout of a fetch.
	minFetchTimeout = 20 * time.Millisecond
)

// Prompt is the part of a request that the Mover uses.
type Prompt struct {
	Names []piece.Name
	// Cached is the number of leading pieces that the engine has cached.
	Cached  int
	Patient bool
	// Queue, PiecePrefill, RestPrefill and Deadline are as in ChoiceInput.
	Queue        time.Duration
	PiecePrefill time.Duration
	RestPrefill  time.Duration
	Deadline     time.Duration
	PieceTokens  int
}

func (p *Prompt) class() Class {
	if p.Patient {
		return PatientFetch
	}
	return UrgentFetch
}

// Fetch is the fetch of the missing pieces of one prompt.
type Fetch struct {
	prompt Prompt
	done   chan struct{}
	// The control goroutine owns the fields below until done is closed.
	requested   []piece.Name
	arrived     []bool
	firstFailed int // lowest index in requested of a piece that failed; len(requested) if none has
	ended       bool
	timer       *time.Timer
	bytes       uint64
}

// Done is closed when no more pieces will arrive.
func (f *Fetch) Done() <-chan struct{} { return f.done }

// Requested returns the number of pieces that were worth fetching. It may be called after Done is closed.
func (f *Fetch) Requested() int { return len(f.requested) }

// Fetched returns how many leading pieces of the requested ones arrived. It may be called after Done is
// closed.
func (f *Fetch) Fetched() int {
	for i, ok := range f.arrived {
		if !ok {
			return i
		}
	}
	return len(f.arrived)
}

// Bytes returns the number of bytes that were moved for this fetch. It may be called after Done is
// closed.
func (f *Fetch) Bytes() uint64 { return f.bytes }

// pieceFetch is the transfer of one piece from a store to the engine. Several fetches may wait for it.
type pieceFetch struct {
	location Location
	transfer *Transfer
	waiters  []*Fetch
	cancel   context.CancelFunc
}

// Estimate returns the best fetch for a prompt by the recorded locations, without a directory lookup.
func (m *Mover) Estimate(prompt Prompt, now time.Time) Choice {
	missing := prompt.Names[prompt.Cached:]
	return Choose(m.choiceInput(&prompt, m.available(missing, now), now))
}

func (m *Mover) choiceInput(prompt *Prompt, available int, now time.Time) ChoiceInput {
	class := prompt.class()
	return ChoiceInput{
		Missing:      len(prompt.Names) - prompt.Cached,
		Available:    available,
		PieceBytes:   m.pieceBytes,
		Queue:        prompt.Queue,
		PiecePrefill: prompt.PiecePrefill,
		RestPrefill:  prompt.RestPrefill,
		Patient:      prompt.Patient,
		Deadline:     prompt.Deadline,
		PieceTokens:  prompt.PieceTokens,
		FetchTime: func(pieces int) time.Duration {
			return m.link.Predict(class, pieces, int64(pieces)*m.pieceBytes, now)
		},
	}
}

// Fetch starts to fetch the missing pieces of a prompt as far as that is better than recomputing
// them. When some of the missing pieces have no usable location, it queries the directory first.
func (m *Mover) Fetch(prompt Prompt) *Fetch {
	f := &Fetch{prompt: prompt, done: make(chan struct{})}
	missing := prompt.Names[prompt.Cached:]
	if len(missing) == 0 || len(m.stores) == 0 {
		f.end()
		return f
	}
	if !m.Locate(prompt, func() { m.start(f) }) {
		m.start(f)
	}
	return f
}

// Locate queries the directory for the stores that hold the missing pieces of a prompt, and then
// calls next on the control goroutine. It returns false, and never calls next, when all missing pieces
// have a usable location or there is no store.
func (m *Mover) Locate(prompt Prompt, next func()) bool {
	missing := prompt.Names[prompt.Cached:]
	if len(m.stores) == 0 || m.available(missing, time.Now()) == len(missing) {
		return false
	}
	go func() {
		runs := m.lookup(prompt)
		m.loop.Post(func() {
			m.addRuns(prompt.Names, runs)
			next()
		})
	}()
	return true
}

// lookup queries the directory. It returns no runs when the query fails.
func (m *Mover) lookup(prompt Prompt) []directory.Run {
	ctx, cancel := context.WithTimeout(m.ctx, lookupTimeout)
	defer cancel()
	runs, err := m.directory.Lookup(ctx, prompt.Names, prompt.Cached)
	if err != nil {
		return nil
	}
	return runs
}

// addRuns adds the locations in stores that the directory returned.
func (m *Mover) addRuns(names []piece.Name, runs []directory.Run) {
	now := time.Now()
	for _, run := range runs {
		if run.Tier == wire.Tier_TIER_REPLICA {
			continue
		}
		for _, name := range names[run.Start:run.End] {
			if location, ok := m.locations.Find(name); ok && m.usable(location, now) {
				continue
			}
			m.addLocation(Location{
				Piece: name, Store: run.Holder, Generation: run.Generation, Bytes: run.Bytes,
			}, hintValue, now)
		}
	}
}

// start chooses how many pieces to fetch and queues their transfers.
func (m *Mover) start(f *Fetch) {
	if f.ended {
		return
	}
	now := time.Now()
	choice := m.Estimate(f.prompt, now)
	f.requested = f.prompt.Names[f.prompt.Cached : f.prompt.Cached+choice.Pieces]
	f.arrived = make([]bool, len(f.requested))
	f.firstFailed = len(f.requested)
	if choice.Pieces == 0 {
		f.end()
		return
	}
	timeout := max(minFetchTimeout, f.prompt.Queue+time.Duration(choice.Pieces)*f.prompt.PiecePrefill)
	f.timer = time.AfterFunc(timeout, func() { m.loop.Post(func() { m.abandon(f) }) })
	for _, name := range f.requested {
		m.fetchPiece(f, name)
	}
	m.startTransfers()
}

// fetchPiece makes a fetch wait for a piece. The piece is moved only once for all fetches that wait for it.
func (m *Mover) fetchPiece(f *Fetch, name piece.Name) {
	if existing := m.pieceFetches[name]; existing != nil {
		existing.waiters = append(existing.waiters, f)
		m.link.Promote(existing.transfer, f.prompt.class())
		m.counters.coalesced.Inc(1)
		return
	}
	location, _ := m.locations.Find(name)
	created := &pieceFetch{location: location, waiters: []*Fetch{f}}
	created.transfer = &Transfer{
		Class: f.prompt.class(),
		Bytes: m.pieceBytes,
		Start: func() { m.startPieceFetch(created) },
	}
	m.pieceFetches[name] = created
	m.link.Enqueue(created.transfer)
}

// startPieceFetch moves a piece from its store to the engine.
func (m *Mover) startPieceFetch(pf *pieceFetch) {
	member := m.stores[pf.location.Store]
	ctx, cancel := context.WithCancel(m.ctx)
	pf.cancel = cancel
	priority := priorityOf(pf.transfer.Class)
	start := time.Now()
	go func() {
		defer cancel()
		bytes, err := m.move(ctx, member, pf.location.Piece, priority)
		m.loop.Post(func() { m.finishPieceFetch(pf, bytes, err, time.Since(start)) })
	}()
}

func priorityOf(class Class) store.Priority {
	switch class {
	case UrgentFetch:
		return store.Urgent
	case PatientFetch:
		return store.Patient
	}
	return store.Export
}

// move reads a piece from its store and imports it into the engine. The store client verifies the
// complete piece before the import.
func (m *Mover) move(ctx context.Context, member *storeMember, name piece.Name, priority store.Priority) (int, error) {
	if member == nil {
		return 0, store.ErrUnavailable.New("the store of piece %s is no longer live", name)
	}
	data, _, err := member.client.Get(ctx, name, priority)
	if err != nil {
		return 0, err
	}
	return len(data), m.engine.Import(ctx, name[:], data)
}

// finishPieceFetch handles the end of a piece fetch and updates the fetches that wait for it.
func (m *Mover) finishPieceFetch(pf *pieceFetch, bytes int, err error, took time.Duration) {
	name := pf.location.Piece
	m.link.Finish(took)
	if m.pieceFetches[name] == pf {
		delete(m.pieceFetches, name)
	}
	if err == nil {
		m.updatePieceBytes(bytes)
		m.counters.fetched.Inc(1)
		m.counters.fetchedBytes.Inc(int64(bytes))
		m.observer.Imported(name)
	} else {
		m.recordFailure(pf, err)
	}
	for i, f := range pf.waiters {
		if i == 0 {
			f.bytes += uint64(bytes)
		}
		m.recordPiece(f, name, err == nil)
	}
	m.startTransfers()
	m.enqueueExports()
}

// recordFailure counts a failed piece fetch, and removes the location if the store no longer has a
// usable copy of the piece.
func (m *Mover) recordFailure(pf *pieceFetch, err error) {
	switch {
	case errorx.IsOfType(err, store.ErrMiss):
		m.counters.missed.Inc(1)
	case errorx.IsOfType(err, store.ErrDamaged):
		m.counters.damaged.Inc(1)
	default:
		m.counters.failed.Inc(1)
		return
	}
	m.locations.Remove(pf.location.Piece)
	m.observer.Lost(pf.location)
}

// recordPiece records that one piece of a fetch arrived or failed. Pieces after the first failed one
// are of no use, so the fetch ends when all pieces before it have arrived.
func (m *Mover) recordPiece(f *Fetch, name piece.Name, ok bool) {
	if f.ended {
		return
	}
	for i := range f.requested {
		if f.requested[i] != name {
			continue
		}
		f.arrived[i] = ok
		if !ok {
			f.firstFailed = min(f.firstFailed, i)
		}
	}
	for i := range f.firstFailed {
		if !f.arrived[i] {
			return
		}
	}
	m.finish(f)
}

// abandon ends a fetch that takes longer than recomputing the pieces would.
func (m *Mover) abandon(f *Fetch) {
	if f.ended {
		return
	}
	m.counters.abandoned.Inc(1)
	m.finish(f)
}

// Cancel ends a fetch whose request no longer needs it.
func (m *Mover) Cancel(f *Fetch) {
	if !f.ended {
		m.finish(f)
	}
}

// finish ends a fetch and stops the piece fetches for which no other fetch waits.
func (m *Mover) finish(f *Fetch) {
	for _, name := range f.requested {
		if pf := m.pieceFetches[name]; pf != nil {
			m.removeWaiter(pf, f)
		}
	}
	f.end()
}

func (m *Mover) removeWaiter(pf *pieceFetch, f *Fetch) {
	kept := pf.waiters[:0]
	for _, waiter := range pf.waiters {
		if waiter != f {
			kept = append(kept, waiter)
		}
	}
	pf.waiters = kept
	if len(kept) > 0 {
		return
	}
	delete(m.pieceFetches, pf.location.Piece)
	if m.link.Cancel(pf.transfer) {
		return
	}
	if pf.cancel != nil {
		pf.cancel()
	}
}

// end stops the timer and closes Done.
func (f *Fetch) end() {
	f.ended = true
	if f.timer != nil {
		f.timer.Stop()
	}
	close(f.done)
}
