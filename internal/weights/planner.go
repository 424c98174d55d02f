package weights

import (
	"cmp"
	_ "embed"
	"math"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/chart"
)

//go:embed rollout.chart.json
var chartFile []byte

const labelExcluded, labelLoading = "withheld", "loading"

var (
	rolloutChart  = chart.MustLoad(chartFile)
	stateIdle     = rolloutChart.MustState("idle")
	stateDraining = rolloutChart.MustState("draining")
	stateOrdered  = rolloutChart.MustState("ordered")
	stateLoading  = rolloutChart.MustState("loading")
	stateWaiting  = rolloutChart.MustState("waiting")
	eventChoose   = rolloutChart.MustEvent("choose")
	eventOrder    = rolloutChart.MustEvent("order")
	eventAccepted = rolloutChart.MustEvent("accepted")
	eventSettled  = rolloutChart.MustEvent("settled")
	eventRetry    = rolloutChart.MustEvent("retry")
	eventElapse   = rolloutChart.MustEvent("elapse")
)

const (
	// baseLoadShare is the share of a service's engines in use that may load at once while there is enough time. It is
	// small because each loading engine leaves its requests to the others, which become slower, and because
	// an engine has an empty cache after a load.
	baseLoadShare = 1.0 / 8
	// plannedTimeShare is the share of the remaining time in which the rollout is planned to end. The rest
	// is a reserve for a change of leader and a few lost orders.
	plannedTimeShare = 0.55
	// maxLoadShare is the share of the engines in use that may load at once when the time is short.
	maxLoadShare = 0.5
	// drainTime is how long an engine with requests in flight gets no new requests before it is ordered to
	// load. In this time the other gateways receive the update, so that few requests are refused. Running
	// requests finish while the engine waits to load.
	drainTime = 100 * time.Millisecond
	// reportInterval is the time between two reports of a loading engine. Loads take one second or more.
	reportInterval = 200 * time.Millisecond
	// drainLead is how long before the expected end of a load the next engine is drained. It covers drainTime
	// and the time of a report.
	drainLead = 200 * time.Millisecond
	// initialLoadTime is the estimated time of a load until one was observed. loadTimeSmoothing is the weight of
	// each observed load in the moving average.
	initialLoadTime   = 1500 * time.Millisecond
	loadTimeSmoothing = 0.3
	// retryDelay is how long an engine that was unreachable or refused an order is not tried again.
	retryDelay = time.Second
	// maxLoadTime is how long an engine may load before its order counts as failed, several times the slowest load.
	maxLoadTime = 8 * time.Second
)

// Engine is the input to the planner about one engine in each step.
type Engine struct {
	backend.Server
	// Version is the last known weight version of the model at the engine.
	Version int64
	// Deadline is the time by which the engine must have left Version; zero if no newer version is the target.
	Deadline time.Time
	// InFlight is the number of requests that all gateways have in flight at the engine.
	InFlight int
	// Suspect engines are not chosen in this step.
	Suspect bool
	// Evacuated engines get no requests. They aren't capacity, so that their loads need no limit.
	Evacuated bool
}

// Target is the newest target weight version of a model and the engines that serve the model.
type Target struct {
	Model   string
	Version int64
	Engines []Engine
}

// Step is a call that the leader makes to an engine: a request for its report or an order.
type Step struct {
	Server  string
	Address string
	// Order is nil when the report is requested.
	Order *Order
	// Evacuated reports that the engine is evacuated.
	Evacuated bool
}

// progress is the planner's state of one engine.
type progress struct {
	machine chart.Machine
	address string
	model   string
	version int64
	// knownVersion is the engine's version as known when it was chosen.
	knownVersion int64
	stateSince   time.Time
	// callPending is true while a step for this engine is carried out.
	callPending bool
	nextCallAt  time.Time
	// orderedAt is when the order was sent.
	orderedAt time.Time
	// report is the latest report. It is valid when reported is set.
	report   backend.Report
	reported bool
	// evacuated is as in the latest step.
	evacuated bool
}

// Planner decides the steps of the rollout. It is not safe for concurrent use.
type Planner struct {
	holder  string
	fence   int64
	engines map[string]*progress
	// loadTime is the moving average of the time from an order to the end of its load.
	loadTime time.Duration
}

// NewPlanner returns a Planner for the holder of the leader lease with the given fence. loadTime is the LoadTime of the leader
// before; 0 if it isn't known.
func NewPlanner(holder string, fence int64, loadTime time.Duration) *Planner {
	return &Planner{holder: holder, fence: fence, engines: make(map[string]*progress), loadTime: cmp.Or(loadTime, initialLoadTime)}
}

// LoadTime returns the expected time from an order to the end of its load.
func (p *Planner) LoadTime() time.Duration { return p.loadTime }

// Next returns the steps to carry out now.
func (p *Planner) Next(now time.Time, targets []Target) []Step {
	var steps []Step
	for i := range targets {
		steps = p.nextForTarget(steps, now, &targets[i])
	}
	return steps
}

