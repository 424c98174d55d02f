package rollout

import (
	"maps"
	"slices"
	"time"
)

// ReplicaReport is the part of a dump about one replica.
type ReplicaReport struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	WeightVersion string `json:"weight_version"`
	Loading       string `json:"loading,omitempty"`
	StateAgeMS    int64  `json:"state_age_ms"`
}

// Report summarises a rollout.
type Report struct {
	Service       string `json:"service"`
	WeightVersion string `json:"weight_version"`
	// Serving is the number of replicas that serve the target version.
	Serving int `json:"serving"`
	// Loading is the number of replicas that count against the bound on concurrent loads.
	Loading            int             `json:"loading"`
	MaxConcurrentLoads int             `json:"max_concurrent_loads"`
	Replicas           []ReplicaReport `json:"replicas"`
}

// Report returns the state of the rollout.
func (p *Planner) Report(now time.Time) Report {
	report := Report{
		Service:            p.target.Service,
		WeightVersion:      p.target.WeightVersion,
		Loading:            p.countLoading(),
		MaxConcurrentLoads: p.target.MaxConcurrentLoads,
		Replicas:           []ReplicaReport{},
	}
	for _, instance := range slices.Sorted(maps.Keys(p.replicas)) {
		r := p.replicas[instance]
		if r.machine.State() == stateSettled && r.observed.WeightVersion == p.target.WeightVersion {
			report.Serving++
		}
		report.Replicas = append(report.Replicas, ReplicaReport{
			Instance:      instance,
			FailureDomain: r.member.FailureDomain,
			State:         replicaChart.StateName(r.machine.State()),
			WeightVersion: r.observed.WeightVersion,
			Loading:       r.observed.Loading,
			StateAgeMS:    now.Sub(r.stateSince).Milliseconds(),
		})
	}
	return report
}
