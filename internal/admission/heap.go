package admission

import "container/heap"

// timeHeap orders entries by their time, earliest first.
type timeHeap struct {
	entries entryHeap
}

func (h *timeHeap) Len() int { return len(h.entries) }

func (h *timeHeap) top() *entry { return h.entries[0] }

func (h *timeHeap) push(e *entry) { heap.Push(&h.entries, e) }

// remove removes e. An entry that is not in a heap is ignored.
func (h *timeHeap) remove(e *entry) {
	if e.index >= 0 {
		heap.Remove(&h.entries, e.index)
	}
}

// entryHeap implements heap.Interface.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
