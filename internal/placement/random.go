package placement

import "math/rand/v2"

// randomPolicy picks an eligible replica of the entry's subset at random. The score is always zero.
type randomPolicy struct{}

// Name implements Policy.
func (*randomPolicy) Name() string { return PolicyRandom }

// NeedsProbes implements Policy.
func (*randomPolicy) NeedsProbes() bool { return false }

// Select implements Policy.
func (p *randomPolicy) Select(req *Request, s *Snapshot, _ []Hint, rng *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyRandom, req, g)
	relaxIfEmpty(d, func() {
		if index, ok := sample(req, s, g.subset, rng, d); ok {
			d.addCandidate(s, index)
		}
	})
}

// Pick implements Policy.
func (*randomPolicy) Pick(req *Request, s *Snapshot, d *Decision) { pickLowest(req, s, d) }
