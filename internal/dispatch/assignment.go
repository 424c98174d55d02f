package dispatch

import (
	"cmp"
	"slices"
)

// unassignedPenaltyShare is the penalty for an engine that is not assigned to the gateway, as a share of the target
// latency: the load of other gateways there is known only from heartbeats, which are older than most prompts take.
const unassignedPenaltyShare = 0.25

// unassignedCandidates is how many unassigned engines a placement considers on average. If all gateways considered all
// engines, they would all pick the one that was best by their last received heartbeats.
const unassignedCandidates = 4

// homeCandidates is how many engines of a prompt's home in another failure domain a placement considers on average.
const homeCandidates = 5.0

// maxClaimants bounds how many gateways are assumed to claim the same free memory. Only a few of a larger number
// consider the same engine.
const maxClaimants = 6

// Position is the index of a gateway among the gateways of its failure domain, and their number.
type Position struct {
	Index int
	Count int
}

// SetPosition sets the gateway's position, which changes as gateways join and leave. It returns whether it changed.
func (d *Dispatcher) SetPosition(p Position) bool {
	if d.position == p {
		return false
	}
	d.position = p
	d.assignEngines()
	return true
}

// assignEngines assigns the engines of the failure domain to its gateways. The engines, sorted by id, are divided into
// equal ranges, one for each gateway, and each gateway prefers the engines that its range overlaps. Most of an engine's
// load then comes from gateways that have counted it without the delay of a heartbeat.
func (d *Dispatcher) assignEngines() {
	for _, group := range d.services {
		if group.Engine != nil {
			group.assign(d.domain, d.position)
			if len(d.evacuated) > 0 {
				group.unassignedProbability = sampleProbability(len(group.servers) - d.countEvacuated(group))
			}
		}
	}
}

// sampleProbability returns the probability with which a placement considers each of the given number of engines.
func sampleProbability(engines int) float64 {
	return min(1, float64(unassignedCandidates)/float64(max(1, engines)))
}

func (g *service) assign(domain string, p Position) {
	g.claimants = min(max(1, p.Count), maxClaimants)
	g.unassignedProbability = sampleProbability(len(g.servers))
	g.homeProbability = make(map[string]float64)
	for _, s := range g.servers {
		g.homeProbability[s.FailureDomain]++
	}
	for d, engines := range g.homeProbability {
		g.homeProbability[d] = min(1, homeCandidates/engines)
	}
	sameDomain := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		s.unassigned, s.assignees = false, 0
		if s.FailureDomain == domain {
			sameDomain = append(sameDomain, s)
		}
	}
	if len(sameDomain) == 0 || p.Count <= 1 {
		return
	}
	for _, s := range g.servers {
		s.unassigned = true
	}
	slices.SortFunc(sameDomain, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	countAssignees(sameDomain, p.Count)
	first, end := assignedRange(p.Index, p.Count, len(sameDomain))
	for _, s := range sameDomain[first:end] {
		s.unassigned = false
	}
}

// assignedRange returns the range of the engines of a failure domain that is assigned to the gateway with the index.
func assignedRange(index, gateways, engines int) (first, end int) {
	return index * engines / gateways, ((index+1)*engines + gateways - 1) / gateways
}
