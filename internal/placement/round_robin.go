package placement

import (
	"math/rand/v2"
	"sync/atomic"
)

// roundRobinPolicy picks the eligible replicas of the entry's subset in round-robin order. The score
// is always zero.
type roundRobinPolicy struct {
	next atomic.Uint64
}

// Name implements Policy.
func (*roundRobinPolicy) Name() string { return PolicyRoundRobin }

// NeedsProbes implements Policy.
func (*roundRobinPolicy) NeedsProbes() bool { return false }

// Select implements Policy.
func (p *roundRobinPolicy) Select(req *Request, s *Snapshot, _ []Hint, _ *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyRoundRobin, req, g)
	next := p.next.Add(1)
	relaxIfEmpty(d, func() {
		for i := range g.subset {
			index := g.subset[(next+uint64(i))%uint64(len(g.subset))]
			if usable(req, s, index, d) {
				d.addCandidate(s, index)
				return
			}
		}
	})
}

// Pick implements Policy.
func (*roundRobinPolicy) Pick(req *Request, s *Snapshot, d *Decision) { pickLowest(req, s, d) }
