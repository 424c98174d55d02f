// Package turnstile holds a semaphore that lets waiters pass in priority order. The engine
// stand-in uses it for its batch and its prompt work, the store stand-in for its link.
package turnstile

import (
	"container/heap"
	"context"
	"sync"
)

// Turnstile lets a fixed number of holders in at once, lowest priority number first, then in
// order of arrival.
type Turnstile struct {
	mu      sync.Mutex
	free    int
	arrived uint64
	waiting waitHeap
}

// New returns a Turnstile with the given number of places.
func New(places int) *Turnstile { return &Turnstile{free: places} }

// Enter waits for a place. The caller must call Leave after a nil error.
func (t *Turnstile) Enter(ctx context.Context, priority int) error {
	w := t.join(priority)
	if w == nil {
		return nil
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if !t.withdraw(w) {
		t.Leave()
	}
	return ctx.Err()
}

// Leave gives a place back.
func (t *Turnstile) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	next := heap.Pop(&t.waiting).(*waiter)
	close(next.admitted)
}

// Waiting returns the number of waiters.
func (t *Turnstile) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}

// join takes a place and returns nil, or returns the queued waiter.
func (t *Turnstile) join(priority int) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.free > 0 {
		t.free--
		return nil
	}
	t.arrived++
	w := &waiter{priority: priority, arrival: t.arrived, admitted: make(chan struct{})}
	heap.Push(&t.waiting, w)
	return w
}

// withdraw removes w from the queue. It returns false when w was admitted already.
func (t *Turnstile) withdraw(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&t.waiting, w.index)
	return true
}

type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	index    int // position in the heap, -1 outside it
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
