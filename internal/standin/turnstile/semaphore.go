// Package turnstile provides a semaphore with priorities. The engine stand-in uses it for its batch and for
// prefill, the store stand-in for its link.
package turnstile

import (
	"container/heap"
	"context"
	"sync"
)

// Semaphore limits the number of concurrent holders. Waiters acquire it by priority, lowest number first, then in
// order of arrival.
type Semaphore struct {
	mu          sync.Mutex
	available   int
	lastArrival uint64
	waiters     waitHeap
}

// New returns a Semaphore for size concurrent holders.
func New(size int) *Semaphore { return &Semaphore{available: size} }

// Acquire waits until the semaphore is acquired or ctx ends. After a nil error the caller must call Release.
func (t *Semaphore) Acquire(ctx context.Context, priority int) error {
	w := t.acquireOrEnqueue(priority)
	if w == nil {
		return nil
	}
	select {
	case <-w.acquired:
		return nil
	case <-ctx.Done():
	}
	if !t.dequeue(w) {
		t.Release()
	}
	return ctx.Err()
}

// Release ends one holding, so that the next waiter acquires the semaphore.
func (t *Semaphore) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiters) == 0 {
		t.available++
		return
	}
	next := heap.Pop(&t.waiters).(*waiter)
	close(next.acquired)
}

// Waiting returns the number of waiters.
func (t *Semaphore) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiters)
}

// acquireOrEnqueue acquires the semaphore and returns nil, or returns the queued waiter.
func (t *Semaphore) acquireOrEnqueue(priority int) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.available > 0 {
		t.available--
		return nil
	}
	t.lastArrival++
	w := &waiter{priority: priority, arrival: t.lastArrival, acquired: make(chan struct{})}
	heap.Push(&t.waiters, w)
	return w
}

// dequeue removes w from the queue. It returns false when w has already acquired the semaphore.
func (t *Semaphore) dequeue(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&t.waiters, w.index)
	return true
}

type waiter struct {
	priority int
	arrival  uint64
	acquired chan struct{}
	index    int // position in the heap; -1 when it is not in the heap
}

type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waitHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	w.index = -1
	return w
}
