package rollout

import (
	"slices"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
)

const (
	// refusalDelay is the time before a replica that refused an order, or whose load failed, is
	// ordered again.
	refusalDelay = 2 * time.Second
	// stuckFactor times the maximum load time is how long a load that a replica reports may run before
	// the replica counts as stuck.
	stuckFactor = 4
)

// Target is the state that the manifest requires of a service.
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
	// Loading is the version being loaded; empty when there is no load.
	Loading string
	// LoadAge is how long the load has been running.
	LoadAge      time.Duration
	Adapters     []string
	Leaving      bool
	HighestFence uint64
}

// Load is a load to be ordered.
type Load struct {
	Instance string
	// WeightVersion is the version to load; empty when Adapter is set.
	WeightVersion string
	Adapter       string
}

// replica is the planner's state of one member.
type replica struct {
	member   Member
	machine  chart.Machine
	observed Observation
	// stateSince is when the replica entered its state.
	stateSince time.Time
	// notBefore is when the replica may be ordered again after a refusal or a failed load.
	notBefore time.Time
	// unlisted is true when the member is no longer in the instance list.
	unlisted bool
}

// Planner decides which replicas load next. It is used for one tenure of a lease holder; a new holder
// starts with a new Planner, in which every replica is unknown. It is not safe for concurrent use.
//
// Invariant: Next returns no load while MaxConcurrentLoads replicas are in a state that counts as
// loading. A replica leaves such a state only when it is observed without a load after the replies to
// all its orders, or when a load that started at the latest possible time must have ended.
type Planner struct {
	maxLoadTime time.Duration
	target      Target
	replicas    map[string]*replica
}

// NewPlanner returns a Planner. A load that is not observed must have ended within maxLoadTime.
func NewPlanner(maxLoadTime time.Duration) *Planner {
	return &Planner{
		maxLoadTime: maxLoadTime,
		replicas:    make(map[string]*replica),
	}
}

// SetTarget sets the target of the rollout.
func (p *Planner) SetTarget(target Target) { p.target = target }

// SetMembers sets the replicas of the instance list. A replica that left the list still counts until its
// load must have ended.
func (p *Planner) SetMembers(members []Member, now time.Time) {
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.Instance] = true
		if r := p.replicas[member.Instance]; r != nil {
			r.member = member
			r.unlisted = false
			continue
		}
		p.replicas[member.Instance] = &replica{member: member, machine: replicaChart.NewMachine(), stateSince: now}
	}
	for instance, r := range p.replicas {
		if !listed[instance] {
			r.unlisted = true
			p.fire(r, eventMiss, now)
		}
	}
}

// Observe records a replica's report. The report must have been requested after the last reply to an order to
// the replica.
func (p *Planner) Observe(observation Observation, now time.Time) {
	r := p.replicas[observation.Instance]
	if r == nil {
		return
	}
	r.observed = observation
	if observation.Loading != "" {
		p.fire(r, eventObserveLoading, now)
		return
	}
	failed := r.machine.State() == stateLoading && observation.WeightVersion != p.target.WeightVersion
	if failed {
		r.notBefore = now.Add(refusalDelay)
	}
	p.fire(r, eventObserveSettled, now)
}

// Miss records that a replica did not reply.
func (p *Planner) Miss(instance string, now time.Time) { p.fireFor(instance, eventMiss, now) }

// Ordered records that an order is sent. It must be called before the order leaves the process.
func (p *Planner) Ordered(instance string, now time.Time) { p.fireFor(instance, eventOrder, now) }

// Accepted records that a replica accepted its order.
func (p *Planner) Accepted(instance string, now time.Time) { p.fireFor(instance, eventAccept, now) }

// Refused records that a replica refused its order and will not carry it out.
func (p *Planner) Refused(instance string, now time.Time) {
	if r := p.replicas[instance]; r != nil {
		r.notBefore = now.Add(refusalDelay)
	}
	p.fireFor(instance, eventRefuse, now)
}

func (p *Planner) fireFor(instance string, event chart.Event, now time.Time) {
	if r := p.replicas[instance]; r != nil {
		p.fire(r, event, now)
	}
}

// fire applies an event to a replica. A refused event leaves the state unchanged because the caller's
// information was outdated.
func (p *Planner) fire(r *replica, event chart.Event, now time.Time) {
	before := r.machine.State()
	after, err := r.machine.Fire(event)
	if err == nil && after != before {
		r.stateSince = now
	}
}

