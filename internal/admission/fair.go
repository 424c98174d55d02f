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
	// order is the order in which flows got their tags; it decides between equal tags.
	order uint64
	// index is the place of the flow in the heap of active or of idle flows; -1 if it is in neither.
	index int
}

// level shares one urgency among organisations by start-time fair queuing.
//
// Invariant: a flow is active exactly when it has waiting entries. A flow without entries is kept as idle while
// its tag is ahead of the virtual time, so that an organisation gains no advantage by sending one entry at a time.
type level struct {
	work float64 // milliseconds of work that waits
	// virtualTime is the start tag of the last picked entry.
	virtualTime float64
	tagCount    uint64 // number of tags given so far
	active      flowHeap
	idle        flowHeap
	// throttled reports whether a flow must not start an entry now.
	throttled func(*flow) bool
	// throttledFlows holds the throttled flows while an entry is picked; they are not in active meanwhile.
	throttledFlows []*flow
	// release is called with a flow that need not be kept any longer.
	release func(*flow)
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

// activate starts the flow at the virtual time, or later if it was served ahead of it.
func (l *level) activate(f *flow) {
	if f.index >= 0 {
		heap.Remove(&l.idle, f.index)
	}
	f.tag = max(f.tag, l.virtualTime)
	l.tagCount++
	f.order = l.tagCount
	heap.Push(&l.active, f)
}

// remove removes e from its flow.
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
		l.releaseIdle()
	}
}

func (l *level) deactivate(f *flow) {
	f.work = 0 // clears rounding errors
	heap.Remove(&l.active, f.index)
	heap.Push(&l.idle, f)
	if len(l.active)+len(l.throttledFlows) == 0 {
		l.work = 0
	}
}

// pick removes and returns the first entry of the flow with the lowest tag that is not throttled; nil if there
// is none.
func (l *level) pick() *entry {
	l.removeThrottled()
	defer l.restoreThrottled()
	if len(l.active) == 0 {
		return nil
	}
	f := l.active[0]
	e := f.head
	l.virtualTime = max(l.virtualTime, f.tag)
	f.tag += e.work / f.share
	l.tagCount++
	f.order = l.tagCount
	l.remove(e)
	if f.count > 0 {
		heap.Fix(&l.active, f.index)
	}
	return e
}

// removeThrottled removes throttled flows from the heap until the flow with the lowest tag is not throttled.
func (l *level) removeThrottled() {
	for len(l.active) > 0 && l.throttled(l.active[0]) {
		l.throttledFlows = append(l.throttledFlows, heap.Pop(&l.active).(*flow))
	}
}

// restoreThrottled puts the throttled flows back. Their tags are raised to the virtual time, so that they do not
// accumulate credit while they are throttled.
func (l *level) restoreThrottled() {
	for i, f := range l.throttledFlows {
		f.tag = max(f.tag, l.virtualTime)
		heap.Push(&l.active, f)
		l.throttledFlows[i] = nil
	}
	l.throttledFlows = l.throttledFlows[:0]
	l.releaseIdle()
}

// releaseIdle releases the idle flows whose tag the virtual time has reached, and all idle flows if nothing
// waits.
func (l *level) releaseIdle() {
	empty := len(l.active)+len(l.throttledFlows) == 0
	for len(l.idle) > 0 && (empty || l.idle[0].tag <= l.virtualTime) {
		f := heap.Pop(&l.idle).(*flow)
		l.virtualTime = max(l.virtualTime, f.tag)
		l.release(f)
	}
}

// ahead returns the waiting work that would start before a new entry at the end of own, in milliseconds. own is nil
// if the organisation is unknown.
func (l *level) ahead(own *flow, share float64) float64 {
	tag, total := l.virtualTime, 0.0
	if own != nil {
		tag = max(own.tag, l.virtualTime) + own.work/share
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
