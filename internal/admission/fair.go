package admission

import "container/heap"

// flow is the queue of one organisation at one level.
type flow struct {
	share float64
	// tag is the virtual start time of the first waiting entry, or the virtual finish time of the
	// last entry that was picked when none waits. Its unit is milliseconds of work for share 1.
	tag        float64
	work       float64 // milliseconds of work that waits
	count      int
	head, tail *entry
	org        *organisation
	// order is the order in which flows got their tags; it decides between equal ones.
	order uint64
	// index is the place of the flow in the heap of active or of idle flows; -1 outside both.
	index int
}

// level shares one urgency among organisations by start-time fair queuing.
//
// Invariant: a flow is active exactly when it has waiting entries. It is idle, and remembered, as
// long as it was served ahead of the virtual time; sending one entry at a time gains nothing.
type level struct {
	work float64 // milliseconds of work that waits
	// virtual is the start tag of the entry that was picked last.
	virtual float64
	tagged  uint64 // tags given so far
	active  flowHeap
	idle    flowHeap
	// held reports whether a flow may not start anything now.
	held func(*flow) bool
	// waitingHeld are held flows while an entry is picked.
	waitingHeld []*flow
	// forget is called with a flow that need not be remembered any more.
	forget func(*flow)
}

func (l *level) push(e *entry) {
	f := e.flow
	if f.head == nil {
		l.activate(f)
		f.head = e
	} else {
		f.tail.next = e
		e.prev = f.tail
	}
	f.tail = e
	f.count++
	f.work += e.work
	l.work += e.work
}

// activate starts the flow at the virtual time, or later when it was served ahead of it.
func (l *level) activate(f *flow) {
	if f.index >= 0 {
		heap.Remove(&l.idle, f.index)
	}
	f.tag = max(f.tag, l.virtual)
	l.tagged++
	f.order = l.tagged
	heap.Push(&l.active, f)
}

// remove takes e out of its flow.
func (l *level) remove(e *entry) {
	f := e.flow
	if e.prev == nil {
		f.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		f.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	f.count--
	f.work -= e.work
	l.work -= e.work
	if f.count == 0 {
		l.deactivate(f)
		l.forgetIdle()
	}
}

func (l *level) deactivate(f *flow) {
	f.work = 0 // clears rounding errors
	heap.Remove(&l.active, f.index)
	heap.Push(&l.idle, f)
	if len(l.active)+len(l.waitingHeld) == 0 {
		l.work = 0
	}
}

// pick takes out the first entry of the flow with the lowest tag that is not held; nil when there
// is none.
func (l *level) pick() *entry {
	l.setHeldAside()
	defer l.bringHeldBack()
	if len(l.active) == 0 {
		return nil
	}
	f := l.active[0]
	e := f.head
	l.virtual = max(l.virtual, f.tag)
	f.tag += e.work / f.share
	l.tagged++
	f.order = l.tagged
	l.remove(e)
	if f.count > 0 {
		heap.Fix(&l.active, f.index)
	}
	return e
}

// setHeldAside takes the held flows with the lowest tags out of the heap.
func (l *level) setHeldAside() {
	for len(l.active) > 0 && l.held(l.active[0]) {
		l.waitingHeld = append(l.waitingHeld, heap.Pop(&l.active).(*flow))
	}
}

// bringHeldBack puts them back. They do not save up the turns that they missed.
func (l *level) bringHeldBack() {
	for i, f := range l.waitingHeld {
		f.tag = max(f.tag, l.virtual)
		heap.Push(&l.active, f)
		l.waitingHeld[i] = nil
	}
	l.waitingHeld = l.waitingHeld[:0]
	l.forgetIdle()
}

// forgetIdle drops the idle flows that the virtual time has caught up with, and all of them when
// nothing waits.
func (l *level) forgetIdle() {
	empty := len(l.active)+len(l.waitingHeld) == 0
	for len(l.idle) > 0 && (empty || l.idle[0].tag <= l.virtual) {
		f := heap.Pop(&l.idle).(*flow)
		l.virtual = max(l.virtual, f.tag)
		l.forget(f)
	}
}

// ahead returns the waiting work in milliseconds that would start before a new entry at the end of
// own, which is nil when the organisation is not known.
func (l *level) ahead(own *flow, share float64) float64 {
	tag, total := l.virtual, 0.0
	if own != nil {
		tag = max(own.tag, l.virtual) + own.work/share
		total = own.work
	}
	for _, f := range l.active {
		if f != own && f.tag < tag {
			total += min(f.work, (tag-f.tag)*f.share+f.head.work)
		}
	}
	return total
}

// flowHeap implements heap.Interface, lowest tag first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
