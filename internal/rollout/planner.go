package rollout

import (
	"slices"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
)

const (
	// refusalPause is the time before a replica that refused an order, or whose load failed, is
	// ordered again.
	refusalPause = 2 * time.Second
	// stuckFactor times the longest load is how long a load that a replica reports may go on.
	stuckFactor = 4
)

// Target is what the manifest wants of a service.
type Target struct {
	Service       string
	WeightVersion string
	Adapters      []string
	// Replicas is the desired number of replicas that serve WeightVersion; 0 means all.
	Replicas           int
	MaxConcurrentLoads int
}

// Member is one replica in the instance list, reached through its agent.
type Member struct {
	Instance       string
	ControlAddress string // ip:port of the agent
	FailureDomain  string
}

// Observation is what an agent reports about its replica.
type Observation struct {
	Instance      string
	Incarnation   uint64
	WeightVersion string
	// Loading is the version that loads; empty when nothing loads.
	Loading string
	// LoadAge is how long the load has gone on.
	LoadAge      time.Duration
	Adapters     []string
	Leaving      bool
	HighestFence uint64
}

// Load is an order that the planner wants sent.
type Load struct {
	Instance string
	// WeightVersion to load; empty when Adapter is set.
	WeightVersion string
	Adapter       string
}

// replica is what the planner knows about one member.
type replica struct {
	member   Member
	machine  chart.Machine
	observed Observation
	// since is when the replica entered its state.
	since time.Time
	// notBefore is when it may be ordered again after a refusal.
	notBefore time.Time
	// gone says that the member left the instance list.
	gone bool
}

// Planner decides which replicas load next. It belongs to one holding of the lease; a new holder
// starts with a new Planner, in which every replica is unknown. It is not safe for concurrent use.
//
// Invariant: Next returns no load while MaxConcurrentLoads replicas are in a state that counts as
// loading. A replica leaves such a state only when it was observed without a load after every
// order to it was answered, or when a load that began at the last possible time must have ended.
type Planner struct {
	longestLoad time.Duration
	target      Target
	replicas    map[string]*replica
}

// NewPlanner returns a Planner. A load that has gone on for longestLoad without being seen has ended.
func NewPlanner(longestLoad time.Duration) *Planner {
	return &Planner{
		longestLoad: longestLoad,
		replicas:    make(map[string]*replica),
	}
}

// SetTarget changes what is wanted.
func (p *Planner) SetTarget(target Target) { p.target = target }

// SetMembers takes the instance list. A replica that left it counts until its load must have ended.
func (p *Planner) SetMembers(members []Member, now time.Time) {
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.Instance] = true
		if known := p.replicas[member.Instance]; known != nil {
			known.member = member
			known.gone = false
			continue
		}
		p.replicas[member.Instance] = &replica{member: member, machine: replicaChart.NewMachine(), since: now}
	}
	for instance, known := range p.replicas {
		if !listed[instance] {
			known.gone = true
			p.fire(known, eventMiss, now)
		}
	}
}

// Observe takes a report that was asked for after every answered order to the replica.
func (p *Planner) Observe(observation Observation, now time.Time) {
	known := p.replicas[observation.Instance]
	if known == nil {
		return
	}
	known.observed = observation
	if observation.Loading != "" {
		p.fire(known, eventObserveLoading, now)
		return
	}
	failed := known.machine.State() == stateLoading && observation.WeightVersion != p.target.WeightVersion
	if failed {
		known.notBefore = now.Add(refusalPause)
	}
	p.fire(known, eventObserveSettled, now)
}

// Miss notes that a replica did not answer.
func (p *Planner) Miss(instance string, now time.Time) { p.fireAt(instance, eventMiss, now) }

// Ordered notes that an order is sent. It must be called before the order leaves the process.
func (p *Planner) Ordered(instance string, now time.Time) { p.fireAt(instance, eventOrder, now) }

// Accepted notes that a replica took its order.
func (p *Planner) Accepted(instance string, now time.Time) { p.fireAt(instance, eventAccept, now) }

// Refused notes that a replica refused its order and will not carry it out.
func (p *Planner) Refused(instance string, now time.Time) {
	if known := p.replicas[instance]; known != nil {
		known.notBefore = now.Add(refusalPause)
	}
	p.fireAt(instance, eventRefuse, now)
}

func (p *Planner) fireAt(instance string, event chart.Event, now time.Time) {
	if known := p.replicas[instance]; known != nil {
		p.fire(known, event, now)
	}
}

// fire moves a replica. Refused events leave it as it is: the caller's knowledge was out of date.
func (p *Planner) fire(known *replica, event chart.Event, now time.Time) {
	before := known.machine.State()
	after, err := known.machine.Fire(event)
	if err == nil && after != before {
		known.since = now
	}
}

