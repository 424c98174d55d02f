package transfer

import (
	"container/list"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// Parameters of the estimation of returns.
const (
	// maxTails limits the number of conversations whose return can be detected.
	maxTails = 1 << 16
	// maxOrganisations limits the number of organisations with counts of their own.
	maxOrganisations = 4096
	// turnBuckets is the number of turn counts: for first, second and later turns.
	turnBuckets = 3
	// priorReturns and priorTurns are the counts assumed before any observation.
	priorReturns = 2.0
	priorTurns   = 4.0
)

// tail is the last complete piece of a conversation's latest prompt.
type tail struct {
	name         piece.Name
	organisation string
	turn         int
}

// turnCounts counts the turns of an organisation and those that were followed by another turn.
type turnCounts struct {
	turns    [turnBuckets]float64
	returned [turnBuckets]float64
}

// Returns estimates the probability that a conversation returns, from the earlier conversations of
// its organisation on this agent. It detects only returns to the same agent, so the estimate is too
// low where placement sends the turns of a conversation to several agents.
type Returns struct {
	tails  map[piece.Name]*list.Element
	order  *list.List // of tail, the oldest first
	counts map[string]*turnCounts
}

// NewReturns returns an empty estimator.
func NewReturns() *Returns {
	return &Returns{
		tails:  make(map[piece.Name]*list.Element),
		order:  list.New(),
		counts: make(map[string]*turnCounts),
	}
}

// Observe records a prompt. It returns the number of its turn, from 0, and the probability that the
// conversation returns after it.
func (r *Returns) Observe(organisation string, names []piece.Name) (turn int, probability float64) {
	counts := r.countsOf(organisation)
	if previous, ok := r.takeTail(names); ok {
		counts.returned[bucket(previous.turn)]++
		turn = previous.turn + 1
	}
	counts.turns[bucket(turn)]++
	if len(names) > 0 {
		r.addTail(tail{name: names[len(names)-1], organisation: organisation, turn: turn})
	}
	return turn, counts.probability(bucket(turn))
}

// probability returns the posterior mean under a beta prior (Laplace's rule of succession).
func (c *turnCounts) probability(bucket int) float64 {
	return (c.returned[bucket] + priorReturns) / (c.turns[bucket] + priorTurns)
}

func (r *Returns) countsOf(organisation string) *turnCounts {
	counts := r.counts[organisation]
	if counts == nil {
		counts = &turnCounts{}
		if len(r.counts) < maxOrganisations {
			r.counts[organisation] = counts
		}
	}
	return counts
}

// takeTail removes and returns the last tail among the names.
func (r *Returns) takeTail(names []piece.Name) (tail, bool) {
	for i := len(names) - 1; i >= 0; i-- {
		if element := r.tails[names[i]]; element != nil {
			return r.removeTail(element), true
		}
	}
	return tail{}, false
}

func (r *Returns) addTail(t tail) {
	if r.order.Len() >= maxTails {
		r.removeTail(r.order.Front())
	}
	r.tails[t.name] = r.order.PushBack(t)
}

func (r *Returns) removeTail(element *list.Element) tail {
	t := r.order.Remove(element).(tail)
	delete(r.tails, t.name)
	return t
}

func bucket(turn int) int { return min(turn, turnBuckets-1) }
