package engineserver

import (
	"bytes"
	"container/list"
	"encoding/hex"
	"time"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
)

// maxEvents bounds the cache events that can still be read.
const maxEvents = 100_000

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Piece    string `json:"piece"`
	Kind     string `json:"kind"`

	at   time.Time
	lost bool
}

// piece is one cached piece of a prompt.
type piece struct {
	name string // lower-case hex
	// owner is the organisation's salt; empty for an imported piece that no run has used.
	owner   string
	version string
	// content differs from what the name stands for only after a bad import; nil means correct.
	content []byte
}

// cache is the prefix cache with least-recently-used eviction. The engine's mutex guards it.
type cache struct {
	capacity  int
	dropEvery int
	bytes     int
	order     *list.List // of *piece, most recently used first
	byName    map[string]*list.Element
	sequence  uint64
	events    []CacheEvent
}

func newCache(settings Settings) *cache {
	return &cache{
		capacity:  settings.CachePieces,
		dropEvery: settings.DropEvery,
		bytes:     settings.KVBytesPerPiece,
		order:     list.New(),
		byName:    map[string]*list.Element{},
	}
}

// leading returns the leading names that are cached and marks them as used.
func (c *cache) leading(names []string) []*piece {
	var hits []*piece
	for _, name := range names {
		element, ok := c.byName[name]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		hits = append(hits, element.Value.(*piece))
	}
	return hits
}

// store adds a piece or replaces its content.
func (c *cache) store(p piece, now time.Time) {
	if element, ok := c.byName[p.name]; ok {
		element.Value = &p
		c.order.MoveToFront(element)
		return
	}
	c.byName[p.name] = c.order.PushFront(&p)
	c.record(p.name, eventStored, now)
	for c.order.Len() > c.capacity {
		c.remove(c.order.Back().Value.(*piece).name, now)
	}
}

func (c *cache) remove(name string, now time.Time) {
	element, ok := c.byName[name]
	if !ok {
		return
	}
	c.order.Remove(element)
	delete(c.byName, name)
	c.record(name, eventRemoved, now)
}

// removeVersion drops all pieces of a weight version.
func (c *cache) removeVersion(version string, now time.Time) {
	for _, name := range c.names() {
		if c.byName[name].Value.(*piece).version == version {
			c.remove(name, now)
		}
	}
}

func (c *cache) names() []string {
	names := make([]string, 0, len(c.byName))
	for element := c.order.Front(); element != nil; element = element.Next() {
		names = append(names, element.Value.(*piece).name)
	}
	return names
}

func (c *cache) record(name, kind string, now time.Time) {
	c.sequence++
	lost := c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Piece: name, Kind: kind, at: now, lost: lost})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent(nil), c.events[maxEvents/2:]...)
	}
}

// eventsSince returns the events after since that happened before until, and the last sequence
// number before until.
func (c *cache) eventsSince(since uint64, until time.Time) (events []CacheEvent, latest uint64) {
	events = []CacheEvent{}
	for _, event := range c.events {
		if event.at.After(until) {
			break
		}
		latest = event.Sequence
		if event.Sequence > since && !event.lost {
			events = append(events, event)
		}
	}
	return events, latest
}

// export returns the bytes of a piece.
func (c *cache) export(name string) ([]byte, bool) {
	element, ok := c.byName[name]
	if !ok {
		return nil, false
	}
	p := element.Value.(*piece)
	if p.content != nil {
		return p.content, true
	}
	return contentOf(name, c.bytes), true
}

// imported returns the piece that an import of content makes.
func (c *cache) imported(name string, content []byte) piece {
	p := piece{name: name}
	if !bytes.Equal(content, contentOf(name, c.bytes)) {
		p.content = append([]byte{}, content...)
	}
	return p
}

func contentOf(name string, size int) []byte {
	raw, err := hex.DecodeString(name)
	if err != nil {
		raw = []byte(name)
	}
	return answer.PieceContent(raw, size)
}
