package engineserver

import (
	"bytes"
	"container/list"
	"encoding/hex"
	"time"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
)

// maxEvents is the maximum number of cache events that are kept for reading.
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

	at      time.Time
	dropped bool
}

// piece is one cached piece of a prompt.
type piece struct {
	name string // lower-case hexadecimal
	// salt is the cache salt of the organisation; empty for an imported piece that no run has used.
	salt    string
	version string
	// content is set only after an import of wrong bytes; nil means the bytes that belong to the name.
	content []byte
}

// cache is the prefix cache with least-recently-used (LRU) eviction. The engine's mutex guards it.
type cache struct {
	capacity   int
	dropEvery  int
	pieceBytes int
	lru        *list.List // of *piece, most recently used first
	byName     map[string]*list.Element
	sequence   uint64
	events     []CacheEvent
}

func newCache(settings Settings) *cache {
	return &cache{
		capacity:   settings.CachePieces,
		dropEvery:  settings.DropEvery,
		pieceBytes: settings.KVBytesPerPiece,
		lru:        list.New(),
		byName:     map[string]*list.Element{},
	}
}

// cachedPrefix returns the longest cached prefix of names and marks its pieces as used.
func (c *cache) cachedPrefix(names []string) []*piece {
	var hits []*piece
	for _, name := range names {
		element, ok := c.byName[name]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		hits = append(hits, element.Value.(*piece))
	}
	return hits
}

// store adds a piece or replaces its content.
func (c *cache) store(p piece, now time.Time) {
	if element, ok := c.byName[p.name]; ok {
		element.Value = &p
		c.lru.MoveToFront(element)
		return
	}
	c.byName[p.name] = c.lru.PushFront(&p)
	c.record(p.name, eventStored, now)
	for c.lru.Len() > c.capacity {
		c.remove(c.lru.Back().Value.(*piece).name, now)
	}
}

func (c *cache) remove(name string, now time.Time) {
	element, ok := c.byName[name]
	if !ok {
		return
	}
	c.lru.Remove(element)
	delete(c.byName, name)
	c.record(name, eventRemoved, now)
}

// removeVersion removes all pieces of a weight version.
func (c *cache) removeVersion(version string, now time.Time) {
	for _, name := range c.names() {
		if c.byName[name].Value.(*piece).version == version {
			c.remove(name, now)
		}
	}
}

func (c *cache) names() []string {
	names := make([]string, 0, len(c.byName))
	for element := c.lru.Front(); element != nil; element = element.Next() {
		names = append(names, element.Value.(*piece).name)
	}
	return names
}

func (c *cache) record(name, kind string, now time.Time) {
	c.sequence++
	dropped := c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Piece: name, Kind: kind, at: now, dropped: dropped})
	if len(c.events) > maxEvents {
		c.events = append([]CacheEvent(nil), c.events[maxEvents/2:]...)
	}
}

// eventsSince returns the events with a sequence number above since that are not later than until, and the last
// sequence number up to until. It skips dropped events.
func (c *cache) eventsSince(since uint64, until time.Time) (events []CacheEvent, latest uint64) {
	events = []CacheEvent{}
	for _, event := range c.events {
		if event.at.After(until) {
			break
		}
		latest = event.Sequence
		if event.Sequence > since && !event.dropped {
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
	return expectedContent(name, c.pieceBytes), true
}

// importedPiece returns the piece that results from importing content under name.
func (c *cache) importedPiece(name string, content []byte) piece {
	p := piece{name: name}
	if !bytes.Equal(content, expectedContent(name, c.pieceBytes)) {
		p.content = append([]byte{}, content...)
	}
	return p
}

func expectedContent(name string, size int) []byte {
	raw, err := hex.DecodeString(name)
	if err != nil {
		raw = []byte(name)
	}
	return answer.PieceContent(raw, size)
}
