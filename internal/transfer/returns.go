package transfer

import (
	"container/list"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// Estimation of returns.
const (
	// maxTails bounds the conversations whose return is waited for.
	maxTails = 1 << 16
	// maxOrganisations bounds the organisations with counts of their own.
	maxOrganisations = 4096
	// turnBuckets tells first, second and later turns apart.
	turnBuckets = 3
	// priorReturns and priorTurns are the counts assumed before any was seen.
	priorReturns = 2.0
	priorTurns   = 4.0
)

// tail is the last whole piece of a conversation's latest prompt.
type tail struct {
	name         piece.Name
	organisation string
	turn         int
}

// turnCounts counts the turns of an organisation and those that were followed by another.
type turnCounts struct {
	turns    [turnBuckets]float64
	returned [turnBuckets]float64
}

// Returns estimates how likely a conversation returns, from what the agent saw of its
// organisation. It sees only returns to the same agent, so it estimates low where placement
// spreads a conversation.
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

// Observe records a prompt and returns the number of its turn, from 0, and how likely the
// conversation is to return after it.
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

// probability is the mean of the posterior of a beta prior (Laplace's rule of succession).
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

// takeTail removes and returns the deepest tail among the names.
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
