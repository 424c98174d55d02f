package placement

import "math/rand/v2"

// rendezvousPolicy sends all requests of one conversation to the eligible replica with the highest
// rendezvous rank for its affinity, regardless of load. The score is always zero. Requests without
// affinity go to a random replica of the entry's subset.
type rendezvousPolicy struct{}

// Name implements Policy.
func (*rendezvousPolicy) Name() string { return PolicyRendezvous }

// NeedsProbes implements Policy.
func (*rendezvousPolicy) NeedsProbes() bool { return false }

// Select implements Policy.
func (*rendezvousPolicy) Select(req *Request, s *Snapshot, _ []Hint, rng *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyRendezvous, req, g)
	relaxIfEmpty(d, func() {
		if req.Affinity == 0 {
			addRandom(req, s, g.subset, 1, rng, d)
			return
		}
		if index, ok := highestRank(req, s, g.members, d.Relaxed); ok {
			d.addCandidate(s, index)
		}
	})
}

// Pick implements Policy.
func (*rendezvousPolicy) Pick(req *Request, s *Snapshot, d *Decision) { pickLowest(req, s, d) }
