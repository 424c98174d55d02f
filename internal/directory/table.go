package directory

import (
	"container/list"
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// HoldingTTL is how long an announcement is valid.
const HoldingTTL = 10 * time.Minute

// Limits of a Table.
const (
	// DefaultMaxRows bounds the rows of a Table; a row takes about 250 bytes.
	DefaultMaxRows = 100_000
	// maxHoldersPerPiece bounds the rows of one piece, such as a common system prompt.
	maxHoldersPerPiece = 8
)

// Holding records that a holder keeps a piece.
type Holding struct {
	Piece      piece.Name `json:"piece"`
	Holder     string     `json:"holder"`
	Tier       wire.Tier  `json:"tier"`
	Generation uint64     `json:"generation"`
	Bytes      uint32     `json:"bytes"`
}

// row is one holding as announced.
type row struct {
	holding Holding
	// announcer and incarnation identify the process that announced the holding.
	announcer   string
	incarnation uint64
	expiresAt   time.Time
	element     *list.Element
}

// Table keeps the holdings that were announced to one owner. When it is full, it evicts the rows that were
// announced longest ago. It is not safe for concurrent use.
type Table struct {
	maxRows int
	rows    map[piece.Name][]*row
	// byExpiry lists all rows in the order in which they were announced, which is the order in which they
	// expire since all have the same TTL.
	byExpiry *list.List
	// announcers holds the state of each announcer that has rows.
	announcers map[string]*announcerState
	evicted    uint64
}

// announcerState is the last received incarnation of an announcer and the number of its rows. It is removed
// with the last row.
type announcerState struct {
	incarnation uint64
	rows        int
}

// NewTable returns an empty Table of at most maxRows rows; zero means DefaultMaxRows.
func NewTable(maxRows int) *Table {
	if maxRows <= 0 {
		maxRows = DefaultMaxRows
	}
	return &Table{
		maxRows:    maxRows,
		rows:       make(map[piece.Name][]*row),
		byExpiry:   list.New(),
		announcers: make(map[string]*announcerState),
	}
}

// Announce records a holding that is valid until now plus HoldingTTL. Rows that another incarnation of the
// announcer announced about its own cache are no longer returned.
func (t *Table) Announce(announcer string, incarnation uint64, h Holding, now time.Time) {
	t.Expire(now)
	if existing := t.find(h.Piece, h.Holder); existing != nil {
		t.remove(existing)
	}
	t.evict(h.Piece)
	state := t.announcers[announcer]
	if state == nil {
		state = &announcerState{}
		t.announcers[announcer] = state
	}
	state.incarnation = incarnation
	state.rows++
	r := &row{holding: h, announcer: announcer, incarnation: incarnation, expiresAt: now.Add(HoldingTTL)}
	r.element = t.byExpiry.PushBack(r)
	t.rows[h.Piece] = append(t.rows[h.Piece], r)
}

// evict removes the oldest rows of the piece or of the table until a row can be added within the limits.
func (t *Table) evict(name piece.Name) {
	if rows := t.rows[name]; len(rows) >= maxHoldersPerPiece {
		t.remove(rows[0])
		t.evicted++
	}
	for t.byExpiry.Len() >= t.maxRows {
		t.remove(t.byExpiry.Front().Value.(*row))
		t.evicted++
	}
}

// Withdraw removes the row of a piece and holder.
func (t *Table) Withdraw(name piece.Name, holder string) {
	if r := t.find(name, holder); r != nil {
		t.remove(r)
	}
}

// Expire removes the rows that were not announced again within HoldingTTL.
func (t *Table) Expire(now time.Time) {
	for front := t.byExpiry.Front(); front != nil; front = t.byExpiry.Front() {
		r := front.Value.(*row)
		if r.expiresAt.After(now) {
			return
		}
		t.remove(r)
	}
}

// Runs returns, for each holder, its holding of the last piece of the longest run of names that it keeps from
// the first name on. It returns at most maxReplicas replicas and as many stores, longest runs first.
func (t *Table) Runs(names []piece.Name, maxReplicas int, now time.Time) []Holding {
	t.Expire(now)
	if len(names) == 0 {
		return nil
	}
	current := t.holders(names[0])
	runs := make([]Holding, 0, len(current))
	for i := 1; i < len(names) && len(current) > 0; i++ {
		next := t.holders(names[i])
		runs = appendEnded(runs, current, next)
		current = keepContinued(current, next)
	}
	runs = append(runs, current...)
	return longest(runs, maxReplicas)
}

// holders returns the valid holdings of one piece.
func (t *Table) holders(name piece.Name) []Holding {
	rows := t.rows[name]
	holdings := make([]Holding, 0, len(rows))
	for _, r := range rows {
		if t.valid(r) {
			holdings = append(holdings, r.holding)
		}
	}
	return holdings
}

// valid reports whether a row may be returned. An announcement of a process about its own cache becomes invalid
// when the process restarts; one about a store remains valid.
func (t *Table) valid(r *row) bool {
	if r.holding.Holder != r.announcer {
		return true
	}
	return t.announcers[r.announcer].incarnation == r.incarnation
}

// appendEnded appends to runs the current holdings whose holders do not keep the next piece.
func appendEnded(runs, current, next []Holding) []Holding {
	for _, h := range current {
		if indexOfHolder(next, h.Holder) < 0 {
			runs = append(runs, h)
		}
	}
	return runs
}

// keepContinued returns the holdings of next whose holders also keep the current piece.
func keepContinued(current, next []Holding) []Holding {
	kept := next[:0]
	for _, h := range next {
		if indexOfHolder(current, h.Holder) >= 0 {
			kept = append(kept, h)
		}
	}
	return kept
}

func indexOfHolder(holdings []Holding, holder string) int {
	for i := range holdings {
		if holdings[i].Holder == holder {
			return i
		}
	}
	return -1
}

// longest returns up to limit holdings of replicas and as many of stores, longest runs first. It expects runs
// in ascending order of length.
func longest(runs []Holding, limit int) []Holding {
	var result []Holding
	replicas, stores := 0, 0
	for i := len(runs) - 1; i >= 0; i-- {
		count := &stores
		if runs[i].Tier == wire.Tier_TIER_REPLICA {
			count = &replicas
		}
		if *count < limit {
			*count++
			result = append(result, runs[i])
		}
	}
	return result
}

// find returns the row of a piece and holder, or nil.
func (t *Table) find(name piece.Name, holder string) *row {
	for _, r := range t.rows[name] {
		if r.holding.Holder == holder {
			return r
		}
	}
	return nil
}

// remove removes a row from the table, and its announcer when it has no other row.
func (t *Table) remove(r *row) {
	t.byExpiry.Remove(r.element)
	rows := t.rows[r.holding.Piece]
	for i := range rows {
		if rows[i] == r {
			rows = append(rows[:i], rows[i+1:]...)
			break
		}
	}
	if len(rows) == 0 {
		delete(t.rows, r.holding.Piece)
	} else {
		t.rows[r.holding.Piece] = rows
	}
	state := t.announcers[r.announcer]
	state.rows--
	if state.rows == 0 {
		delete(t.announcers, r.announcer)
	}
}

// TableState is the state of a Table as shown by a dump. Evicted is the number of rows evicted since the start.
type TableState struct {
	Rows       int    `json:"rows"`
	Pieces     int    `json:"pieces"`
	Announcers int    `json:"announcers"`
	Evicted    uint64 `json:"evicted"`
}

// State returns the table's counts.
func (t *Table) State() TableState {
	return TableState{
		Rows:       t.byExpiry.Len(),
		Pieces:     len(t.rows),
		Announcers: len(t.announcers),
		Evicted:    t.evicted,
	}
}
