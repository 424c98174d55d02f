package node

import (
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/rollout"
)

// inspection is the state of the configuration and the rollout in a dump. The role adds it to its own state.
type inspection struct {
	Configuration configurationState `json:"configuration"`
	// Rollout is set only for agents of model services.
	Rollout *rolloutState `json:"rollout,omitempty"`
}

type configurationState struct {
	Version     uint64                 `json:"version"`
	Digest      string                 `json:"digest"`
	Confirmed   bool                   `json:"confirmed"`
	Holder      config.HolderStats     `json:"holder"`
	Propagation config.PropagatorStats `json:"spread"`
}

type rolloutState struct {
	// HighestFence is the highest fencing token that the fence check has received or read.
	HighestFence uint64        `json:"highest_fence"`
	Driver       rollout.State `json:"driver"`
}

// inspect returns the state of the configuration and of the rollout r, which may be nil.
func (c *common) inspect(r *agentRollout) inspection {
	result := inspection{Configuration: configurationState{
		Holder:      c.configuration.holder.Stats(),
		Propagation: c.propagation.Stats(),
	}}
	if snapshot := c.configuration.Current(); snapshot != nil {
		result.Configuration.Version = snapshot.Version
		result.Configuration.Digest = snapshot.Digest
		result.Configuration.Confirmed = snapshot.Confirmed
	}
	if r != nil {
		result.Rollout = &rolloutState{HighestFence: r.server.HighestFence(), Driver: r.driver.State()}
	}
	return result
}