// Next moves on replicas whose load must have ended and returns the loads to order now.
func (p *Planner) Next(now time.Time) []Load {
	p.expire(now)
	room := p.target.MaxConcurrentLoads - p.loading()
	if room <= 0 || p.target.WeightVersion == "" {
		return nil
	}
	candidates := p.candidates(now)
	var loads []Load
	for len(loads) < room && len(candidates) > 0 {
		loads = append(loads, candidates[0])
		candidates = candidates[1:]
	}
	return loads
}

// expire fires load_must_have_ended where it is due and forgets lost replicas that left the list.
func (p *Planner) expire(now time.Time) {
	for instance, known := range p.replicas {
		if now.Sub(known.since) >= p.loadBound(known) {
			p.fire(known, eventLoadMustHaveEnded, now)
		}
		if known.gone && known.machine.State() == stateLost {
			delete(p.replicas, instance)
		}
	}
}

// loadBound returns how long a load may go on in the replica's state.
func (p *Planner) loadBound(known *replica) time.Duration {
	if known.machine.State() == stateLoading {
		return stuckFactor * p.longestLoad
	}
	return p.longestLoad
}

func (p *Planner) loading() int {
	count := 0
	for _, known := range p.replicas {
		if countsAsLoading(known.machine.State()) {
			count++
		}
	}
	return count
}

// candidates returns the loads that are wanted, the most urgent first.
func (p *Planner) candidates(now time.Time) []Load {
	ready := p.ready(now)
	wanted := p.wanted()
	var loads []Load
	for _, known := range ready {
		if known.observed.WeightVersion == p.target.WeightVersion {
			loads = append(loads, p.adapterLoads(known)...)
			continue
		}
		if wanted > 0 {
			wanted--
			loads = append(loads, Load{Instance: known.member.Instance, WeightVersion: p.target.WeightVersion})
		}
	}
	return loads
}

// wanted returns how many more replicas must load the target version.
func (p *Planner) wanted() int {
	desired := p.target.Replicas
	present := 0
	for _, known := range p.replicas {
		if !known.gone {
			present++
		}
	}
	if desired == 0 || desired > present {
		desired = present
	}
	for _, known := range p.replicas {
		if p.servesOrWill(known) {
			desired--
		}
	}
	return desired
}

// servesOrWill tells whether a replica serves the target version or is loading it.
func (p *Planner) servesOrWill(known *replica) bool {
	if known.gone || known.observed.Leaving {
		return false
	}
	switch known.machine.State() {
	case stateSettled:
		return known.observed.WeightVersion == p.target.WeightVersion
	case stateOrdered:
		return true
	case stateLoading:
		return known.observed.Loading == p.target.WeightVersion ||
			known.observed.WeightVersion == p.target.WeightVersion
	}
	return false
}

// ready returns the replicas that may be ordered, in the order of preference: replicas without
// any weights first, then those of the failure domain with the fewest loads.
func (p *Planner) ready(now time.Time) []*replica {
	busy := make(map[string]int)
	var ready []*replica
	for _, known := range p.replicas {
		if countsAsLoading(known.machine.State()) {
			busy[known.member.FailureDomain]++
		}
		if p.mayBeOrdered(known, now) {
			ready = append(ready, known)
		}
	}
	slices.SortFunc(ready, func(a, b *replica) int {
		if empty := compareBool(b.observed.WeightVersion == "", a.observed.WeightVersion == ""); empty != 0 {
			return empty
		}
		if domains := busy[a.member.FailureDomain] - busy[b.member.FailureDomain]; domains != 0 {
			return domains
		}
		return strings.Compare(a.member.Instance, b.member.Instance)
	})
	return ready
}

func (p *Planner) mayBeOrdered(known *replica, now time.Time) bool {
	return known.machine.State() == stateSettled &&
		!known.gone &&
		!known.observed.Leaving &&
		!now.Before(known.notBefore) &&
		p.lacks(known)
}

// lacks tells whether a replica lacks something of the target.
func (p *Planner) lacks(known *replica) bool {
	return known.observed.WeightVersion != p.target.WeightVersion || len(p.adapterLoads(known)) > 0
}

// adapterLoads returns the first adapter of the target that a replica lacks.
func (p *Planner) adapterLoads(known *replica) []Load {
	for _, adapter := range p.target.Adapters {
		if !slices.Contains(known.observed.Adapters, adapter) {
			return []Load{{Instance: known.member.Instance, Adapter: adapter}}
		}
	}
	return nil
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
