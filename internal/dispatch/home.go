package dispatch

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

const (
	// minHomeTokens is the number of cached tokens from which a prompt has a home. Fewer are fetched in a few
	// milliseconds from anywhere.
	minHomeTokens = 1024
	// homeDistantPenaltyShare is the penalty for an engine in the prompt's home if that is another failure domain, and
	// awayPenaltyShare that for an engine of the gateway's own domain if the home is another one; both as shares of the
	// target latency.
	homeDistantPenaltyShare = 0.02
	awayPenaltyShare        = 0.1
)

// homeOf returns the failure domain whose stores hold most of the prompt for the newest weights that have some of it;
// empty if that is little. It answers the load of deployments whose sessions return through any failure domain: an
// engine in the home occupies the links of its stores for half as long, and those are the first to be exhausted.
func (d *Dispatcher) homeOf(now time.Time, r *Request) string {
	for _, version := range d.versionsOf(r.Model) {
		g := kvcache.Generation{Model: r.Model, Version: version}
		domain, tokens := d.catalogue.Home(g, kvcache.Salt(g, r.CacheBoundary), r.Parts, now)
		if tokens >= minHomeTokens {
			return domain
		}
	}
	return ""
}

// versionsOf returns the weight versions of the model on its engines, the newest first.
func (d *Dispatcher) versionsOf(model string) []int64 {
	var versions []int64
	for _, s := range d.servers {
		if v := s.weightVersion[model]; v > 0 && !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	return versions
}

// candidateProbability returns the probability that an unassigned engine is a candidate.
func (d *Dispatcher) candidateProbability(group *service, s *server) float64 {
	if d.home != "" && d.home != d.domain && s.FailureDomain == d.home {
		return group.homeProbability[d.home]
	}
	return group.unassignedProbability
}

// distancePenalty returns the penalty for the distance between a server, the gateway and the prompt's cached parts, as
// a share of the target latency.
func (d *Dispatcher) distancePenalty(r *Request, s *server) float64 {
	if r.Model != "" && d.home != "" && d.home != d.domain {
		switch s.FailureDomain {
		case d.home:
			return homeDistantPenaltyShare
		case d.domain:
			if !s.unassigned {
				return awayPenaltyShare
			}
		}
	}
	penalty := 0.0
	if s.FailureDomain != d.domain {
		penalty += distantPenaltyShare
	}
	if s.unassigned {
		penalty += unassignedPenaltyShare
	}
	return penalty
}
