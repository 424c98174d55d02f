// Package explain keeps a bounded ring of recent decisions with their inputs, which show why a request
// was routed as it was. Entries, agents and gateways record decisions; balsamctl reads them.
package explain

import (
	"encoding/json"
	"sync"
	"time"
)

// Decision is one step of a request with its inputs.
type Decision struct {
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Attempt string    `json:"attempt,omitempty"`
	// Step is a stable name such as "place" or "refuse".
	Step   string `json:"step"`
	Detail any    `json:"detail,omitempty"`
}

// Ring holds the latest decisions. Its methods may be called from any goroutine.
type Ring struct {
	mu        sync.Mutex
	decisions []Decision
	next      int
	full      bool
}

// NewRing returns a Ring of the given capacity.
func NewRing(capacity int) *Ring {
	return &Ring{decisions: make([]Decision, capacity)}
}

// Add records one decision and overwrites the oldest when the ring is full. The caller must not change
// Detail afterwards.
func (r *Ring) Add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[r.next] = d
	r.next++
	if r.next == len(r.decisions) {
		r.next = 0
		r.full = true
	}
}

// Find returns the decisions of one request, or all when request is empty, oldest first.
func (r *Ring) Find(request string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Decision{}
	if r.full {
		found = appendMatching(found, r.decisions[r.next:], request)
	}
	return appendMatching(found, r.decisions[:r.next], request)
}

func appendMatching(found, decisions []Decision, request string) []Decision {
	for _, d := range decisions {
		if request == "" || d.Request == request {
			found = append(found, d)
		}
	}
	return found
}

// JSON returns Find's decisions as JSON.
func (r *Ring) JSON(request string) ([]byte, error) {
	return json.Marshal(r.Find(request))
}
