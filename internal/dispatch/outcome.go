package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/health"
)

const (
	// suspectFor is how long a server is avoided after it could not be reached for the first time. The time doubles
	// up to maxSuspectFor while the server does not respond. A crashed server is back or deregistered within seconds.
	suspectFor    = 400 * time.Millisecond
	maxSuspectFor = 3 * time.Second
	// refusedFor is how long a server is avoided after it refused a request or a request was misdirected to it. After several
	// misdirected requests in a row the time doubles with each, up to maxMisdirectedFor: another server has the address by then, and
	// each further request spends retry budget.
	refusedFor        = 150 * time.Millisecond
	maxMisdirectedFor = 10 * time.Second
	// timeSmoothing is the weight of one request in the estimated compute times.
	timeSmoothing = 0.05
	// tokenQuantile is the quantile of the measured times per token that tokenMS follows. Prompts of other gateways
	// that this gateway has not been informed of make many measured times too long, and none too short.
	tokenQuantile = 0.25
	// slownessSmoothing is the weight of one request in a server's slowness; minSlowness and maxSlowness bound it.
	slownessSmoothing = 0.1
	maxSlowness       = 3.0
	minSlowness       = 0.7
	// minMeasuredTokens is the smallest number of tokens from which a time per token or a fetch time is measured.
	minMeasuredTokens = 1000
)

// Result is the way in which a request ended at one server.
type Result uint8

// Results of a request at a server.
const (
	// Served means that the server responded, with any status.
	Served Result = iota
	// Failed means that the server responded that it had failed.
	Failed
	// Refused means that the server refused the request and did not run it.
	Refused
	// Misdirected means that another server has the address, or that the server has other weights.
	Misdirected
	// Unreachable means that the connection could not be opened, or that it ended without a response.
	Unreachable
	// Cancelled means that the caller disconnected or the deadline passed.
	Cancelled
)

// RecordSent records that the request was sent to the server of the placement.
func (d *Dispatcher) RecordSent(now time.Time, p *Placement) {
	if s := d.servers[p.Server]; s != nil {
		s.addLoad(now, 1, p.ComputeTokens)
		s.sends.add(now)
		s.returned.add(now, p.ComputeTokens)
		s.addBytes(p.bytes)
	}
	if p.engine != nil {
		p.engine.memory.reserve(p.parts, p.outputTokens)
		p.sentAt = now
	}
}

// RecordFirstByte records the time to the first byte of the response.
func (d *Dispatcher) RecordFirstByte(now time.Time, p *Placement, took time.Duration) {
	d.catalogue.RecordResponse(p.Plan, now)
	s := d.servers[p.Server]
	if s == nil {
		return
	}
	s.addLoad(now, 0, -p.ComputeTokens)
	s.recordResponse()
	speed := s.speedHeld(now, p, took)
	predicted, engineTime := p.rescaled(speed)
	if group := d.services[s.Service]; group != nil && p.EmptyQueue {
		group.updateTimes(p, took, speed)
	}
	if p.Plan != nil && p.Plan.FetchTokens > minMeasuredTokens {
		waitedMS := float64(took-engineTime)/float64(time.Millisecond) - p.Plan.TransferMS
		d.catalogue.ObserveFetch(p.Plan, waitedMS, now)
		return
	}
	if predicted <= 0 {
		return
	}
	ratio := min(took.Seconds()/predicted.Seconds(), maxSlowness)
	s.slowness += slownessSmoothing * (ratio*s.slowness - s.slowness)
	s.slowness = min(max(s.slowness, minSlowness), maxSlowness)
}

// updateTimes updates the measured times from which predictions are made. They are times at the usual speed; speed is the one that
// held while the server worked.
func (g *service) updateTimes(p *Placement, took time.Duration, speed float64) {
	ms := float64(took) / float64(time.Millisecond)
	if p.Plan == nil {
		g.workMS += timeSmoothing * (min(ms/speed, 4*g.workMS) - g.workMS)
		return
	}
	if p.ComputeTokens < minMeasuredTokens {
		return
	}
	perToken := max(0, ms-speed*firstTokenMS-p.Plan.FetchMS) / (speed * float64(p.ComputeTokens))
	if perToken < g.tokenMS {
		g.tokenMS *= 1 - timeSmoothing*(1-tokenQuantile)
		return
	}
	g.tokenMS *= 1 + timeSmoothing*tokenQuantile
}

func (s *server) recordResponse() {
	s.unreachableCount, s.misdirectedCount = 0, 0
	s.suspectUntil = time.Time{}
}

// RecordEnd records the end of a request at a server. firstByte reports whether the server had started to respond.
func (d *Dispatcher) RecordEnd(now time.Time, p *Placement, result Result, firstByte bool) {
	d.releaseMemory(now, p, result)
	d.recordSaves(now, p, result)
	s := d.servers[p.Server]
	if s == nil {
		return
	}
	waiting := 0
	if !firstByte {
		waiting = p.ComputeTokens
	}
	s.addLoad(now, -1, -waiting)
	s.addBytes(-p.bytes)
	switch result {
	case Served:
		// Health counts the average of the stated speed, not its latest value, so that a server that states a short slow time
		// is not ejected for it.
		d.health.Record(now, s.ID, health.Sample{Ratio: s.slowness * s.speed.lastingAt(now)})
	case Failed:
		s.recordResponse()
		d.health.Record(now, s.ID, health.Sample{Failed: true})
	case Refused:
		s.refusedUntil = now.Add(refusedFor)
	case Misdirected:
		s.refusedUntil = now.Add(min(refusedFor<<min(s.misdirectedCount, 8), maxMisdirectedFor))
		s.misdirectedCount++
	case Unreachable:
		d.health.Record(now, s.ID, health.Sample{Failed: true})
		s.suspect(now)
		d.recordColdFailure(now, s)
	}
}

