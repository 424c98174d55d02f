package placement

import (
	"math/rand/v2"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

// sampleAttempts is the number of random draws before sample falls back to a scan.
const sampleAttempts = 8

// sample draws uniformly at random an eligible member that is not yet a candidate. It returns false
// when there is none.
func sample(req *Request, s *Snapshot, members []int32, rng *rand.Rand, d *Decision) (int32, bool) {
	if len(members) == 0 {
		return 0, false
	}
	for range sampleAttempts {
		index := members[rng.IntN(len(members))]
		if usable(req, s, index, d) {
			return index, true
		}
	}
	return sampleByScan(req, s, members, rng, d)
}

// sampleByScan draws uniformly from all usable members by reservoir sampling (Vitter, 1985).
func sampleByScan(req *Request, s *Snapshot, members []int32, rng *rand.Rand, d *Decision) (int32, bool) {
	count := 0
	var chosen int32
	for _, index := range members {
		if !usable(req, s, index, d) {
			continue
		}
		count++
		if rng.IntN(count) == 0 {
			chosen = index
		}
	}
	return chosen, count > 0
}

// usable reports whether a replica passes the filters and is not yet a candidate.
func usable(req *Request, s *Snapshot, index int32, d *Decision) bool {
	return Check(req, &s.replicas[index], d.Relaxed) == Eligible && !d.hasCandidate(index)
}

// highestRank returns the eligible member with the highest rendezvous rank for the request's affinity.
func highestRank(req *Request, s *Snapshot, members []int32, relaxed bool) (int32, bool) {
	found := false
	var best int32
	var bestWeight uint64
	for _, index := range members {
		r := &s.replicas[index]
		weight := rendezvous.Weight(req.Affinity, r.hash)
		if found && weight <= bestWeight {
			continue
		}
		if Check(req, r, relaxed) != Eligible {
			continue
		}
		found, best, bestWeight = true, index, weight
	}
	return best, found
}

// relaxIfEmpty calls fill, and calls it again with relaxed filters if no candidate was found.
func relaxIfEmpty(d *Decision, fill func()) {
	fill()
	if len(d.Candidates) > 0 {
		return
	}
	d.Relaxed = true
	fill()
}

// pickLowest sets Picked to the candidate with the lowest score that is not rejected.
func pickLowest(req *Request, s *Snapshot, d *Decision) {
	d.Picked = NoCandidate
	for i := range d.Candidates {
		c := &d.Candidates[i]
		if !mayRun(req, s, d, c) {
			continue
		}
		if d.Picked == NoCandidate || c.Terms.Score < d.Candidates[d.Picked].Terms.Score {
			d.Picked = i
		}
	}
}

// mayRun reports whether a candidate may run the request. It applies the filters again, because replicas may
// have been tried since Select.
func mayRun(req *Request, s *Snapshot, d *Decision, c *Candidate) bool {
	if c.Rejected == RejectedByAgent {
		return false
	}
	c.Rejected = Check(req, &s.replicas[c.Index], d.Relaxed)
	return c.Rejected == Eligible
}
