package transfer

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// Export policy.
const (
	// maxExports limits the number of pieces that wait to be exported.
	maxExports = 1024
	// minValue is the smallest Value of a piece that is exported: prefill time saved per unit of link
	// time.
	minValue = 1.0
)

// Candidate is a piece that a run has just computed.
type Candidate struct {
	Piece piece.Name
	// LookupPiece is the piece at the lookup position. It determines the owners of the piece in the
	// directory, and its store.
	LookupPiece piece.Name
	// Position of the piece in its prompt. Among equal values the leading piece is exported first,
	// since a later one is of no use without it.
	Position int
	// Value is the expected prefill time saved per unit of link time.
	Value float64
}

// precedes reports whether c is exported before other.
func (c Candidate) precedes(other Candidate) bool {
	if c.Value != other.Value {
		return c.Value > other.Value
	}
	return c.Position < other.Position
}

// Value returns the expected prefill time that the export of a piece saves per unit of link time:
// the probability of a return, times the time to compute the piece, divided by the time to move it.
func Value(probability float64, prefill time.Duration, bytes int64, bytesPerSecond float64) float64 {
	link := float64(bytes) / bytesPerSecond * float64(time.Second)
	if link <= 0 {
		return 0
	}
	return probability * float64(prefill) / link
}

// Exports holds the pieces that wait to be exported. The most valuable one is exported first. When
// Exports is full, the least valuable one is dropped.
type Exports struct {
	waiting map[piece.Name]Candidate
	dropped uint64
}

// NewExports returns an empty Exports.
func NewExports() *Exports { return &Exports{waiting: make(map[piece.Name]Candidate)} }

// Offer queues a candidate unless its value is below minValue.
func (e *Exports) Offer(c Candidate) {
	if c.Value < minValue {
		e.dropped++
		return
	}
	if _, ok := e.waiting[c.Piece]; !ok && len(e.waiting) >= maxExports {
		e.dropLowest()
	}
	e.waiting[c.Piece] = c
}

// Next removes and returns the most valuable candidate.
func (e *Exports) Next() (Candidate, bool) {
	best, found := Candidate{}, false
	for _, c := range e.waiting {
		if !found || c.precedes(best) {
			best, found = c, true
		}
	}
	delete(e.waiting, best.Piece)
	return best, found
}

func (e *Exports) dropLowest() {
	lowest, found := Candidate{}, false
	for _, c := range e.waiting {
		if !found || lowest.precedes(c) {
			lowest, found = c, true
		}
	}
	delete(e.waiting, lowest.Piece)
	e.dropped++
}

// Len returns the number of waiting candidates.
func (e *Exports) Len() int { return len(e.waiting) }

// Dropped returns the number of candidates that were dropped for their low value.
func (e *Exports) Dropped() uint64 { return e.dropped }
