package fleet

import (
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// State is a dump of the control state.
type State struct {
	Instance      string `json:"instance"`
	Configuration int64  `json:"configuration"`
	// ConfigurationAgeMS is the time since the configuration was confirmed.
	ConfigurationAgeMS int64 `json:"configuration_age_ms"`
	// FetchLeaseMS is how much longer this gateway may fetch cached parts.
	FetchLeaseMS int64            `json:"fetch_lease_ms"`
	Era          int64            `json:"era"`
	Revisions    map[string]int64 `json:"revisions"`
	Leader       bool             `json:"leader"`
	Fence        int64            `json:"fence"`
	Excluded     []string         `json:"withheld"`
	Peers        []string         `json:"live_peers"`
	Servers      any              `json:"servers"`
	// TargetWeights are the target weight versions and the ages that they have as far as this gateway knows.
	TargetWeights []TargetWeightsState `json:"weights_named"`
	// Shedding is what load shedding decides by at each service; absent where it isn't used.
	Shedding  []dispatch.SheddingState `json:"shedding,omitempty"`
	Stores    []kvcache.StoreState     `json:"stores"`
	HeldParts []HeldPart               `json:"held_parts"`
	// Evacuated are the failure domains whose servers get no requests.
	Evacuated []EvacuationState `json:"evacuated"`
	// RecentCrashes is the number of crashes of servers that count as evidence against parts.
	RecentCrashes int `json:"recent_crashes"`
}

// TargetWeightsState is a target weight version in a dump.
type TargetWeightsState struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
	// EarliestAgeMS is the longest time for which the version may have been set.
	EarliestAgeMS int64 `json:"earliest_age_ms"`
}

// HeldPart is a part in a dump whose requests are kept away from servers.
type HeldPart struct {
	Scope   string `json:"scope"`
	Part    string `json:"part"`
	Crashes int    `json:"crashes"`
	// CrashAgeMS is the time since the latest crash, TrialInMS the time until a request is tried.
	CrashAgeMS int64 `json:"crash_age_ms"`
	TrialInMS  int64 `json:"trial_in_ms"`
}

// State returns the control state as a value that marshals to JSON.
func (f *Fleet) State() State {
	state := State{Instance: f.Self.GetInstance(), ConfigurationAgeMS: f.ConfigurationAge().Milliseconds(), Era: f.era.Load(), Revisions: make(map[string]int64)}
	if table := f.Table(); table != nil {
		state.Configuration = table.Version
	}
	f.loop.Call(func() {
		now := bootclock.Now()
		for _, prefix := range f.prefixes() {
			state.Revisions[prefix] = int64(f.mirror.AsOf(prefix).Revision)
		}
		state.Leader, state.Fence, state.Excluded = f.lead.fence > 0, f.lead.fence, f.lead.excluded
		for _, member := range f.members.Live(now) {
			state.Peers = append(state.Peers, member.GetInstance())
		}
		state.Servers, state.Shedding = f.dispatcher.State(now), f.dispatcher.SheddingStates(now)
		for _, model := range f.dispatcher.Targets().Models() {
			for _, target := range f.dispatcher.Targets().Binding(model, now) {
				state.TargetWeights = append(state.TargetWeights, TargetWeightsState{model, target.Version, now.Sub(target.SetAt).Milliseconds(), now.Sub(target.EarliestSetAt()).Milliseconds()})
			}
		}
		state.FetchLeaseMS = f.catalogue.FetchLease(now).Milliseconds()
		state.Stores = f.catalogue.State(now)
		state.Evacuated = f.evacuationStates(now)
		state.RecentCrashes = f.quarantine.CrashCount()
		for _, hold := range f.quarantine.Holds() {
			state.HeldParts = append(state.HeldParts, HeldPart{
				Scope: hold.Part.Scope, Part: hold.Part.ID, Crashes: hold.Crashes, CrashAgeMS: now.Sub(hold.CrashedAt).Milliseconds(),
				TrialInMS: max(0, hold.Until().Sub(now).Milliseconds()),
			})
		}
	})
	return state
}
