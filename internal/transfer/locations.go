package transfer

import (
	"container/heap"
	"math"
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

const (
	// maxLocations bounds the pieces whose store is remembered.
	maxLocations = 1 << 16
	// valueHalfLife is the time in which the value of a stored piece halves.
	valueHalfLife = time.Hour
)

// Location says that a store is believed to hold a piece.
type Location struct {
	Piece      piece.Name
	Store      string
	Generation uint64
	Bytes      uint32
	// Own says that this agent exported the piece.
	Own bool

	rank  float64
	index int
}

// Locations remembers which store holds which piece, by value: when a bound is reached or a store
// is full, the piece of least value gives way. A value halves every hour; its rank is the base-2
// logarithm plus the age of the epoch, so ranks never change.
type Locations struct {
	epoch   time.Time
	byPiece map[piece.Name]*Location
	lowest  locationHeap
}

// NewLocations returns an empty Locations.
func NewLocations(now time.Time) *Locations {
	return &Locations{epoch: now, byPiece: make(map[piece.Name]*Location)}
}

// Add remembers a location of the given value. It returns the location that gave way to it, if any.
func (l *Locations) Add(location Location, value float64, now time.Time) (dropped Location, ok bool) {
	l.Remove(location.Piece)
	if len(l.byPiece) >= maxLocations {
		dropped, ok = *l.lowest[0], true
		l.Remove(dropped.Piece)
	}
	added := location
	added.rank = l.rank(value, now)
	l.byPiece[added.Piece] = &added
	heap.Push(&l.lowest, &added)
	return dropped, ok
}

// Remove forgets the location of a piece.
func (l *Locations) Remove(name piece.Name) {
	location := l.byPiece[name]
	if location == nil {
		return
	}
	heap.Remove(&l.lowest, location.index)
	delete(l.byPiece, name)
}

// Find returns the location of a piece.
func (l *Locations) Find(name piece.Name) (Location, bool) {
	location := l.byPiece[name]
	if location == nil {
		return Location{}, false
	}
	return *location, true
}

// Len returns the number of locations.
func (l *Locations) Len() int { return len(l.byPiece) }

// Run returns how many leading names have a location.
func (l *Locations) Run(names []piece.Name) int {
	for i, name := range names {
		if l.byPiece[name] == nil {
			return i
		}
	}
	return len(names)
}

// Victim returns the piece of least value that this agent exported to a store, if its value is
// below the given one.
func (l *Locations) Victim(store string, value float64, now time.Time) (piece.Name, bool) {
	var victim *Location
	limit := l.rank(value, now)
	for _, location := range l.lowest {
		if location.Own && location.Store == store && location.rank < limit {
			victim, limit = location, location.rank
		}
	}
	if victim == nil {
		return piece.Name{}, false
	}
	return victim.Piece, true
}

// rank orders values over time.
func (l *Locations) rank(value float64, now time.Time) float64 {
	return math.Log2(value) + float64(now.Sub(l.epoch))/float64(valueHalfLife)
}

// locationHeap implements heap.Interface, the lowest rank first.
type locationHeap []*Location

func (h locationHeap) Len() int           { return len(h) }
func (h locationHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }

func (h locationHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *locationHeap) Push(x any) {
	location := x.(*Location)
	location.index = len(*h)
	*h = append(*h, location)
}

// Pop implements heap.Interface.
func (h *locationHeap) Pop() any {
	last := len(*h) - 1
	location := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return location
}
