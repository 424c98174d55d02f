package transfer

import (
	"container/heap"
	"math"
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

const (
	// maxLocations limits the number of pieces in Locations.
	maxLocations = 1 << 16
	// valueHalfLife is the time in which the value of a stored piece halves.
	valueHalfLife = time.Hour
)

// Location is the store that a piece was last known to be in.
type Location struct {
	Piece      piece.Name
	Store      string
	Generation uint64
	Bytes      uint32
	// Own means that this agent exported the piece.
	Own bool

	rank  float64
	index int
}

// Locations keeps the store of each piece and the value of the piece. When maxLocations is reached or
// a store is full, the piece with the lowest value is removed. A value halves every hour. The rank of
// a piece is the base-2 logarithm of its value plus the hours from the epoch to when it was added, so
// ranks never change.
type Locations struct {
	epoch   time.Time
	byPiece map[piece.Name]*Location
	lowest  locationHeap
}

// NewLocations returns an empty Locations.
func NewLocations(now time.Time) *Locations {
	return &Locations{epoch: now, byPiece: make(map[piece.Name]*Location)}
}

// Add adds a location with a value. It returns the location that was removed because of maxLocations, if any.
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

// Remove removes the location of a piece, if there is one.
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

// Run returns the number of leading names that have a location.
func (l *Locations) Run(names []piece.Name) int {
	for i, name := range names {
		if l.byPiece[name] == nil {
			return i
		}
	}
	return len(names)
}

// Victim returns the piece with the lowest value among those that this agent exported to a store. It
// returns false when there is none with a value below the given one.
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

// rank returns the rank of a value that is assigned at now.
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
