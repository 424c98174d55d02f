package quarantine

import (
	"hash/maphash"
	"slices"
	"time"
)

const (
	// servedGeneration is the number of parts after which the older half of the memory is dropped.
	servedGeneration = 8192
	// recentRequests is how many of the latest complete requests are kept for each scope.
	recentRequests = 16
)

// servedMemory remembers when requests with a part were last served completely. The oldest entries are forgotten.
type servedMemory struct {
	seed maphash.Seed
	// current and previous map the hash of a part to the time in Unix nanoseconds.
	current, previous map[uint64]int64
	// recent are the latest complete requests of this gateway.
	recent requestRings
}

// requestRings keeps the latest requests by scope.
type requestRings map[string]*requestRing

// requestRing keeps the latest requests of one scope; next is the index of the oldest.
type requestRing struct {
	requests [recentRequests]servedRequest
	next     int
}

// servedRequest is one request to which a server gave a complete successful response.
type servedRequest struct {
	Request
	at     time.Time
	server string
}

func newServedMemory() *servedMemory {
	return &servedMemory{seed: maphash.MakeSeed(), current: make(map[uint64]int64), recent: make(requestRings)}
}

func (m requestRings) add(r servedRequest) {
	scope := r.Parts[0].Scope
	ring := m[scope]
	if ring == nil {
		ring = &requestRing{}
		m[scope] = ring
	}
	ring.requests[ring.next] = r
	ring.next = (ring.next + 1) % recentRequests
}

func (m *servedMemory) record(part Part, at time.Time) {
	if !at.After(m.lastAt(part)) {
		return
	}
	if len(m.current) >= servedGeneration {
		m.previous, m.current = m.current, make(map[uint64]int64)
	}
	m.current[maphash.Comparable(m.seed, part)] = at.UnixNano()
}

// lastAt returns when a request with the part was last served; zero when none is remembered.
func (m *servedMemory) lastAt(part Part) time.Time {
	key := maphash.Comparable(m.seed, part)
	at, ok := m.current[key]
	if !ok {
		at, ok = m.previous[key]
	}
	if !ok {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// countOthers returns how many of the latest requests of the part's scope were served after the given time and don't have
// the part.
func (m requestRings) countOthers(part Part, after time.Time) int {
	ring := m[part.Scope]
	if ring == nil {
		return 0
	}
	count := 0
	for i := range ring.requests {
		if r := &ring.requests[i]; r.at.After(after) && !slices.Contains(r.Parts, part) {
			count++
		}
	}
	return count
}
