// Package origin records at which service and software version resumable streams began, so that the rest of a stream goes only to
// a server that can continue it. The control state of each gateway (internal/fleet) owns a Table of the streams that the gateway
// began itself and of those that others told it of.
//
// Invariant: a Table knows one origin of a stream or none. A stream that was reported with two is unknown.
package origin

import "time"

const (
	// Lifetime is how long an origin is kept. Callers take up a stream within the time that they wait for the response.
	Lifetime = 60 * time.Second
	// MaxStreams bounds the streams in a Table.
	MaxStreams = 200_000
	// MaxIDLength bounds the length of a stream's id, in bytes. Streams with longer ids are unknown.
	MaxIDLength = 128
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is the software version of the server that wrote the first event; empty if unknown.
	SoftwareVersion string
}

// Known reports whether some server can be told to be able to continue the stream.
func (o Origin) Known() bool { return o.Service != "" && o.SoftwareVersion != "" }

// Table holds the origins of recent streams. It is not safe for concurrent use.
type Table struct {
	origins map[string]entry
	// order lists the streams in the order in which they were recorded first.
	order []string
}

type entry struct {
	origin    Origin
	expiresAt time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{origins: make(map[string]entry)} }

// Record records the origin of the stream that the request with the id began, and keeps it for Lifetime.
func (t *Table) Record(now time.Time, id string, o Origin) {
	if id == "" || len(id) > MaxIDLength {
		return
	}
	known, ok := t.origins[id]
	if !ok {
		t.makeRoom(now)
		t.order = append(t.order, id)
	} else if known.origin != o {
		o = Origin{}
	}
	t.origins[id] = entry{origin: o, expiresAt: now.Add(Lifetime)}
}

// makeRoom drops the oldest streams that have expired, and one that hasn't if the Table is full.
func (t *Table) makeRoom(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		if len(t.order) < MaxStreams && now.Before(t.origins[oldest].expiresAt) {
			return
		}
		delete(t.origins, oldest)
		t.order = t.order[1:]
	}
}

// Lookup returns the origin of a stream; it is unknown if the Table doesn't have it.
func (t *Table) Lookup(now time.Time, id string) Origin {
	e, ok := t.origins[id]
	if !ok || !now.Before(e.expiresAt) {
		return Origin{}
	}
	return e.origin
}

// Len returns the number of streams in the Table.
func (t *Table) Len() int { return len(t.order) }
