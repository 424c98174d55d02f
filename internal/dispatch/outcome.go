package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/health"
)

const (
	// suspectFor is how long a server that could not be reached is left alone at first; it doubles up to
	// suspectLimit while the server stays silent. A crashed server is back or deregistered within seconds.
	suspectFor   = 400 * time.Millisecond
	suspectLimit = 3 * time.Second
	// fullFor is how long a server that turned a request away is left alone.
	fullFor = 150 * time.Millisecond
	// learn is the weight of one request in what is learnt of times.
	learn = 0.05
	// tokenQuantile is the quantile of the measured times that the time of a token follows: prompts of other
	// gateways that this one doesn't know of make many of them too long, and none too short.
	tokenQuantile = 0.25
	// slownessLearn is the weight of one request in a server's slowness, and slownessLimit bounds it.
	slownessLearn = 0.1
	slownessLimit = 3.0
	slownessLeast = 0.7
	// minLearnTokens is the least number of computed tokens that tells the time of one.
	minLearnTokens = 1000
)

// Result is how a request ended at one server.
type Result uint8

// The results of a request at a server.
const (
	// Served means that the server answered, whatever its status.
	Served Result = iota
	// Failed means that the server answered that it failed.
	Failed
	// TurnedAway means that the server did not run the request.
	TurnedAway
	// Misdirected means that another server has the address, or that it has other weights.
	Misdirected
	// Unreachable means that the connection could not be opened or ended without an answer.
	Unreachable
	// Cancelled means that the caller left or the time was over.
	Cancelled
)

// Sent counts a request that is on its way to the server of the placement.
func (d *Dispatcher) Sent(now time.Time, p *Placement) {
	if s := d.servers[p.Server]; s != nil {
		s.count(now, 1, p.Tokens)
	}
	if p.engine != nil {
		p.engine.memory.take(p.parts, p.output)
		p.sentAt = now
	}
}

// FirstByte takes the time to the first byte of the answer.
func (d *Dispatcher) FirstByte(now time.Time, p *Placement, took time.Duration) {
	s := d.servers[p.Server]
	if s == nil {
		return
	}
	s.count(now, 0, -p.Tokens)
	s.answered(now)
	if group := d.services[s.Service]; group != nil && p.Alone {
		group.learn(p, took)
	}
	if p.Plan != nil && p.Plan.FetchTokens > minLearnTokens {
		waited := float64(took-p.Compute)/float64(time.Millisecond) - p.Plan.TransferMS
		d.catalogue.Fetched(p.Plan, waited, now)
		return
	}
	if p.Predicted <= 0 {
		return
	}
	ratio := min(took.Seconds()/p.Predicted.Seconds(), slownessLimit)
	s.slowness += slownessLearn * (ratio*s.slowness - s.slowness)
	s.slowness = min(max(s.slowness, slownessLeast), slownessLimit)
}

// learn adjusts the times that predictions are made from.
func (g *service) learn(p *Placement, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if p.Plan == nil {
		g.workMS += learn * (min(ms, 4*g.workMS) - g.workMS)
		return
	}
	if p.Tokens < minLearnTokens {
		return
	}
	perToken := max(0, ms-firstTokenMS-p.Plan.FetchMS) / float64(p.Tokens)
	if perToken < g.tokenMS {
		g.tokenMS *= 1 - learn*(1-tokenQuantile)
		return
	}
	g.tokenMS *= 1 + learn*tokenQuantile
}

func (s *server) answered(now time.Time) {
	s.lastGood = now
	s.suspected = 0
	s.suspectUntil = time.Time{}
}

// Ended takes the end of a request at a server. FirstByte tells whether the server had begun to answer.
func (d *Dispatcher) Ended(now time.Time, p *Placement, result Result, firstByte bool) {
	d.release(now, p, result)
	s := d.servers[p.Server]
	if s == nil {
		return
	}
	waiting := 0
	if !firstByte {
		waiting = p.Tokens
	}
	s.count(now, -1, -waiting)
	switch result {
	case Served:
		d.health.Record(now, s.ID, health.Sample{Ratio: s.slowness})
	case Failed:
		s.answered(now)
		d.health.Record(now, s.ID, health.Sample{Failed: true})
	case TurnedAway:
		s.fullUntil = now.Add(fullFor)
	case Misdirected:
		s.fullUntil = now.Add(fullFor)
	case Unreachable:
		d.health.Record(now, s.ID, health.Sample{Failed: true})
		s.suspect(now)
	}
}

// release takes back what the request held of its engine's memory.
func (d *Dispatcher) release(now time.Time, p *Placement, result Result) {
	if p.engine == nil {
		return
	}
	p.engine.memory.release(p.parts, p.output)
	if group := d.services[p.engine.Service]; group != nil && result == Served {
		group.held(p, now.Sub(p.sentAt))
	}
}

func (s *server) suspect(now time.Time) {
	if now.Before(s.suspectUntil) {
		return
	}
	s.suspectUntil = now.Add(min(suspectFor<<min(s.suspected, 4), suspectLimit))
	s.suspected++
}

// Loaded takes the load that a server told with an answer.
func (d *Dispatcher) Loaded(now time.Time, id string, load backend.Load) {
	if s := d.servers[id]; s != nil {
		s.load, s.loadAt = load, now
	}
}
