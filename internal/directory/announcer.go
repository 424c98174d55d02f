package directory

import (
	"container/list"
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// Timing and limits of announcements.
const (
	// refreshInterval is the time after which a row is announced again. It allows two further announcements
	// within HoldingTTL.
	refreshInterval = 4 * time.Minute
	// DefaultRowsPerSecond bounds the rows that a holder sends; a row that goes to two owners counts twice. A
	// row takes about 50 bytes on the wire.
	DefaultRowsPerSecond = 100
	// maxRowsPerBatch bounds the rows of one call to an owner.
	maxRowsPerBatch = 256
	// budgetSeconds bounds the accumulated unused budget, in seconds of the permitted rate.
	budgetSeconds = 2
)

// Announcement is one row for an owner: a holding, or the removal of one.
type Announcement struct {
	Holding Holding
	Removed bool
}

// Batch contains the rows of one call to one owner.
type Batch struct {
	Owner Member
	Rows  []Announcement
}

// holdingKey identifies a row.
type holdingKey struct {
	piece  piece.Name
	holder string
}

// announcedHolding is a holding that is or will be announced to its owners.
type announcedHolding struct {
	holding     Holding
	lookupPiece piece.Name
	removed     bool
	// owners are the instances to which the holding was last announced.
	owners  []string
	sentAt  time.Time
	pending bool
	element *list.Element
}

// Announcer decides which holdings a holder announces to which owner, and when. It first announces new and
// removed holdings and those whose owners have changed, then those that need a refresh before they expire.
type Announcer struct {
	ring       *Ring
	rate       float64 // rows per second
	budget     float64 // rows
	refilledAt time.Time
	holdings   map[holdingKey]*announcedHolding
	// pending lists the holdings that are to be announced; sent lists the others, the one announced
	// longest ago first.
	pending *list.List
	sent    *list.List
}

// NewAnnouncer returns an Announcer that sends at most rowsPerSecond rows; zero means
// DefaultRowsPerSecond.
func NewAnnouncer(ring *Ring, rowsPerSecond float64) *Announcer {
	if rowsPerSecond <= 0 {
		rowsPerSecond = DefaultRowsPerSecond
	}
	return &Announcer{
		ring:     ring,
		rate:     rowsPerSecond,
		holdings: make(map[holdingKey]*announcedHolding),
		pending:  list.New(),
		sent:     list.New(),
	}
}

// AddHolding adds or changes a holding, to be announced to the owners of lookupPiece.
func (a *Announcer) AddHolding(h Holding, lookupPiece piece.Name) {
	key := holdingKey{h.Piece, h.Holder}
	entry := a.holdings[key]
	if entry == nil {
		entry = &announcedHolding{}
		a.holdings[key] = entry
	}
	if entry.element != nil && entry.holding == h && !entry.removed {
		return
	}
	entry.holding, entry.lookupPiece, entry.removed = h, lookupPiece, false
	a.markPending(entry)
}

// RemoveHolding removes a holding. If the holding was announced, its removal becomes pending.
func (a *Announcer) RemoveHolding(name piece.Name, holder string) {
	key := holdingKey{name, holder}
	entry := a.holdings[key]
	if entry == nil {
		return
	}
	if len(entry.owners) == 0 {
		a.remove(key, entry)
		return
	}
	entry.removed = true
	a.markPending(entry)
}

// SetRing replaces the ring. Holdings whose owners changed become pending.
func (a *Announcer) SetRing(ring *Ring) {
	a.ring = ring
	for _, entry := range a.holdings {
		if !entry.pending && !sameOwners(entry.owners, ring.Owners(entry.lookupPiece)) {
			a.markPending(entry)
		}
	}
}

// Next returns the batches to send at now, within the budget, or nil when there is nothing to send.
func (a *Announcer) Next(now time.Time) []Batch {
	a.refill(now)
	var batches []Batch
	for a.budget >= 1 {
		entry := a.next(now)
		if entry == nil {
			return batches
		}
		owners := a.ring.Owners(entry.lookupPiece)
		if len(owners) == 0 {
			return batches
		}
		batches = addToBatches(batches, owners, entry)
		a.budget -= float64(len(owners))
		a.markSent(entry, owners, now)
	}
	return batches
}

// next returns the first pending holding, else the one announced longest ago if refreshInterval has passed
// since, else nil.
func (a *Announcer) next(now time.Time) *announcedHolding {
	if front := a.pending.Front(); front != nil {
		return front.Value.(*announcedHolding)
	}
	front := a.sent.Front()
	if front == nil {
		return nil
	}
	entry := front.Value.(*announcedHolding)
	if now.Sub(entry.sentAt) < refreshInterval {
		return nil
	}
	return entry
}

// RetryBatch makes the rows of a batch pending again after its owner did not accept them.
func (a *Announcer) RetryBatch(batch Batch) {
	for _, r := range batch.Rows {
		entry := a.holdings[holdingKey{r.Holding.Piece, r.Holding.Holder}]
		if entry != nil && !entry.pending {
			a.markPending(entry)
		}
	}
}

// Ring returns the current ring.
func (a *Announcer) Ring() *Ring { return a.ring }

// Len returns the number of holdings.
func (a *Announcer) Len() int { return len(a.holdings) }

// Pending returns the number of holdings that are to be announced.
func (a *Announcer) Pending() int { return a.pending.Len() }

// refill adds the budget for the time since the last call.
func (a *Announcer) refill(now time.Time) {
	if a.refilledAt.IsZero() {
		a.budget = a.rate
	} else {
		a.budget += a.rate * now.Sub(a.refilledAt).Seconds()
	}
	a.budget = min(a.budget, a.rate*budgetSeconds)
	a.refilledAt = now
}

func (a *Announcer) markPending(entry *announcedHolding) {
	if entry.pending {
		return
	}
	if entry.element != nil {
		a.sent.Remove(entry.element)
	}
	entry.pending = true
	entry.element = a.pending.PushBack(entry)
}

// markSent moves an entry to the sent list, or removes it when its removal was announced.
func (a *Announcer) markSent(entry *announcedHolding, owners []Member, now time.Time) {
	if entry.pending {
		a.pending.Remove(entry.element)
	} else {
		a.sent.Remove(entry.element)
	}
	entry.pending = false
	if entry.removed {
		delete(a.holdings, holdingKey{entry.holding.Piece, entry.holding.Holder})
		return
	}
	entry.owners = instances(owners)
	entry.sentAt = now
	entry.element = a.sent.PushBack(entry)
}

func (a *Announcer) remove(key holdingKey, entry *announcedHolding) {
	if entry.pending {
		a.pending.Remove(entry.element)
	} else {
		a.sent.Remove(entry.element)
	}
	delete(a.holdings, key)
}

// addToBatches adds a row for each owner, in a new batch where the owner has no batch with capacity.
func addToBatches(batches []Batch, owners []Member, entry *announcedHolding) []Batch {
	announcement := Announcement{Holding: entry.holding, Removed: entry.removed}
	for _, owner := range owners {
		batch := openBatch(batches, owner.Instance)
		if batch == nil {
			batches = append(batches, Batch{Owner: owner})
			batch = &batches[len(batches)-1]
		}
		batch.Rows = append(batch.Rows, announcement)
	}
	return batches
}

// openBatch returns a batch of an owner that has capacity for a row, or nil.
func openBatch(batches []Batch, owner string) *Batch {
	for i := range batches {
		if batches[i].Owner.Instance == owner && len(batches[i].Rows) < maxRowsPerBatch {
			return &batches[i]
		}
	}
	return nil
}

func instances(owners []Member) []string {
	names := make([]string, len(owners))
	for i := range owners {
		names[i] = owners[i].Instance
	}
	return names
}

func sameOwners(names []string, owners []Member) bool {
	if len(names) != len(owners) {
		return false
	}
	for i := range owners {
		if names[i] != owners[i].Instance {
			return false
		}
	}
	return true
}
