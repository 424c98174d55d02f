package node

import (
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/rollout"
)

// inspection is what a dump shows about the parts beside the role.
type inspection struct {
	Configuration configurationState `json:"configuration"`
	// Rollout is absent but for agents of model services.
	Rollout *rolloutState `json:"rollout,omitempty"`
}

type configurationState struct {
	Version   uint64             `json:"version"`
	Digest    string             `json:"digest"`
	Confirmed bool               `json:"confirmed"`
	Holder    config.HolderStats `json:"holder"`
	Spread    config.SpreadStats `json:"spread"`
}

type rolloutState struct {
	// HighestFence is the highest fencing number that the gate has seen.
	HighestFence uint64        `json:"highest_fence"`
	Driver       rollout.State `json:"driver"`
}

// inspect returns the state of the parts; r may be nil.
func (c *common) inspect(r *rolloutPart) inspection {
	shown := inspection{Configuration: configurationState{
		Holder: c.configuration.holder.Stats(),
		Spread: c.spread.Stats(),
	}}
	if snapshot := c.configuration.Current(); snapshot != nil {
		shown.Configuration.Version = snapshot.Version
		shown.Configuration.Digest = snapshot.Digest
		shown.Configuration.Confirmed = snapshot.Confirmed
	}
	if r != nil {
		shown.Rollout = &rolloutState{HighestFence: r.server.HighestFence(), Driver: r.driver.State()}
	}
	return shown
}
