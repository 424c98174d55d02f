package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/shedding"
)

const (
	// shortestTargetTTL is how long the shortest target and the highest priority of a service's requests are kept after the latest such
	// request. Without such requests no memory is left free for them.
	shortestTargetTTL = 10 * time.Second
	// maxSheddingClaimants is maxClaimants under load shedding, where what prompts with long targets may claim is bounded by the
	// memory that they leave free. Assuming more claimants leaves much of the memory unused in a burst.
	maxSheddingClaimants = 2
	// tallyFade is by how much the earlier requests of a service count less with each new one: the last 100 or so decide, which is
	// about a second of a gateway with a busy service.
	tallyFade = 0.99
)

// shortTarget is the shortest target of a service's requests and when one last had it.
type shortTarget struct {
	target time.Duration
	at     time.Time
}

func (t *shortTarget) observe(now time.Time, target time.Duration) {
	if target > 0 && (t.target == 0 || target <= t.target || now.Sub(t.at) >= shortestTargetTTL) {
		t.target, t.at = target, now
	}
}

// highPriority is the highest priority of a service's requests and when one last had it.
type highPriority struct {
	rank int
	at   time.Time
}

func (p *highPriority) observe(now time.Time, rank int) {
	if rank <= p.rank || now.Sub(p.at) >= shortestTargetTTL {
		p.rank, p.at = rank, now
	}
}

// Sheds reports whether load shedding decides which requests are refused: some servers share their hosts and state how long work
// takes there, or are cold after their start and then take few requests, so that room may run short. Other deployments refuse
// by overload alone.
func (d *Dispatcher) Sheds() bool { return d.speedStated || d.hasColdRate }

// setHasColdRate records whether a service of the configuration bounds the requests to cold servers.
func (d *Dispatcher) setHasColdRate() {
	d.hasColdRate = false
	for _, s := range d.services {
		d.hasColdRate = d.hasColdRate || s.ColdPerSecond > 0
	}
}

// sheddingRequest returns what load shedding decides by.
func (r *Request) sheddingRequest() shedding.Request {
	return shedding.Request{Priority: r.Priority, TimeLeft: r.TimeLeft, Waited: r.Waited, Target: r.TargetLatency, Timeout: r.Timeout}
}

// recordPlaced counts a request to the service as placed or refused.
func (g *service) recordPlaced(r *Request, placed bool) {
	g.all = g.all.Add(tallyFade, placed)
	if r.Priority > g.highest.rank {
		g.low = g.low.Add(tallyFade, placed)
	}
}

// sheddingState returns what load shedding depends on of the service's requests.
func (g *service) sheddingState(now time.Time) shedding.Service {
	state := shedding.Service{TopPriority: g.highest.rank, All: g.all, Low: g.low}
	if now.Sub(g.shortest.at) < shortestTargetTTL {
		state.ShortestTarget = g.shortest.target
	}
	return state
}

// reserve returns the share of an engine's memory that the request leaves free for others. Without load shedding all but those
// of the highest priority do. Under load shedding the rest of a stream leaves nothing free, as its caller has the start already.
func (d *Dispatcher) reserve(now time.Time, r *Request, group *service) float64 {
	switch {
	case d.Sheds() && r.Continues:
		return 0
	case d.Sheds():
		return group.sheddingState(now).Reserve(r.sheddingRequest())
	case r.Priority > group.topPriority:
		return urgentMemoryShare
	default:
		return 0
	}
}

// claimants returns how many gateways are assumed to claim the same free memory of an unassigned engine.
func (d *Dispatcher) claimants(group *service) int {
	if d.Sheds() {
		return min(group.claimants, maxSheddingClaimants)
	}
	return group.claimants
}

// Shed is a decision of load shedding with its inputs.
type Shed struct {
	Decision shedding.Decision
	Request  shedding.Request
	Service  shedding.Service
	Server   shedding.Server
}

// shed decides on a request, given the best server found.
func (d *Dispatcher) shed(now time.Time, r *Request, group *service, s *server) Shed {
	shed := Shed{Request: r.sheddingRequest(), Service: group.sheddingState(now)}
	if r.Model == "" {
		predictedMS := d.predictMS(now, r, group, s)
		shed.Server.Predicted, shed.Server.IsPlain = milliseconds(predictedMS), true
		shed.Server.Wait = milliseconds(predictedMS - d.workMS(now, group, s))
	} else {
		shed.Server.Predicted, shed.Server.Wait = d.shortestTTFT(now, r, group, s)
		shed.Server.MemoryWait = milliseconds(d.speedFactor(now, s) * d.memoryWaitMS(now, r, group, s))
	}
	shed.Decision = shedding.Decide(shed.Request, shed.Service, shed.Server)
	if shed.Server.IsPlain && shed.Decision.Over > 0 && d.hasFreeSlots(now, r, group) {
		shed.Server.HasFreeSlots = true
		shed.Decision = shedding.Decide(shed.Request, shed.Service, shed.Server)
	}
	return shed
}

// hasFreeSlots reports whether less than shedding.MinSlotShare of the slots of a plain service's usable servers are taken. Servers that
// the request was sent to before and full ones count as usable.
func (d *Dispatcher) hasFreeSlots(now time.Time, r *Request, group *service) bool {
	taken, slots := 0, 0
	for _, s := range group.servers {
		if d.filter(now, r, s, false, filterTried|filterFull) == 0 && !d.isColdWithoutGrant(now, r, s) {
			taken += d.runningAt(now, s)
			slots += s.Slots
		}
	}
	return float64(taken) < shedding.MinSlotShare*float64(slots)
}
