package placement

import "math/rand/v2"

// leastInFlightPolicy picks the eligible replica of the entry's subset with the fewest runs in its
// last load report. The score is that number of runs. The report lags and is not corrected.
type leastInFlightPolicy struct{}

// Name implements Policy.
func (*leastInFlightPolicy) Name() string { return PolicyLeastInFlight }

// NeedsProbes implements Policy.
func (*leastInFlightPolicy) NeedsProbes() bool { return false }

// Select implements Policy.
func (*leastInFlightPolicy) Select(req *Request, s *Snapshot, _ []Hint, _ *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyLeastInFlight, req, g)
	relaxIfEmpty(d, func() { addLeastInFlight(req, s, g.subset, d) })
}

// addLeastInFlight adds the eligible member with the fewest reported runs.
func addLeastInFlight(req *Request, s *Snapshot, members []int32, d *Decision) {
	best := int32(-1)
	for _, index := range members {
		r := &s.replicas[index]
		if Check(req, r, d.Relaxed) != Eligible {
			continue
		}
		if best < 0 || r.Load.InFlight < s.replicas[best].Load.InFlight {
			best = index
		}
	}
	if best >= 0 {
		d.addCandidate(s, best).Terms.Score = float64(s.replicas[best].Load.InFlight)
	}
}

// Pick implements Policy.
func (*leastInFlightPolicy) Pick(req *Request, s *Snapshot, d *Decision) { pickLowest(req, s, d) }
