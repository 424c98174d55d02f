// Package storeserver stands in for a KV cache store instance: a memory tier, a slower disk tier
// and a limited link that urgent transfers use first.
package storeserver

import (
	"container/list"
	"sync"
)

// tier is one level of the store with least-recently-used order. The store's mutex guards it.
type tier struct {
	capacity int64
	used     int64
	order    *list.List // of *entry, most recently used first
	byName   map[string]*list.Element
}

// entry is one piece. Content grows up to size while a partly published piece arrives.
type entry struct {
	name    string
	content []byte
	size    int64
}

func newTier(capacity int64) *tier {
	return &tier{capacity: capacity, order: list.New(), byName: map[string]*list.Element{}}
}

func (t *tier) get(name string) *entry {
	element, ok := t.byName[name]
	if !ok {
		return nil
	}
	t.order.MoveToFront(element)
	return element.Value.(*entry)
}

func (t *tier) put(e *entry) {
	t.remove(e.name)
	t.byName[e.name] = t.order.PushFront(e)
	t.used += e.size
}

func (t *tier) remove(name string) bool {
	element, ok := t.byName[name]
	if !ok {
		return false
	}
	t.used -= element.Value.(*entry).size
	t.order.Remove(element)
	delete(t.byName, name)
	return true
}

// oldest returns the least recently used entry, or nil.
func (t *tier) oldest() *entry {
	if back := t.order.Back(); back != nil {
		return back.Value.(*entry)
	}
	return nil
}

// Stats counts what the store holds and has done.
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

// add makes room and adds an entry. It returns false when there is no room for it.
func (p *pieces) add(e *entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.full || e.size > p.memory.capacity {
		p.stats.Refused++
		return false
	}
	p.disk.remove(e.name)
	p.memory.put(e)
	for p.memory.used > p.memory.capacity {
		p.demote(p.memory.oldest())
	}
	p.stats.Puts++
	return true
}

// demote moves an entry to the disk tier, or drops it when the disk tier can't hold it.
func (p *pieces) demote(e *entry) {
	p.memory.remove(e.name)
	if e.size > p.disk.capacity {
		p.stats.Evicted++
		return
	}
	p.disk.put(e)
	p.stats.Demoted++
	for p.disk.used > p.disk.capacity {
		p.disk.remove(p.disk.oldest().name)
		p.stats.Evicted++
	}
}

// find returns a piece's present bytes and its tier.
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

// grow replaces the bytes of a partly written entry.
func (p *pieces) grow(e *entry, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.content = content
}

func (p *pieces) setFull(full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = full
}

func (p *pieces) count(change func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

func (p *pieces) snapshot() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.MemoryBytes, s.MemoryPieces = p.memory.used, p.memory.order.Len()
	s.DiskBytes, s.DiskPieces = p.disk.used, p.disk.order.Len()
	return s
}
