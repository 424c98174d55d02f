package dispatch

import (
	"cmp"
	"slices"
)

// homeShare is the share of the target latency that an engine costs that is not one of the gateway's own:
// what others do there is known from beats only, which are older than most prompts take.
const homeShare = 0.25

// awayLooks is how many of the other engines a placement looks at, on average. Gateways that all looked at
// all engines would meet at the one that seemed best when they last heard of it.
const awayLooks = 4

// claimsMost bounds how many gateways are taken to claim the same room: of more, few look at the same engine.
const claimsMost = 6

// Position is a gateway's place among the gateways of its failure domain.
type Position struct {
	Index int
	Of    int
}

// SetPosition takes the gateway's place, and returns whether it has changed: gateways come and go.
func (d *Dispatcher) SetPosition(p Position) bool {
	if d.position == p {
		return false
	}
	d.position = p
	d.assignHomes()
	return true
}

// assignHomes deals the engines of the failure domain out to its gateways, in the order of their ids. Each
// gateway prefers the engines that its part of the row touches, so that most of an engine's load comes from
// gateways that know of it at once.
func (d *Dispatcher) assignHomes() {
	for _, group := range d.services {
		if group.Engine != nil {
			group.deal(d.domain, d.position)
		}
	}
}

func (g *service) deal(domain string, p Position) {
	g.claims = min(max(1, p.Of), claimsMost)
	g.awayChance = min(1, float64(awayLooks)/float64(max(1, len(g.servers))))
	near := make([]*server, 0, len(g.servers))
	for _, s := range g.servers {
		s.away = false
		if s.FailureDomain == domain {
			near = append(near, s)
		}
	}
	if len(near) == 0 || p.Of <= 1 {
		return
	}
	for _, s := range g.servers {
		s.away = true
	}
	slices.SortFunc(near, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	first := p.Index * len(near) / p.Of
	end := ((p.Index+1)*len(near) + p.Of - 1) / p.Of
	for _, s := range near[first:end] {
		s.away = false
	}
}
