package placement

import "math/rand/v2"

// choices is the number of replicas that are compared (Mitzenmacher, "The power of two choices in
// randomized load balancing", 2001).
const choices = 2

// twoChoicesPolicy draws two eligible replicas of the entry's subset at random and picks the one with
// fewer runs. These are the runs of its last load report plus those that this entry sent since. The
// score is that number of runs.
type twoChoicesPolicy struct{}

// Name implements Policy.
func (*twoChoicesPolicy) Name() string { return PolicyTwoChoices }

// NeedsProbes implements Policy.
func (*twoChoicesPolicy) NeedsProbes() bool { return false }

// Select implements Policy.
func (*twoChoicesPolicy) Select(req *Request, s *Snapshot, _ []Hint, rng *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyTwoChoices, req, g)
	relaxIfEmpty(d, func() { addRandom(req, s, g.subset, choices, rng, d) })
}

// addRandom adds up to count random eligible members that are not yet candidates.
func addRandom(req *Request, s *Snapshot, members []int32, count int, rng *rand.Rand, d *Decision) {
	for range count {
		index, ok := sample(req, s, members, rng, d)
		if !ok {
			return
		}
		d.addCandidate(s, index)
	}
}

// Pick implements Policy.
func (*twoChoicesPolicy) Pick(req *Request, s *Snapshot, d *Decision) {
	scoreByLoad(s, d)
	pickLowest(req, s, d)
}

// scoreByLoad scores each candidate by its corrected number of runs.
func scoreByLoad(s *Snapshot, d *Decision) {
	for i := range d.Candidates {
		c := &d.Candidates[i]
		c.Terms.Score = float64(s.replicas[c.Index].Load.Estimate())
	}
}
