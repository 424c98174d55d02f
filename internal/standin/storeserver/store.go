// Package storeserver is a stand-in for a KV cache store instance. It has a memory tier, a slower disk tier and a
// link of limited bandwidth, which urgent transfers use first.
package storeserver

import (
	"container/list"
	"sync"
)

// tier is one level of the store, with its pieces in least-recently-used (LRU) order. The mutex of pieces guards it.
type tier struct {
	capacity int64
	used     int64
	lru      *list.List // of *storedPiece, most recently used first
	byName   map[string]*list.Element
}

// storedPiece is one piece. When it is published before it has arrived completely, content grows up to size.
type storedPiece struct {
	name    string
	content []byte
	size    int64
}

func newTier(capacity int64) *tier {
	return &tier{capacity: capacity, lru: list.New(), byName: map[string]*list.Element{}}
}

func (t *tier) get(name string) *storedPiece {
	element, ok := t.byName[name]
	if !ok {
		return nil
	}
	t.lru.MoveToFront(element)
	return element.Value.(*storedPiece)
}

func (t *tier) put(e *storedPiece) {
	t.remove(e.name)
	t.byName[e.name] = t.lru.PushFront(e)
	t.used += e.size
}

func (t *tier) remove(name string) bool {
	element, ok := t.byName[name]
	if !ok {
		return false
	}
	t.used -= element.Value.(*storedPiece).size
	t.lru.Remove(element)
	delete(t.byName, name)
	return true
}

// leastRecent returns the least recently used piece, or nil.
func (t *tier) leastRecent() *storedPiece {
	if back := t.lru.Back(); back != nil {
		return back.Value.(*storedPiece)
	}
	return nil
}

// Stats is the response to GET /admin/stats: the content of the tiers and counts of operations and bytes.
type Stats struct {
	MemoryBytes   int64 `json:"memory_bytes"`
	MemoryPieces  int   `json:"memory_pieces"`
	DiskBytes     int64 `json:"disk_bytes"`
	DiskPieces    int   `json:"disk_pieces"`
	Puts          int64 `json:"puts"`
	Gets          int64 `json:"gets"`
	Misses        int64 `json:"misses"`
	Refused       int64 `json:"refused"`
	Demoted       int64 `json:"demoted"`
	Evicted       int64 `json:"evicted"`
	BytesIn       int64 `json:"bytes_in"`
	BytesOut      int64 `json:"bytes_out"`
	UrgentBytes   int64 `json:"urgent_bytes"`
	PatientBytes  int64 `json:"patient_bytes"`
	ExportBytes   int64 `json:"export_bytes"`
	WaitingOnLink int   `json:"waiting_on_link"`
}

// pieces is the content of the store. It is safe for concurrent use.
type pieces struct {
	mu     sync.Mutex
	memory *tier
	disk   *tier
	full   bool
	stats  Stats
}

// add stores a piece in the memory tier and demotes others to make space. It returns false when the piece is larger
// than the tier or the store refuses pieces as full.
func (p *pieces) add(e *storedPiece) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.full || e.size > p.memory.capacity {
		p.stats.Refused++
		return false
	}
	p.disk.remove(e.name)
	p.memory.put(e)
	for p.memory.used > p.memory.capacity {
		p.demote(p.memory.leastRecent())
	}
	p.stats.Puts++
	return true
}

// demote moves a piece to the disk tier, or evicts it when it is larger than the disk tier.
func (p *pieces) demote(e *storedPiece) {
	p.memory.remove(e.name)
	if e.size > p.disk.capacity {
		p.stats.Evicted++
		return
	}
	p.disk.put(e)
	p.stats.Demoted++
	for p.disk.used > p.disk.capacity {
		p.disk.remove(p.disk.leastRecent().name)
		p.stats.Evicted++
	}
}

// find returns the bytes of a piece that have arrived, and its tier.
func (p *pieces) find(name string) (content []byte, tierName string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.memory.get(name); e != nil {
		return e.content, tierMemory, true
	}
	if e := p.disk.get(name); e != nil {
		return e.content, tierDisk, true
	}
	return nil, "", false
}

func (p *pieces) remove(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	inMemory := p.memory.remove(name)
	onDisk := p.disk.remove(name)
	return inMemory || onDisk
}

// setContent sets the bytes of a piece that have arrived.
func (p *pieces) setContent(e *storedPiece, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.content = content
}

func (p *pieces) setFull(full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = full
}

func (p *pieces) updateStats(change func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

func (p *pieces) snapshot() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.MemoryBytes, s.MemoryPieces = p.memory.used, p.memory.lru.Len()
	s.DiskBytes, s.DiskPieces = p.disk.used, p.disk.lru.Len()
	return s
}