// Next updates replicas whose load must have ended and returns the loads to order now.
func (p *Planner) Next(now time.Time) []Load {
	p.fireElapsed(now)
	slots := p.target.MaxConcurrentLoads - p.countLoading()
	if slots <= 0 || p.target.WeightVersion == "" {
		return nil
	}
	requiredLoads := p.requiredLoads(now)
	var loads []Load
	for len(loads) < slots && len(requiredLoads) > 0 {
		loads = append(loads, requiredLoads[0])
		requiredLoads = requiredLoads[1:]
	}
	return loads
}

// fireElapsed fires load_must_have_ended where it is due and deletes lost replicas that left the list.
func (p *Planner) fireElapsed(now time.Time) {
	for instance, r := range p.replicas {
		if now.Sub(r.stateSince) >= p.maxStateTime(r) {
			p.fire(r, eventLoadMustHaveEnded, now)
		}
		if r.unlisted && r.machine.State() == stateLost {
			delete(p.replicas, instance)
		}
	}
}

// maxStateTime returns how long a load may run in the replica's state.
func (p *Planner) maxStateTime(r *replica) time.Duration {
	if r.machine.State() == stateLoading {
		return stuckFactor * p.maxLoadTime
	}
	return p.maxLoadTime
}

func (p *Planner) countLoading() int {
	count := 0
	for _, r := range p.replicas {
		if countsAsLoading(r.machine.State()) {
			count++
		}
	}
	return count
}

// requiredLoads returns the loads that the target requires, in the order of preference.
func (p *Planner) requiredLoads(now time.Time) []Load {
	orderable := p.orderable(now)
	missingLoads := p.missingLoads()
	var loads []Load
	for _, r := range orderable {
		if r.observed.WeightVersion == p.target.WeightVersion {
			loads = append(loads, p.missingAdapterLoad(r)...)
			continue
		}
		if missingLoads > 0 {
			missingLoads--
			loads = append(loads, Load{Instance: r.member.Instance, WeightVersion: p.target.WeightVersion})
		}
	}
	return loads
}

// missingLoads returns how many more replicas must load the target version.
func (p *Planner) missingLoads() int {
	desired := p.target.Replicas
	present := 0
	for _, r := range p.replicas {
		if !r.unlisted {
			present++
		}
	}
	if desired == 0 || desired > present {
		desired = present
	}
	for _, r := range p.replicas {
		if p.servesOrLoads(r) {
			desired--
		}
	}
	return desired
}

// servesOrLoads reports whether a replica serves the target version or is loading it.
func (p *Planner) servesOrLoads(r *replica) bool {
	if r.unlisted || r.observed.Leaving {
		return false
	}
	switch r.machine.State() {
	case stateSettled:
		return r.observed.WeightVersion == p.target.WeightVersion
	case stateOrdered:
		return true
	case stateLoading:
		return r.observed.Loading == p.target.WeightVersion ||
			r.observed.WeightVersion == p.target.WeightVersion
	}
	return false
}

// orderable returns the replicas that may be ordered, in the order of preference: replicas without
// any weights first, then those of the failure domain with the fewest loads.
func (p *Planner) orderable(now time.Time) []*replica {
	loadsByDomain := make(map[string]int)
	var orderable []*replica
	for _, r := range p.replicas {
		if countsAsLoading(r.machine.State()) {
			loadsByDomain[r.member.FailureDomain]++
		}
		if p.mayBeOrdered(r, now) {
			orderable = append(orderable, r)
		}
	}
	slices.SortFunc(orderable, func(a, b *replica) int {
		if empty := compareBool(b.observed.WeightVersion == "", a.observed.WeightVersion == ""); empty != 0 {
			return empty
		}
		if domains := loadsByDomain[a.member.FailureDomain] - loadsByDomain[b.member.FailureDomain]; domains != 0 {
			return domains
		}
		return strings.Compare(a.member.Instance, b.member.Instance)
	})
	return orderable
}

func (p *Planner) mayBeOrdered(r *replica, now time.Time) bool {
	return r.machine.State() == stateSettled &&
		!r.unlisted &&
		!r.observed.Leaving &&
		!now.Before(r.notBefore) &&
		p.needsLoad(r)
}

// needsLoad reports whether a replica lacks the version or an adapter of the target.
func (p *Planner) needsLoad(r *replica) bool {
	return r.observed.WeightVersion != p.target.WeightVersion || len(p.missingAdapterLoad(r)) > 0
}

// missingAdapterLoad returns a load of the first adapter of the target that a replica lacks, or nil.
func (p *Planner) missingAdapterLoad(r *replica) []Load {
	for _, adapter := range p.target.Adapters {
		if !slices.Contains(r.observed.Adapters, adapter) {
			return []Load{{Instance: r.member.Instance, Adapter: adapter}}
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
