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
	// hintValue ranks locations that the directory named below those of own exports.
	hintValue = 0.01
	// minPatience is the least time that a fetch may take.
	minPatience = 20 * time.Millisecond
)

// Prompt is what the Mover needs to know about a request.
type Prompt struct {
	Names []piece.Name
	// Cached counts the leading pieces that the engine holds.
	Cached  int
	Patient bool
	// Queue, PiecePrefill, RestPrefill and Deadline are as in Question.
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

// Fetch is the fetching of one prompt's missing pieces.
type Fetch struct {
	prompt Prompt
	done   chan struct{}
	// The control goroutine owns the fields below until done is closed.
	wanted  []piece.Name
	arrived []bool
	failed  int // first position that didn't arrive
	ended   bool
	timer   *time.Timer
	bytes   uint64
}

// Done is closed when no more pieces will arrive.
func (f *Fetch) Done() <-chan struct{} { return f.done }

// Wanted returns how many pieces were worth fetching. It may be called after Done.
func (f *Fetch) Wanted() int { return len(f.wanted) }

// Fetched returns how many leading pieces of the wanted ones arrived. It may be called after Done.
func (f *Fetch) Fetched() int {
	for i, ok := range f.arrived {
		if !ok {
			return i
		}
	}
	return len(f.arrived)
}

// Bytes returns the bytes that were moved for this fetch. It may be called after Done.
func (f *Fetch) Bytes() uint64 { return f.bytes }

// flight is one piece on its way. Several fetches may wait for it.
type flight struct {
	location Location
	transfer *Transfer
	waiting  []*Fetch
	cancel   context.CancelFunc
}

// Estimate predicts the best fetch for a prompt from the locations that are known at once.
func (m *Mover) Estimate(prompt Prompt, now time.Time) Choice {
	missing := prompt.Names[prompt.Cached:]
	return Choose(m.question(&prompt, m.available(missing, now), now))
}

func (m *Mover) question(prompt *Prompt, available int, now time.Time) Question {
	class := prompt.class()
	return Question{
		Missing:      len(prompt.Names) - prompt.Cached,
		Available:    available,
		PieceBytes:   m.pieceBytes,
		Queue:        prompt.Queue,
		PiecePrefill: prompt.PiecePrefill,
		RestPrefill:  prompt.RestPrefill,
		Patient:      prompt.Patient,
		Deadline:     prompt.Deadline,
		PieceTokens:  prompt.PieceTokens,
		Fetch: func(pieces int) time.Duration {
			return m.link.Predict(class, pieces, int64(pieces)*m.pieceBytes, now)
		},
	}
}

// Fetch begins to fetch the missing pieces of a prompt as far as that is better than recomputing
// them. Where the known locations don't reach the end, it asks the directory first.
func (m *Mover) Fetch(prompt Prompt) *Fetch {
	f := &Fetch{prompt: prompt, done: make(chan struct{})}
	missing := prompt.Names[prompt.Cached:]
	if len(missing) == 0 || len(m.stores) == 0 {
		f.end()
		return f
	}
	if !m.Locate(prompt, func() { m.begin(f) }) {
		m.begin(f)
	}
	return f
}

// Locate asks the directory for the stores that hold the missing pieces of a prompt, and then calls
// next on the control goroutine. It returns false, and never calls next, when all are known or there
// is no store.
func (m *Mover) Locate(prompt Prompt, next func()) bool {
	missing := prompt.Names[prompt.Cached:]
	if len(m.stores) == 0 || m.available(missing, time.Now()) == len(missing) {
		return false
	}
	go func() {
		runs := m.lookup(prompt)
		m.loop.Post(func() {
			m.learn(prompt.Names, runs)
			next()
		})
	}()
	return true
}

// lookup asks the directory; a failure is an empty answer.
func (m *Mover) lookup(prompt Prompt) []directory.Run {
	ctx, cancel := context.WithTimeout(m.ctx, lookupTimeout)
	defer cancel()
	runs, err := m.directory.Lookup(ctx, prompt.Names, prompt.Cached)
	if err != nil {
		return nil
	}
	return runs
}

// learn remembers the stores that the directory named.
func (m *Mover) learn(names []piece.Name, runs []directory.Run) {
	now := time.Now()
	for _, run := range runs {
		if run.Tier == wire.Tier_TIER_REPLICA {
			continue
		}
		for _, name := range names[run.Start:run.End] {
			if location, ok := m.locations.Find(name); ok && m.usable(location, now) {
				continue
			}
			m.remember(Location{
				Piece: name, Store: run.Holder, Generation: run.Generation, Bytes: run.Bytes,
			}, hintValue, now)
		}
	}
}

// begin chooses how many pieces to fetch and puts them on their way.
func (m *Mover) begin(f *Fetch) {
	if f.ended {
		return
	}
	now := time.Now()
	choice := m.Estimate(f.prompt, now)
	f.wanted = f.prompt.Names[f.prompt.Cached : f.prompt.Cached+choice.Pieces]
	f.arrived = make([]bool, len(f.wanted))
	f.failed = len(f.wanted)
	if choice.Pieces == 0 {
		f.end()
		return
	}
	patience := max(minPatience, f.prompt.Queue+time.Duration(choice.Pieces)*f.prompt.PiecePrefill)
	f.timer = time.AfterFunc(patience, func() { m.loop.Post(func() { m.abandon(f) }) })
	for _, name := range f.wanted {
		m.join(f, name)
	}
	m.pump()
}

// join makes a fetch wait for a piece, which is moved once however many wait for it.
func (m *Mover) join(f *Fetch, name piece.Name) {
	if existing := m.flights[name]; existing != nil {
		existing.waiting = append(existing.waiting, f)
		m.link.Promote(existing.transfer, f.prompt.class())
		m.counters.coalesced.Inc(1)
		return
	}
	location, _ := m.locations.Find(name)
	started := &flight{location: location, waiting: []*Fetch{f}}
	started.transfer = &Transfer{
		Class: f.prompt.class(),
		Bytes: m.pieceBytes,
		Start: func() { m.startFlight(started) },
	}
	m.flights[name] = started
	m.link.Enqueue(started.transfer)
}

// startFlight moves a piece from its store to the engine.
func (m *Mover) startFlight(fl *flight) {
	member := m.stores[fl.location.Store]
	ctx, cancel := context.WithCancel(m.ctx)
	fl.cancel = cancel
	priority := priorityOf(fl.transfer.Class)
	began := time.Now()
	go func() {
		defer cancel()
		bytes, err := m.move(ctx, member, fl.location.Piece, priority)
		m.loop.Post(func() { m.landed(fl, bytes, err, time.Since(began)) })
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

// move reads a piece, which the store client verifies in full, and only then imports it.
func (m *Mover) move(ctx context.Context, member *storeMember, name piece.Name, priority store.Priority) (int, error) {
	if member == nil {
		return 0, store.ErrUnavailable.New("the store of piece %s is gone", name)
	}
	data, _, err := member.client.Get(ctx, name, priority)
	if err != nil {
		return 0, err
	}
	return len(data), m.engine.Import(ctx, name[:], data)
}

// landed ends a flight and tells the fetches that wait for it.
func (m *Mover) landed(fl *flight, bytes int, err error, took time.Duration) {
	name := fl.location.Piece
	m.link.Done(took)
	if m.flights[name] == fl {
		delete(m.flights, name)
	}
	if err == nil {
		m.moved(bytes)
		m.counters.fetched.Inc(1)
		m.counters.fetchedBytes.Inc(int64(bytes))
		m.observer.Imported(name)
	} else {
		m.countFailure(fl, err)
	}
	for i, f := range fl.waiting {
		if i == 0 {
			f.bytes += uint64(bytes)
		}
		m.settle(f, name, err == nil)
	}
	m.pump()
	m.pumpExports()
}

// countFailure forgets a location that proved wrong.
func (m *Mover) countFailure(fl *flight, err error) {
	switch {
	case errorx.IsOfType(err, store.ErrMiss):
		m.counters.missed.Inc(1)
	case errorx.IsOfType(err, store.ErrDamaged):
		m.counters.damaged.Inc(1)
	default:
		m.counters.failed.Inc(1)
		return
	}
	m.locations.Remove(fl.location.Piece)
	m.observer.Lost(fl.location)
}

// settle records the end of one piece of a fetch. Pieces after the first that failed are of no
// use, so the fetch ends when all before it have arrived.
func (m *Mover) settle(f *Fetch, name piece.Name, ok bool) {
	if f.ended {
		return
	}
	for i := range f.wanted {
		if f.wanted[i] != name {
			continue
		}
		f.arrived[i] = ok
		if !ok {
			f.failed = min(f.failed, i)
		}
	}
	for i := range f.failed {
		if !f.arrived[i] {
			return
		}
	}
	m.release(f)
}

// abandon ends a fetch that takes longer than recomputing would.
func (m *Mover) abandon(f *Fetch) {
	if f.ended {
		return
	}
	m.counters.abandoned.Inc(1)
	m.release(f)
}

// Cancel ends a fetch whose request no longer needs it.
func (m *Mover) Cancel(f *Fetch) {
	if !f.ended {
		m.release(f)
	}
}

// release ends a fetch and stops the flights for which nobody waits any more.
func (m *Mover) release(f *Fetch) {
	for _, name := range f.wanted {
		if fl := m.flights[name]; fl != nil {
			m.leaveFlight(fl, f)
		}
	}
	f.end()
}

func (m *Mover) leaveFlight(fl *flight, f *Fetch) {
	kept := fl.waiting[:0]
	for _, waiting := range fl.waiting {
		if waiting != f {
			kept = append(kept, waiting)
		}
	}
	fl.waiting = kept
	if len(kept) > 0 {
		return
	}
	delete(m.flights, fl.location.Piece)
	if m.link.Cancel(fl.transfer) {
		return
	}
	if fl.cancel != nil {
		fl.cancel()
	}
}

// end closes Done.
func (f *Fetch) end() {
	f.ended = true
	if f.timer != nil {
		f.timer.Stop()
	}
	close(f.done)
}
