package admission

import "math"

// flow is the queue of one organisation at one level.
type flow struct {
	share   float64
	deficit float64 // milliseconds of work that the flow may still start in this round
	work    float64 // milliseconds of work that waits
	count   int
	// turn is set once the flow got its quantum for the present round.
	turn       bool
	head, tail *entry
	// prev and next link the active flows of a level in a ring.
	prev, next *flow
}

// level shares one urgency among organisations by deficit round robin.
//
// Invariant: a flow is in the ring exactly when it has waiting entries, and between two picks of
// one flow every other flow of the ring gets its quantum once.
type level struct {
	quantum float64 // milliseconds in one round for share 1
	work    float64 // milliseconds of work that waits
	active  int     // flows in the ring
	current *flow
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

// activate puts f at the end of the ring, which is before the current flow.
func (l *level) activate(f *flow) {
	l.active++
	if l.current == nil {
		f.prev, f.next = f, f
		l.current = f
		return
	}
	f.next = l.current
	f.prev = l.current.prev
	f.prev.next = f
	f.next.prev = f
}

// deactivate takes an empty flow out of the ring; its deficit lapses.
func (l *level) deactivate(f *flow) {
	l.active--
	if l.active == 0 {
		l.current = nil
		l.work = 0
	} else {
		f.prev.next = f.next
		f.next.prev = f.prev
		if l.current == f {
			l.current = f.next
		}
	}
	*f = flow{share: f.share}
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
	}
}

// pick takes out the next entry. The level must not be empty.
func (l *level) pick() *entry {
	for skipped := 0; ; skipped++ {
		if skipped == l.active {
			l.skipRounds()
			skipped = 0
		}
		f := l.current
		if !f.turn {
			f.turn = true
			f.deficit += l.quantum * f.share
		}
		if e := f.head; e.work <= f.deficit {
			f.deficit -= e.work
			l.remove(e)
			return e
		}
		f.turn = false
		l.current = f.next
	}
}

// skipRounds credits every flow with the rounds in which none could start its first entry.
func (l *level) skipRounds() {
	rounds := math.Inf(1)
	f := l.current
	for range l.active {
		rounds = min(rounds, math.Ceil((f.head.work-f.deficit)/(l.quantum*f.share)))
		f = f.next
	}
	idle := rounds - 1
	if idle <= 0 {
		return
	}
	for range l.active {
		f.deficit += idle * l.quantum * f.share
		f = f.next
	}
}

// ahead returns the work in milliseconds that other flows and own would start before a new entry
// of the given work at the end of own, which is nil when the organisation has nothing waiting.
func (l *level) ahead(own *flow, share, work float64) float64 {
	waiting := 0.0
	if own != nil {
		waiting = own.work
	}
	rounds := math.Ceil((waiting + work) / (l.quantum * share))
	total := waiting
	f := l.current
	for range l.active {
		if f != own {
			total += min(f.work, rounds*l.quantum*f.share)
		}
		f = f.next
	}
	return total
}
