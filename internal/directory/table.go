package directory

import (
	"container/list"
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// HoldingTTL is how long a home believes an announcement.
const HoldingTTL = 10 * time.Minute

// Limits of a home's memory.
const (
	// DefaultMaxRows bounds the rows of a Table; a row takes about 250 bytes.
	DefaultMaxRows = 100_000
	// maxHoldersPerPiece bounds the rows of one piece, such as a common system prompt.
	maxHoldersPerPiece = 8
)

// Holding says that a holder keeps a piece.
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
	// announcer and incarnation tell which process vouched for the holding.
	announcer   string
	incarnation uint64
	expires     time.Time
	element     *list.Element
}

// Table is the memory of one home. When it is full, the rows that were announced longest ago give
// way.
type Table struct {
	maxRows int
	rows    map[piece.Name][]*row
	// byExpiry lists all rows, the next to expire first, since all live equally long.
	byExpiry *list.List
	// incarnations holds the last seen incarnation of each announcer with rows.
	incarnations map[string]*announcerState
	evicted      uint64
}

// announcerState counts the rows of an announcer so that it can be forgotten with the last.
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
		maxRows:      maxRows,
		rows:         make(map[piece.Name][]*row),
		byExpiry:     list.New(),
		incarnations: make(map[string]*announcerState),
	}
}

// Announce records that the announcer vouches for a holding until now plus HoldingTTL. Rows that
// an earlier incarnation of the announcer wrote about itself are no longer returned.
func (t *Table) Announce(announcer string, incarnation uint64, h Holding, now time.Time) {
	t.Expire(now)
	if existing := t.find(h.Piece, h.Holder); existing != nil {
		t.remove(existing)
	}
	t.makeRoom(h.Piece)
	state := t.incarnations[announcer]
	if state == nil {
		state = &announcerState{}
		t.incarnations[announcer] = state
	}
	state.incarnation = incarnation
	state.rows++
	r := &row{holding: h, announcer: announcer, incarnation: incarnation, expires: now.Add(HoldingTTL)}
	r.element = t.byExpiry.PushBack(r)
	t.rows[h.Piece] = append(t.rows[h.Piece], r)
}

// makeRoom removes the oldest rows where a bound is reached.
func (t *Table) makeRoom(name piece.Name) {
	if rows := t.rows[name]; len(rows) >= maxHoldersPerPiece {
		t.remove(rows[0])
		t.evicted++
	}
	for t.byExpiry.Len() >= t.maxRows {
		t.remove(t.byExpiry.Front().Value.(*row))
		t.evicted++
	}
}

// Withdraw forgets that holder keeps a piece.
func (t *Table) Withdraw(name piece.Name, holder string) {
	if r := t.find(name, holder); r != nil {
		t.remove(r)
	}
}

// Expire forgets the rows that were not announced again in time.
func (t *Table) Expire(now time.Time) {
	for front := t.byExpiry.Front(); front != nil; front = t.byExpiry.Front() {
		r := front.Value.(*row)
		if r.expires.After(now) {
			return
		}
		t.remove(r)
	}
}

// Runs returns, for each holder, its holding of the last piece of the longest run of names that it
// keeps from the first name on. At most maxReplicas replicas and maxReplicas stores are returned,
// those with the longest runs first.
func (t *Table) Runs(names []piece.Name, maxReplicas int, now time.Time) []Holding {
	t.Expire(now)
	if len(names) == 0 {
		return nil
	}
	live := t.holders(names[0])
	runs := make([]Holding, 0, len(live))
	for i := 1; i < len(names) && len(live) > 0; i++ {
		next := t.holders(names[i])
		runs = appendEnded(runs, live, next)
		live = keepContinued(live, next)
	}
	runs = append(runs, live...)
	return longest(runs, maxReplicas)
}

// holders returns the believed holdings of one piece.
func (t *Table) holders(name piece.Name) []Holding {
	rows := t.rows[name]
	holdings := make([]Holding, 0, len(rows))
	for _, r := range rows {
		if t.believed(r) {
			holdings = append(holdings, r.holding)
		}
	}
	return holdings
}

// believed reports whether a row still counts. What a process said about its own cache before it
// restarted doesn't; what it said about a store does.
func (t *Table) believed(r *row) bool {
	if r.holding.Holder != r.announcer {
		return true
	}
	return t.incarnations[r.announcer].incarnation == r.incarnation
}

// appendEnded appends the holdings of runs whose holders don't keep the next piece.
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

// longest returns the last limit holdings of replicas and of stores, in reverse, since runs are
// listed shortest first.
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

// remove forgets a row.
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
	state := t.incarnations[r.announcer]
	state.rows--
	if state.rows == 0 {
		delete(t.incarnations, r.announcer)
	}
}

// TableState is the part of a Table that dumps show.
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
		Announcers: len(t.incarnations),
		Evicted:    t.evicted,
	}
}
