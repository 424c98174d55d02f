package directory

import (
	"container/list"
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// Pacing of announcements.
const (
	// refreshInterval leaves a row two chances to be announced again within HoldingTTL.
	refreshInterval = 4 * time.Minute
	// DefaultRowsPerSecond bounds the rows that a holder sends, counting each home. A row takes
	// about 50 bytes on the wire.
	DefaultRowsPerSecond = 100
	// maxRowsPerBatch bounds one call to a home.
	maxRowsPerBatch = 256
	// maxBurstSeconds is how much unused budget is kept, in seconds.
	maxBurstSeconds = 2
)

// Announcement is one row for a home.
type Announcement struct {
	Holding Holding
	Removed bool
}

// Batch is what one call tells one home.
type Batch struct {
	Home Member
	Rows []Announcement
}

// holdingKey names a row.
type holdingKey struct {
	piece  piece.Name
	holder string
}

// announced is a holding that the homes should know.
type announced struct {
	holding Holding
	anchor  piece.Name
	removed bool
	// homes had the holding announced to them last.
	homes   []string
	sentAt  time.Time
	pending bool
	element *list.Element
}

// Announcer decides what a holder tells which home, and when. New, withdrawn and re-homed
// holdings go first, then those that would expire soon.
type Announcer struct {
	ring     *Ring
	rate     float64 // rows per second
	budget   float64 // rows
	refilled time.Time
	holdings map[holdingKey]*announced
	// pending lists holdings that homes have not been told; sent lists the others, the longest
	// ago announced first.
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
		holdings: make(map[holdingKey]*announced),
		pending:  list.New(),
		sent:     list.New(),
	}
}

// Hold makes the homes of anchor learn of a holding.
func (a *Announcer) Hold(h Holding, anchor piece.Name) {
	key := holdingKey{h.Piece, h.Holder}
	entry := a.holdings[key]
	if entry == nil {
		entry = &announced{}
		a.holdings[key] = entry
	}
	if entry.element != nil && entry.holding == h && !entry.removed {
		return
	}
	entry.holding, entry.anchor, entry.removed = h, anchor, false
	a.markPending(entry)
}

// Drop makes the homes forget a holding.
func (a *Announcer) Drop(name piece.Name, holder string) {
	key := holdingKey{name, holder}
	entry := a.holdings[key]
	if entry == nil {
		return
	}
	if len(entry.homes) == 0 {
		a.forget(key, entry)
		return
	}
	entry.removed = true
	a.markPending(entry)
}

// SetRing uses new homes. Holdings whose homes changed become pending.
func (a *Announcer) SetRing(ring *Ring) {
	a.ring = ring
	for _, entry := range a.holdings {
		if !entry.pending && !sameHomes(entry.homes, ring.Homes(entry.anchor)) {
			a.markPending(entry)
		}
	}
}

// Next returns the batches to send at now, within the budget. It returns nil when there is
// nothing to send.
func (a *Announcer) Next(now time.Time) []Batch {
	a.refill(now)
	var batches []Batch
	for a.budget >= 1 {
		entry := a.next(now)
		if entry == nil {
			return batches
		}
		homes := a.ring.Homes(entry.anchor)
		if len(homes) == 0 {
			return batches
		}
		batches = addToBatches(batches, homes, entry)
		a.budget -= float64(len(homes))
		a.markSent(entry, homes, now)
	}
	return batches
}

// next returns the first pending holding, or else the one that was announced longest ago if it is
// time to announce it again.
func (a *Announcer) next(now time.Time) *announced {
	if front := a.pending.Front(); front != nil {
		return front.Value.(*announced)
	}
	front := a.sent.Front()
	if front == nil {
		return nil
	}
	entry := front.Value.(*announced)
	if now.Sub(entry.sentAt) < refreshInterval {
		return nil
	}
	return entry
}

// Failed makes the rows of a batch pending again after its home didn't take them.
func (a *Announcer) Failed(batch Batch) {
	for _, r := range batch.Rows {
		entry := a.holdings[holdingKey{r.Holding.Piece, r.Holding.Holder}]
		if entry != nil && !entry.pending {
			a.markPending(entry)
		}
	}
}

// Ring returns the homes in use.
func (a *Announcer) Ring() *Ring { return a.ring }

// Len returns the number of holdings.
func (a *Announcer) Len() int { return len(a.holdings) }

// Pending returns the number of holdings that homes have not been told.
func (a *Announcer) Pending() int { return a.pending.Len() }

// refill adds the budget of the time since the last call.
func (a *Announcer) refill(now time.Time) {
	if a.refilled.IsZero() {
		a.budget = a.rate
	} else {
		a.budget += a.rate * now.Sub(a.refilled).Seconds()
	}
	a.budget = min(a.budget, a.rate*maxBurstSeconds)
	a.refilled = now
}

func (a *Announcer) markPending(entry *announced) {
	if entry.pending {
		return
	}
	if entry.element != nil {
		a.sent.Remove(entry.element)
	}
	entry.pending = true
	entry.element = a.pending.PushBack(entry)
}

// markSent moves an entry to the sent list, or forgets it when it was a withdrawal.
func (a *Announcer) markSent(entry *announced, homes []Member, now time.Time) {
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
	entry.homes = instances(homes)
	entry.sentAt = now
	entry.element = a.sent.PushBack(entry)
}

func (a *Announcer) forget(key holdingKey, entry *announced) {
	if entry.pending {
		a.pending.Remove(entry.element)
	} else {
		a.sent.Remove(entry.element)
	}
	delete(a.holdings, key)
}

// addToBatches adds a row for each home, in a new batch where the last one is full.
func addToBatches(batches []Batch, homes []Member, entry *announced) []Batch {
	announcement := Announcement{Holding: entry.holding, Removed: entry.removed}
	for _, home := range homes {
		batch := openBatch(batches, home.Instance)
		if batch == nil {
			batches = append(batches, Batch{Home: home})
			batch = &batches[len(batches)-1]
		}
		batch.Rows = append(batch.Rows, announcement)
	}
	return batches
}

// openBatch returns the batch of a home that has room, or nil.
func openBatch(batches []Batch, home string) *Batch {
	for i := range batches {
		if batches[i].Home.Instance == home && len(batches[i].Rows) < maxRowsPerBatch {
			return &batches[i]
		}
	}
	return nil
}

func instances(homes []Member) []string {
	names := make([]string, len(homes))
	for i := range homes {
		names[i] = homes[i].Instance
	}
	return names
}

func sameHomes(names []string, homes []Member) bool {
	if len(names) != len(homes) {
		return false
	}
	for i := range homes {
		if names[i] != homes[i].Instance {
			return false
		}
	}
	return true
}
