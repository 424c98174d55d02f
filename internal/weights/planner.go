package weights

import (
	_ "embed"
	"math"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/chart"
)

//go:embed rollout.chart.json
var chartFile []byte

const labelWithheld, labelLoading = "withheld", "loading"

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
	// loadShare is the share of a service's engines that load at once while there is time: each one that is
	// away makes the others slower, and a new one has an empty cache.
	loadShare = 1.0 / 8
	// timeShare is the share of the time left in which the rollout is planned to end: a change of leaders and
	// a few lost orders must fit in the rest; and mostShare the
	// share of the engines that may load at once when that is short.
	timeShare = 0.55
	mostShare = 0.5
	// drainFor is how long an engine that is about to load gets no new requests: the time in which the other
	// gateways hear of it, so that few requests are turned away. What runs there ends while it waits to load.
	drainFor = 100 * time.Millisecond
	// reportEvery is how often a loading engine is asked whether it is done. Loads take one second or more.
	reportEvery = 200 * time.Millisecond
	// drainLead is how long before a load is expected to end the next engine is drained: drainFor and the
	// time of a report.
	drainLead = 200 * time.Millisecond
	// firstLoadTime stands in until a load was seen, and loadLearn is the weight of each one seen.
	firstLoadTime = 1500 * time.Millisecond
	loadLearn     = 0.3
	// retryAfter is how long an engine that could not be asked is left alone.
	retryAfter = time.Second
	// loadLimit is how long an engine may load before it counts as lost: several times the slowest load.
	loadLimit = 8 * time.Second
)

// Engine is what the planner is told of one engine in each step.
type Engine struct {
	backend.Server
	// Version is the believed weight version of the model.
	Version int64
	// InFlight are the requests that all gateways have there.
	InFlight int
	// Suspect engines are left for later.
	Suspect bool
}

// Target is a named weight version of a model and the engines that serve it.
type Target struct {
	Model   string
	Version int64
	// Until is when all engines must have the version.
	Until   time.Time
	Engines []Engine
}

// Step is what the leader carries out: a report that is asked for or an order.
type Step struct {
	Server  string
	Address string
	// Order is nil for a report.
	Order *Order
}

// progress is what the planner remembers of one engine.
type progress struct {
	machine chart.Machine
	address string
	model   string
	version int64
	since   time.Time
	// asked tells that a step for this engine is being carried out.
	asked  bool
	nextAt time.Time
	// orderedAt is when the order was sent.
	orderedAt time.Time
	// report is the latest; valid when reported is set.
	report   backend.Report
	reported bool
}

// Planner decides the steps of the rollout. It is not safe for concurrent use.
type Planner struct {
	holder  string
	fence   int64
	engines map[string]*progress
	// loadTime is how long a load takes from its order, as seen lately.
	loadTime time.Duration
}

// NewPlanner returns a Planner for the holder of a lease.
func NewPlanner(holder string, fence int64) *Planner {
	return &Planner{holder: holder, fence: fence, engines: make(map[string]*progress), loadTime: firstLoadTime}
}

// Next returns the steps to carry out now.
func (p *Planner) Next(now time.Time, targets []Target) []Step {
	var steps []Step
	for i := range targets {
		steps = p.nextOf(steps, now, &targets[i])
	}
	return steps
}

func (p *Planner) nextOf(steps []Step, now time.Time, t *Target) []Step {
	p.forget(t)
	atOnce := p.atOnce(now, t)
	loading := p.count(t, labelLoading)
	withheld := p.count(t, labelWithheld)
	ending := p.countEnding(now, t)
	for i := range candidates(t) {
		e := &t.Engines[i]
		if withheld+loading-ending >= atOnce {
			break
		}
		if p.choose(now, t, e) {
			withheld++
		}
	}
	for i := range t.Engines {
		e := &t.Engines[i]
		if g := p.engines[e.ID]; g != nil && g.model == t.Model {
			step, loads := p.step(now, g, e, t, loading < atOnce)
			if loads {
				loading++
			}
			if step != nil {
				steps = append(steps, *step)
			}
		}
	}
	return steps
}

// candidates sorts the engines so that those with the least work come first.
func candidates(t *Target) []Engine {
	slices.SortStableFunc(t.Engines, func(a, b Engine) int { return a.InFlight - b.InFlight })
	return t.Engines
}