func (p *Planner) nextForTarget(steps []Step, now time.Time, t *Target) []Step {
	p.dropAbsent(t)
	p.updateEvacuated(now, t)
	maxConcurrent := p.maxConcurrent(now, t)
	loading := p.countWithLabel(t, labelLoading)
	excluded := p.countWithLabel(t, labelExcluded)
	ending := p.countEnding(now, t)
	for i := range sortByUrgency(t) {
		e := &t.Engines[i]
		if !e.Evacuated && excluded+loading-ending >= maxConcurrent {
			break
		}
		if p.choose(now, t, e) && !e.Evacuated {
			excluded++
		}
	}
	for i := range t.Engines {
		e := &t.Engines[i]
		if g := p.engines[e.ID]; g != nil && g.model == t.Model {
			step, loads := p.step(now, g, e, t, e.Evacuated || loading < maxConcurrent)
			if loads && !e.Evacuated {
				loading++
			}
			if step != nil {
				steps = append(steps, *step)
			}
		}
	}
	return steps
}

// sortByUrgency sorts the target's engines so that the evacuated ones come first, then those with the earliest deadline, of these
// the ones with the fewest requests, and returns them.
func sortByUrgency(t *Target) []Engine {
	slices.SortStableFunc(t.Engines, func(a, b Engine) int {
		if a.Evacuated != b.Evacuated {
			if a.Evacuated {
				return -1
			}
			return 1
		}
		return cmp.Or(a.Deadline.Compare(b.Deadline), a.InFlight-b.InFlight)
	})
	return t.Engines
}

// dropAbsent deletes the progress of engines that no longer serve the model.
func (p *Planner) dropAbsent(t *Target) {
	present := make(map[string]bool, len(t.Engines))
	for i := range t.Engines {
		present[t.Engines[i].ID] = true
	}
	for id, g := range p.engines {
		if g.model == t.Model && !present[id] {
			delete(p.engines, id)
		}
	}
}

// updateEvacuated takes over which engines are evacuated. An engine that is drained when its evacuation ends gets requests again and
// is chosen anew within the limit. Otherwise all engines of the failure domain could wait without requests for their turn to load.
func (p *Planner) updateEvacuated(now time.Time, t *Target) {
	for i := range t.Engines {
		e := &t.Engines[i]
		g := p.engines[e.ID]
		if g == nil || g.model != t.Model {
			continue
		}
		if g.evacuated && !e.Evacuated && g.machine.State() == stateDraining {
			p.fire(g, eventSettled, now)
		}
		g.evacuated = e.Evacuated
	}
}

// countWithLabel returns the number of engines in use whose state has the label.
func (p *Planner) countWithLabel(t *Target, label string) int {
	n := 0
	for _, g := range p.engines {
		if g.model == t.Model && !g.evacuated && rolloutChart.Label(g.machine.State()) == label {
			n++
		}
	}
	return n
}

// maxConcurrent returns how many of the engines in use may load at once: few while there is time, more when it is short for the
// engines that are due by some deadline.
func (p *Planner) maxConcurrent(now time.Time, t *Target) int {
	var deadlines []time.Time
	inUse := 0
	for i := range t.Engines {
		if t.Engines[i].Evacuated {
			continue
		}
		inUse++
		if t.Engines[i].Version < t.Version {
			deadlines = append(deadlines, t.Engines[i].Deadline)
		}
	}
	slices.SortFunc(deadlines, time.Time.Compare)
	needed := 0
	for i, deadline := range deadlines {
		plannedTime := time.Duration(plannedTimeShare * float64(deadline.Sub(now)))
		atOnce := math.Ceil(float64(i+1) * p.loadTime.Seconds() / max(plannedTime, p.loadTime).Seconds())
		needed = max(needed, int(atOnce))
	}
	base := int(math.Ceil(float64(inUse) * baseLoadShare))
	return max(1, base, min(needed, int(maxLoadShare*float64(inUse))))
}

// countEnding returns how many loads of engines in use are expected to end within drainLead.
func (p *Planner) countEnding(now time.Time, t *Target) int {
	n := 0
	for _, g := range p.engines {
		loading := g.model == t.Model && !g.evacuated && rolloutChart.Label(g.machine.State()) == labelLoading
		if loading && now.Sub(g.orderedAt) > p.loadTime-drainLead {
			n++
		}
	}
	return n
}

// choose starts the weight change of an engine that has an older version. It reports whether it did.
func (p *Planner) choose(now time.Time, t *Target, e *Engine) bool {
	if e.Version >= t.Version || e.Suspect || e.State == backend.Draining {
		return false
	}
	g := p.engines[e.ID]
	if g == nil {
		g = &progress{machine: rolloutChart.NewMachine()}
		p.engines[e.ID] = g
	}
	if g.machine.State() != stateIdle {
		return false
	}
	p.fire(g, eventChoose, now)
	g.address, g.model, g.version, g.knownVersion, g.reported = e.Address, t.Model, t.Version, e.Version, false
	g.nextCallAt, g.evacuated = now, e.Evacuated
	return true
}

