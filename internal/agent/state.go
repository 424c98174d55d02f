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

// state is the control state of an agent. Only the control goroutine accesses it.
type state struct {
	isModel           bool
	runTable          *runtable.Table
	queue             *admission.Queue
	jobs              map[attempt.ID]*job
	conns             map[*transport.Conn]struct{}
	engineState       engine.State
	engineReadAt      time.Time
	lastReservationID admission.ReservationID
	prefills          *prefillQueue
}

// job is one attempt that is queued or running.
type job struct {
	id       attempt.ID
	dispatch *wire.Dispatch
	// conn is the connection that dispatched the job.
	conn *transport.Conn
	// watchers receive the job's frames; only the control goroutine accesses them.
	watchers []*transport.Conn
	admitted time.Time
	started  time.Time
	// prompt and fetch are set for model requests with at least one complete piece.
	prompt transfer.Prompt
	fetch  *transfer.Fetch
	// cancel stops the run; nil while the job is queued.
	cancel context.CancelFunc
}

func newState(s Settings, incarnation uint64) *state {
	return &state{
		isModel:  s.ServiceType == manifest.ServiceModel,
		runTable: runtable.New(runtable.DefaultSettings(incarnation)),
		queue:    admission.New(admission.DefaultConfig(s.Slots)),
		jobs:     make(map[attempt.ID]*job),
		conns:    make(map[*transport.Conn]struct{}),
		prefills: newPrefillQueue(),
	}
}

// setEngineState records the state that the engine reported.
func (s *state) setEngineState(engineState engine.State, now time.Time) {
	s.engineState = engineState
	s.engineReadAt = now
}

// engineLost reports whether the model engine has not reported its state for engineSilenceTimeout.
func (s *state) engineLost(now time.Time) bool {
	return s.isModel && now.Sub(s.engineReadAt) > engineSilenceTimeout
}

// mayRun reports whether the engine can run a weight version. A new run needs the version that the
// engine serves; a continuation may use any version that the engine still has loaded.
func (s *state) mayRun(version string, isContinuation bool) bool {
	if !s.isModel || version == s.engineState.Serving {
		return true
	}
	return isContinuation && slices.Contains(s.engineState.WeightVersions, version)
}

func (s *state) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(s.engineState.Adapters, adapter)
}

// State is the agent's state as a dump shows it.
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
	// EngineAgeMS is the age of the engine's last reported state.
	EngineAgeMS int64      `json:"engine_age_ms"`
	Jobs        []JobState `json:"jobs"`
	// Cache is absent for agents of plain services.
	Cache *CacheState `json:"cache,omitempty"`
	// Node shows the process's other parts, such as configuration and rollout.
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

// State returns the agent's complete state.
func (a *Agent) State() State {
	dump := State{
		Instance:      a.settings.Instance,
		FailureDomain: a.settings.FailureDomain,
		Service:       a.settings.Service,
		Incarnation:   a.incarnation,
		Leaving:       a.leaving.Load(),
		ConfigVersion: a.configVersion(),
		Control:       traffic.Control.Totals(),
	}
	if a.inspect != nil {
		dump.Node = a.inspect()
	}
	a.loop.Call(func() {
		a.state.fillDump(&dump, time.Now())
		dump.Cache = a.cacheState(time.Now())
	})
	return dump
}

func (s *state) fillDump(dump *State, now time.Time) {
	dump.Queued = s.queue.Len()
	dump.Running = s.queue.Running()
	dump.Table = s.runTable.Counts()
	dump.WeightVersions = s.engineState.WeightVersions
	dump.LoadingVersion = s.engineState.Loading
	dump.EngineAgeMS = now.Sub(s.engineReadAt).Milliseconds()
	dump.Jobs = []JobState{}
	for id, j := range s.jobs {
		dump.Jobs = append(dump.Jobs, JobState{
			Attempt:      id.String(),
			Organisation: j.dispatch.GetOrganisation(),
			Kind:         j.dispatch.GetKind(),
			Running:      j.cancel != nil,
			AgeMS:        now.Sub(j.admitted).Milliseconds(),
		})
	}
}
