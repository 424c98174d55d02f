package entry

import (
	"context"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// loadsInterval is how often policies that rest on load reports read them.
	loadsInterval = 500 * time.Millisecond
	// sameRegionMS and otherRegionMS are round trips to other failure domains, in milliseconds.
	sameRegionMS  = 3
	otherRegionMS = 50
)

// rebuild publishes a new snapshot for placements. The caller holds r.mu.
func (r *replicas) rebuild(now time.Time) {
	members := r.near()
	known := make([]placement.Replica, 0, len(members))
	live := make(map[string]*placement.Load, len(members))
	for _, m := range members {
		load := r.loads[m.ID]
		if load == nil {
			load = &placement.Load{Sent: new(atomic.Int64)}
		}
		live[m.ID] = load
		known = append(known, r.replica(m, *load, now))
	}
	r.loads = live
	r.snapshot.Store(placement.NewSnapshot(r.identity.Instance, known, 0))
}

// replica describes an instance to the placement policies.
func (r *replicas) replica(m membership.Member, load placement.Load, now time.Time) placement.Replica {
	return placement.Replica{
		Instance:       m.ID,
		Address:        m.Address,
		ControlAddress: m.ControlAddress,
		Region:         m.Region,
		FailureDomain:  m.FailureDomain,
		Service:        m.Service,
		Leaving:        !m.Open && !m.Doubtful,
		Ejected:        r.ejected(m, now),

		DomainUnhealthy: r.health.DomainCut(m.Service, m.FailureDomain),
		DistanceMS:      r.distanceMS(m.Instance),
		Load:            load,
	}
}

func (r *replicas) distanceMS(instance metastore.Instance) float64 {
	switch {
	case instance.Region != r.identity.Region:
		return otherRegionMS
	case instance.FailureDomain != r.identity.FailureDomain:
		return sameRegionMS
	}
	return 0
}

// reported takes load reports.
func (r *replicas) reported(replies []*wire.ProbeReply, now time.Time) {
	for _, reply := range replies {
		if load := r.loads[reply.GetInstance()]; load != nil {
			load.InFlight = reply.GetInFlight()
			load.ReportedAt = now
			load.SentAtReport = load.Sent.Load()
		}
	}
	r.rebuild(now)
}

// needsLoads says whether the policy rests on load reports instead of probes.
func (e *Entry) needsLoads() bool {
	return e.policy.Name() == placement.PolicyTwoChoices || e.policy.Name() == placement.PolicyLeastInFlight
}

// pollLoads reads the load of all replicas until ctx ends.
func (e *Entry) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(loadsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			var targets []metastore.Instance
			e.control.Call(func() { targets = e.replicas.all() })
			replies := e.prober.ask(ctx, e.links, targets, &wire.Probe{}, probeTimeout)
			e.learn(func(r *replicas) { r.reported(replies, time.Now()) })
		}
	}
}

// all returns the replicas of all services that may be asked.
func (r *replicas) all() []metastore.Instance {
	var all []metastore.Instance
	for _, m := range r.near() {
		if m.Open || m.Doubtful {
			all = append(all, m.Instance)
		}
	}
	return all
}

// useHomes takes the homes of the location directory from the instance list.
func (e *Entry) useHomes(instances []metastore.Instance) {
	e.directory.SetRing(directory.NewRing(directory.Homes(instances, e.settings.Region)))
}

// count counts an attempt at the replica until the returned function is called.
func (p *placed) count() (done func()) {
	if p.sent == nil {
		return func() {}
	}
	p.sent.Add(1)
	return func() { p.sent.Add(-1) }
}