// RecordNotSent records that the request was not sent to the server of the placement. RecordEnd is called as well.
func (d *Dispatcher) RecordNotSent(p *Placement) { d.catalogue.RecordNotRun(p.Plan) }

// RecordClosedByServer records that the server has closed the connection of the request. RecordEnd is called as well.
func (d *Dispatcher) RecordClosedByServer(now time.Time, p *Placement) {
	d.catalogue.RecordBrokenOff(p.Plan, now)
}

// recordSaves records what the end of a request shows about its saves of cached parts. A request that was cancelled or got no response
// shows nothing: its engine may be out of reach and go on.
func (d *Dispatcher) recordSaves(now time.Time, p *Placement, result Result) {
	switch result {
	case Served, Failed:
		d.catalogue.RecordResponse(p.Plan, now)
	case Refused, Misdirected:
		d.catalogue.RecordNotRun(p.Plan)
	case Unreachable, Cancelled:
	}
}

// releaseMemory releases the memory that the request reserved at its engine.
func (d *Dispatcher) releaseMemory(now time.Time, p *Placement, result Result) {
	if p.engine == nil {
		return
	}
	p.engine.memory.release(p.parts, p.outputTokens)
	if group := d.services[p.engine.Service]; group != nil && result == Served {
		took := now.Sub(p.sentAt)
		speed := p.engine.averageSpeed(now, p, took)
		group.updateHoldTime(p, took, speed)
		group.updateSlotTime(p, took, speed)
	}
}

func (s *server) suspect(now time.Time) {
	if now.Before(s.suspectUntil) {
		return
	}
	s.suspectUntil = now.Add(min(suspectFor<<min(s.unreachableCount, 4), maxSuspectFor))
	s.unreachableCount++
}

// ServerReport is what a server stated about itself in a response.
type ServerReport struct {
	// Version is the weight version of Model; 0 when not stated.
	Model   string
	Version int64
	// Load is nil when not stated.
	Load *backend.Load
	// Leaving reports that the server is about to stop.
	Leaving bool
	// RetryAfter is how long the server asks this gateway to send it no requests; 0 when not stated.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the server takes from all gateways together. Without HasLimit it
	// takes any number.
	Limit    float64
	HasLimit bool
	// ColdFor is how much longer the server is cold; valid when HasCold is set. ColdUnreadable is set when the server states
	// that in a way that can't be read.
	ColdFor        time.Duration
	HasCold        bool
	ColdUnreadable bool
	// Misdirected is set when another server has answered at the address.
	Misdirected bool
	// SentAt is when the request was sent that the server responded to.
	SentAt time.Time
}

// ReportChanges is what a report of a server has changed.
type ReportChanges struct {
	// Leaves is set when the server is now known to leave and was not before.
	Leaves bool
	// Cold is set when the server is now known from itself to be cold and was not before.
	Cold bool
	// Limit is set when the server now states a limit and stated another or none before, or the reverse.
	Limit bool
}

// RecordReport records what a server stated about itself.
func (d *Dispatcher) RecordReport(now time.Time, id string, report ServerReport) (changes ReportChanges) {
	s := d.servers[id]
	if s == nil {
		return changes
	}
	if report.Version > 0 && report.Model != "" {
		d.SetVersion(now, id, report.Model, report.Version)
	}
	if report.Load != nil {
		s.reportedLoad, s.reportedLoadAt = *report.Load, now
		s.speed.record(now, report.Load.Speed)
		d.speedStated = d.speedStated || report.Load.Speed > 0
	}
	if busyUntil := now.Add(report.RetryAfter); report.RetryAfter > 0 && busyUntil.After(s.busyUntil) {
		s.busyUntil = busyUntil
	}
	changes.Limit = s.recordLimit(now, &report)
	changes.Cold = d.recordColdReport(now, s, &report)
	changes.Leaves = report.Leaving && !s.leaving
	s.leaving = s.leaving || report.Leaving
	return changes
}

// LeavingServer identifies one run of a server that is about to stop.
type LeavingServer struct {
	ID string
	// StartedMS is the start of the run, as in backend.Server.
	StartedMS int64
}

// SetLeaving records that a server is about to stop, as another gateway reports it. It ignores other runs of the
// server. It reports whether the server is now known to leave and was not before.
func (d *Dispatcher) SetLeaving(leaving LeavingServer) (leaves bool) {
	s := d.servers[leaving.ID]
	if s == nil || s.StartedMS != leaving.StartedMS || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// Leaving returns the registered servers that are known from responses to be about to stop.
func (d *Dispatcher) Leaving() []LeavingServer {
	var list []LeavingServer
	for _, s := range d.servers {
		if s.leaving {
			list = append(list, LeavingServer{ID: s.ID, StartedMS: s.StartedMS})
		}
	}
	return list
}
