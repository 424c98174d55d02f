package agent

import (
	"context"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/runtable"
	"balsamyoke.example/balsamyoke/internal/traffic"
	"balsamyoke.example/balsamyoke/internal/transfer"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// state is the control state of an agent. Only the control goroutine touches it.
type state struct {
	isModel   bool
	table     *runtable.Table
	queue     *admission.Queue
	jobs      map[attempt.ID]*job
	conns     map[*transport.Conn]struct{}
	observed  engine.State
	readAt    time.Time
	reserveID admission.ReservationID
	prompts   *prompts
}

// job is one attempt that is queued or running.
type job struct {
	id       attempt.ID
	dispatch *wire.Dispatch
	// conn is the connection that dispatched the job.
	conn *transport.Conn
	// watchers receive the job's frames; only the control goroutine touches them.
	watchers []*transport.Conn
	admitted time.Time
	started  time.Time
	// prompt and fetch are set for model requests with at least one whole piece.
	prompt transfer.Prompt
	fetch  *transfer.Fetch
	// cancel stops the run; nil while the job is queued.
	cancel context.CancelFunc
}

func newState(s Settings, incarnation uint64) *state {
	return &state{
		isModel: s.ServiceType == manifest.ServiceModel,
		table:   runtable.New(runtable.DefaultSettings(incarnation)),
		queue:   admission.New(admission.DefaultConfig(s.Slots)),
		jobs:    make(map[attempt.ID]*job),
		conns:   make(map[*transport.Conn]struct{}),
		prompts: newPrompts(),
	}
}

// observe takes what the engine says that it runs.
func (s *state) observe(observed engine.State, now time.Time) {
	s.observed = observed
	s.readAt = now
}

// engineLost says whether the model engine has been silent for too long.
func (s *state) engineLost(now time.Time) bool {
	return s.isModel && now.Sub(s.readAt) > engineSilence
}

// mayRun says whether the engine can run a weight version. A run that begins needs the version that
// the engine serves; one that continues may use a version that the engine keeps for others.
func (s *state) mayRun(version string, continues bool) bool {
	if !s.isModel || version == s.observed.Serving {
		return true
	}
	return continues && slices.Contains(s.observed.WeightVersions, version)
}

func (s *state) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(s.observed.Adapters, adapter)
}

// State is what dump shows.
type State struct {
	Instance       string          `json:"instance"`
	FailureDomain  string          `json:"failure_domain"`
	Service        string          `json:"service"`
	Incarnation    uint64          `json:"incarnation"`
	Leaving        bool            `json:"leaving"`
	ConfigVersion  uint64          `json:"config_version"`
	Control        traffic.Totals  `json:"control_traffic"`
	Queued         int             `json:"queued"`
	Running        int             `json:"running"`
	Table          runtable.Counts `json:"run_table"`
	WeightVersions []string        `json:"weight_versions"`
	LoadingVersion string          `json:"loading_version,omitempty"`
	// EngineAgeMS is how old the engine's state is.
	EngineAgeMS int64      `json:"engine_age_ms"`
	Jobs        []JobState `json:"jobs"`
	// Cache is absent for agents of plain services.
	Cache *CacheState `json:"cache,omitempty"`
	// Node shows the parts beside the role, such as configuration and rollout.
	Node any `json:"node,omitempty"`
}

// JobState is one queued or running attempt.
type JobState struct {
	Attempt      string `json:"attempt"`
	Organisation string `json:"organisation"`
	Kind         string `json:"kind"`
	Running      bool   `json:"running"`
	AgeMS        int64  `json:"age_ms"`
}

// State returns the agent's whole state.
func (a *Agent) State() State {
	shown := State{
		Instance:      a.settings.Instance,
		FailureDomain: a.settings.FailureDomain,
		Service:       a.settings.Service,
		Incarnation:   a.incarnation,
		Leaving:       a.leaving.Load(),
		ConfigVersion: a.configVersion(),
		Control:       traffic.Control.Totals(),
	}
	if a.inspect != nil {
		shown.Node = a.inspect()
	}
	a.loop.Call(func() {
		a.state.show(&shown, time.Now())
		shown.Cache = a.showCache(time.Now())
	})
	return shown
}

func (s *state) show(shown *State, now time.Time) {
	shown.Queued = s.queue.Len()
	shown.Running = s.queue.Running()
	shown.Table = s.table.Counts()
	shown.WeightVersions = s.observed.WeightVersions
	shown.LoadingVersion = s.observed.Loading
	shown.EngineAgeMS = now.Sub(s.readAt).Milliseconds()
	shown.Jobs = []JobState{}
	for id, j := range s.jobs {
		shown.Jobs = append(shown.Jobs, JobState{
			Attempt:      id.String(),
			Organisation: j.dispatch.GetOrganisation(),
			Kind:         j.dispatch.GetKind(),
			Running:      j.cancel != nil,
			AgeMS:        now.Sub(j.admitted).Milliseconds(),
		})
	}
}