func (p *Planner) fire(g *progress, event chart.Event, now time.Time) {
	before := g.machine.State()
	// A refused event leaves the state unchanged, as a late response should.
	if after, err := g.machine.Fire(event); err == nil && after != before {
		g.stateSince = now
	}
}

// step returns the next call to one engine, or nil, and whether that call makes the engine load.
func (p *Planner) step(now time.Time, g *progress, e *Engine, t *Target, mayLoad bool) (step *Step, loads bool) {
	state := g.machine.State()
	if e.Version >= t.Version && state != stateIdle && state != stateOrdered && !g.callPending {
		p.fire(g, eventSettled, now)
		return nil, false
	}
	if g.callPending || now.Before(g.nextCallAt) {
		return nil, false
	}
	switch state {
	case stateDraining:
		return p.drain(now, g, e, t, mayLoad)
	case stateLoading:
		if now.Sub(g.stateSince) > maxLoadTime {
			p.retry(g, now)
			return nil, false
		}
		return p.requestReport(g, e), false
	case stateWaiting:
		p.fire(g, eventElapse, now)
	}
	return nil, false
}

// drain first requests the engine's report. It orders the load once the engine has no requests in flight or
// has been drained for drainTime.
func (p *Planner) drain(now time.Time, g *progress, e *Engine, t *Target, mayLoad bool) (step *Step, loads bool) {
	if !g.reported {
		return p.requestReport(g, e), false
	}
	if e.Version > g.knownVersion {
		// A load that an earlier leader ordered has ended. Other engines may be due sooner.
		p.fire(g, eventSettled, now)
		return nil, false
	}
	if !mayLoad || e.InFlight > 0 && now.Sub(g.stateSince) < drainTime {
		return nil, false
	}
	g.version = t.Version
	g.orderedAt = now
	p.fire(g, eventOrder, now)
	g.callPending = true
	return &Step{Server: e.ID, Address: e.Address, Evacuated: e.Evacuated, Order: &Order{
		Server: e.ID, Address: e.Address, Model: t.Model, Version: t.Version, Mode: Wait,
		Holder: p.holder, Fence: p.fence, Expected: g.report.AcceptedOrders,
	}}, true
}

func (p *Planner) requestReport(g *progress, e *Engine) *Step {
	g.callPending = true
	return &Step{Server: e.ID, Address: e.Address}
}

func (p *Planner) retry(g *progress, now time.Time) {
	p.fire(g, eventRetry, now)
	g.nextCallAt = now.Add(retryDelay)
}

// RecordOutcome records the outcome of an order. It reports whether the lease must be released because another
// holder has ordered with a higher fence.
func (p *Planner) RecordOutcome(now time.Time, server string, outcome Outcome) (fenced bool) {
	g := p.engines[server]
	if g == nil {
		return outcome == Fenced
	}
	g.callPending = false
	g.nextCallAt = now.Add(reportInterval)
	switch outcome {
	case Accepted, AlreadyLoaded, Unknown:
		p.fire(g, eventAccepted, now)
	default:
		p.retry(g, now)
	}
	return outcome == Fenced
}

// RecordReport records an engine's report, or with ok false that the report failed. It reports whether the engine
// now has the version that it was to load.
func (p *Planner) RecordReport(now time.Time, server string, report backend.Report, ok bool) (done bool) {
	g := p.engines[server]
	if g == nil {
		return false
	}
	g.callPending = false
	g.nextCallAt = now.Add(reportInterval)
	switch {
	case !ok:
		p.retry(g, now)
	case report.Versions[g.model] >= g.version && !report.Loading:
		// Many evacuated engines load at once, which takes longer than the loads of the few engines in use.
		if g.machine.State() == stateLoading && !g.evacuated {
			p.loadTime += time.Duration(loadTimeSmoothing * float64(now.Sub(g.orderedAt)-p.loadTime))
		}
		p.fire(g, eventSettled, now)
		return true
	case g.machine.State() == stateDraining && report.Loading:
		// The engine is still carrying out an order from before this lease.
		g.report, g.reported = report, false
	case g.machine.State() == stateDraining:
		g.report, g.reported = report, true
	case !report.Loading && now.Sub(g.stateSince) > retryDelay:
		// The engine is not loading although it was ordered: the order was lost or a restart undid it.
		p.retry(g, now)
	}
	return false
}

// Excluded returns the sorted ids of the engines that should get no new requests now.
func (p *Planner) Excluded() []string {
	var ids []string
	for id, g := range p.engines {
		if label := rolloutChart.Label(g.machine.State()); label == labelExcluded || label == labelLoading {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