// forget drops engines that have gone.
func (p *Planner) forget(t *Target) {
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

func (p *Planner) count(t *Target, label string) int {
	n := 0
	for _, g := range p.engines {
		if g.model == t.Model && rolloutChart.Label(g.machine.State()) == label {
			n++
		}
	}
	return n
}

// atOnce returns how many engines may load at once: few while there is time, more when it is short.
func (p *Planner) atOnce(now time.Time, t *Target) int {
	few := int(math.Ceil(float64(len(t.Engines)) * loadShare))
	old := 0
	for i := range t.Engines {
		if t.Engines[i].Version < t.Version {
			old++
		}
	}
	left := time.Duration(timeShare * float64(t.Until.Sub(now)))
	needed := math.Ceil(float64(old) * p.loadTime.Seconds() / max(left, p.loadTime).Seconds())
	return max(1, few, min(int(needed), int(mostShare*float64(len(t.Engines)))))
}

// countEnding returns how many loads are expected to end within drainLead.
func (p *Planner) countEnding(now time.Time, t *Target) int {
	n := 0
	for _, g := range p.engines {
		if g.model == t.Model && rolloutChart.Label(g.machine.State()) == labelLoading && now.Sub(g.orderedAt) > p.loadTime-drainLead {
			n++
		}
	}
	return n
}

// choose begins the change of an engine that has older weights.
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
	g.address, g.model, g.version, g.reported = e.Address, t.Model, t.Version, false
	g.nextAt = now
	return true
}

func (p *Planner) fire(g *progress, event chart.Event, now time.Time) {
	before := g.machine.State()
	// A refused event leaves the state as it is, which is what a late answer should do.
	if after, err := g.machine.Fire(event); err == nil && after != before {
		g.since = now
	}
}

// step returns what to do about one engine, and whether that makes it load.
func (p *Planner) step(now time.Time, g *progress, e *Engine, t *Target, mayLoad bool) (step *Step, loads bool) {
	state := g.machine.State()
	if e.Version >= t.Version && state != stateIdle && state != stateOrdered && !g.asked {
		p.fire(g, eventSettled, now)
		return nil, false
	}
	if g.asked || now.Before(g.nextAt) {
		return nil, false
	}
	switch state {
	case stateDraining:
		return p.drain(now, g, e, t, mayLoad)
	case stateLoading:
		if now.Sub(g.since) > loadLimit {
			p.retry(g, now)
			return nil, false
		}
		return p.ask(g, e), false
	case stateWaiting:
		p.fire(g, eventElapse, now)
	}
	return nil, false
}

// drain asks for the report first, then orders once the engine is empty or has had its time.
func (p *Planner) drain(now time.Time, g *progress, e *Engine, t *Target, mayLoad bool) (step *Step, loads bool) {
	if !g.reported {
		return p.ask(g, e), false
	}
	if !mayLoad || e.InFlight > 0 && now.Sub(g.since) < drainFor {
		return nil, false
	}
	g.version = t.Version
	g.orderedAt = now
	p.fire(g, eventOrder, now)
	g.asked = true
	return &Step{Server: e.ID, Address: e.Address, Order: &Order{
		Server: e.ID, Address: e.Address, Model: t.Model, Version: t.Version, Mode: Wait,
		Holder: p.holder, Fence: p.fence, Expected: g.report.Orders,
	}}, true
}

func (p *Planner) ask(g *progress, e *Engine) *Step {
	g.asked = true
	return &Step{Server: e.ID, Address: e.Address}
}

func (p *Planner) retry(g *progress, now time.Time) {
	p.fire(g, eventRetry, now)
	g.nextAt = now.Add(retryAfter)
}

// Ordered takes the outcome of an order. It reports whether the lease must be given up, since another
// holder has ordered with a higher fence.
func (p *Planner) Ordered(now time.Time, server string, outcome Outcome) (fenced bool) {
	g := p.engines[server]
	if g == nil {
		return outcome == Fenced
	}
	g.asked = false
	g.nextAt = now.Add(reportEvery)
	switch outcome {
	case Accepted, Holds, Unknown:
		p.fire(g, eventAccepted, now)
	default:
		p.retry(g, now)
	}
	return outcome == Fenced
}

// Reported takes an engine's report, or that it could not be had. It returns whether the engine now
// has the version that it was to take.
func (p *Planner) Reported(now time.Time, server string, report backend.Report, ok bool) (done bool) {
	g := p.engines[server]
	if g == nil {
		return false
	}
	g.asked = false
	g.nextAt = now.Add(reportEvery)
	switch {
	case !ok:
		p.retry(g, now)
	case report.Versions[g.model] >= g.version && !report.Loading:
		if g.machine.State() == stateLoading {
			p.loadTime += time.Duration(loadLearn * float64(now.Sub(g.orderedAt)-p.loadTime))
		}
		p.fire(g, eventSettled, now)
		return true
	case g.machine.State() == stateDraining && report.Loading:
		// An order from before this lease is still being carried out.
		g.report, g.reported = report, false
	case g.machine.State() == stateDraining:
		g.report, g.reported = report, true
	case !report.Loading && now.Sub(g.since) > retryAfter:
		// The engine isn't loading though it was ordered: the order was lost or undone by a restart.
		p.retry(g, now)
	}
	return false
}

// Withheld returns the engines that should get no new requests now.
func (p *Planner) Withheld() []string {
	var ids []string
	for id, g := range p.engines {
		if label := rolloutChart.Label(g.machine.State()); label == labelWithheld || label == labelLoading {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
