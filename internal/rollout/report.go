package rollout

import (
	"maps"
	"slices"
	"time"
)

// ReplicaReport is what a dump shows about one replica.
type ReplicaReport struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	WeightVersion string `json:"weight_version"`
	Loading       string `json:"loading,omitempty"`
	StateAgeMS    int64  `json:"state_age_ms"`
}

// Report sums up a rollout.
type Report struct {
	Service       string `json:"service"`
	WeightVersion string `json:"weight_version"`
	// Serving counts replicas that serve the target version.
	Serving int `json:"serving"`
	// Loading counts replicas that count against the bound on concurrent loads.
	Loading            int             `json:"loading"`
	MaxConcurrentLoads int             `json:"max_concurrent_loads"`
	Replicas           []ReplicaReport `json:"replicas"`
}

// Report returns the state of the rollout.
func (p *Planner) Report(now time.Time) Report {
	report := Report{
		Service:            p.target.Service,
		WeightVersion:      p.target.WeightVersion,
		Loading:            p.loading(),
		MaxConcurrentLoads: p.target.MaxConcurrentLoads,
		Replicas:           []ReplicaReport{},
	}
	for _, instance := range slices.Sorted(maps.Keys(p.replicas)) {
		known := p.replicas[instance]
		if known.machine.State() == stateSettled && known.observed.WeightVersion == p.target.WeightVersion {
			report.Serving++
		}
		report.Replicas = append(report.Replicas, ReplicaReport{
			Instance:      instance,
			FailureDomain: known.member.FailureDomain,
			State:         replicaChart.StateName(known.machine.State()),
			WeightVersion: known.observed.WeightVersion,
			Loading:       known.observed.Loading,
			StateAgeMS:    now.Sub(known.since).Milliseconds(),
		})
	}
	return report
}
