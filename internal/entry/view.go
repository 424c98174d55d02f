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
	// loadPollInterval is how often load reports are read for policies that use them instead of probes.
	loadPollInterval = 500 * time.Millisecond
	// sameRegionDistanceMS and otherRegionDistanceMS are the assumed round-trip times, in milliseconds, to
	// other failure domains of the same region and to other regions.
	sameRegionDistanceMS  = 3
	otherRegionDistanceMS = 50
)

// rebuild publishes a new snapshot for placements. It must run on the control goroutine.
func (r *replicas) rebuild(now time.Time) {
	members := r.near()
	described := make([]placement.Replica, 0, len(members))
	loads := make(map[string]*placement.Load, len(members))
	for _, m := range members {
		load := r.loads[m.ID]
		if load == nil {
			load = &placement.Load{OwnInFlight: new(atomic.Int64)}
		}
		loads[m.ID] = load
		described = append(described, r.describe(m, *load, now))
	}
	r.loads = loads
	r.snapshot.Store(placement.NewSnapshot(r.identity.Instance, described, 0))
}

// describe returns the description of a member for the placement policies.
func (r *replicas) describe(m membership.Member, load placement.Load, now time.Time) placement.Replica {
	return placement.Replica{
		Instance:       m.ID,
		Address:        m.Address,
		ControlAddress: m.ControlAddress,
		Region:         m.Region,
		FailureDomain:  m.FailureDomain,
		Service:        m.Service,
		Leaving:        !m.Open && !m.Unconfirmed,
		Ejected:        r.ejected(m, now),

		DomainUnhealthy: r.health.DomainCut(m.Service, m.FailureDomain),
		DistanceMS:      r.distanceMS(m.Instance),
		Load:            load,
	}
}

func (r *replicas) distanceMS(instance metastore.Instance) float64 {
	switch {
	case instance.Region != r.identity.Region:
		return otherRegionDistanceMS
	case instance.FailureDomain != r.identity.FailureDomain:
		return sameRegionDistanceMS
	}
	return 0
}

// recordLoadReports records the load reports in probe replies.
func (r *replicas) recordLoadReports(replies []*wire.ProbeReply, now time.Time) {
	for _, reply := range replies {
		if load := r.loads[reply.GetInstance()]; load != nil {
			load.InFlight = reply.GetInFlight()
			load.ReportedAt = now
			load.OwnInFlightAtReport = load.OwnInFlight.Load()
		}
	}
	r.rebuild(now)
}

// needsLoadReports reports whether the policy uses load reports instead of probes.
func (e *Entry) needsLoadReports() bool {
	return e.policy.Name() == placement.PolicyTwoChoices || e.policy.Name() == placement.PolicyLeastInFlight
}

// pollLoads reads the load of all replicas until ctx ends.
func (e *Entry) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			var targets []metastore.Instance
			e.control.Call(func() { targets = e.replicas.usableReplicas() })
			replies := e.prober.probe(ctx, e.links, targets, &wire.Probe{}, probeTimeout)
			e.updateReplicas(func(r *replicas) { r.recordLoadReports(replies, time.Now()) })
		}
	}
}

// usableReplicas returns the replicas of all services to which requests may be sent.
func (r *replicas) usableReplicas() []metastore.Instance {
	var usable []metastore.Instance
	for _, m := range r.near() {
		if m.Open || m.Unconfirmed {
			usable = append(usable, m.Instance)
		}
	}
	return usable
}

// updateDirectoryRing passes the agents that serve the location directory to its client.
func (e *Entry) updateDirectoryRing(instances []metastore.Instance) {
	e.directory.SetRing(directory.NewRing(directory.OwnerCandidates(instances, e.settings.Region)))
}

// trackInFlight counts an attempt at the replica until the returned function is called.
func (p *dispatchTarget) trackInFlight() (done func()) {
	if p.inFlight == nil {
		return func() {}
	}
	p.inFlight.Add(1)
	return func() { p.inFlight.Add(-1) }
}
