package engineserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
	"balsamyoke.example/balsamyoke/internal/standin/turnstile"
)

// Engine is one running engine.
type Engine struct {
	*httpserver.Server
	settings    Settings
	slots       *turnstile.Semaphore
	prefillSlot *turnstile.Semaphore
	weights     *httpclient.Client

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu            sync.Mutex
	cache         *cache
	state         State
	orders        []Order
	runs          map[*run]context.CancelFunc
	runsByVersion map[string]int // number of runs by weight version
	cancelLoad    context.CancelFunc
	sample        LoadReport
	sampledAt     time.Time
	slowFactor    float64
	frozen        bool
	thawed        chan struct{} // closed unless frozen
}

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	Running              int   `json:"running"`
	Waiting              int   `json:"waiting"`
	PrefillBacklogTokens int   `json:"prefill_backlog_tokens"`
	SampledUnixMS        int64 `json:"sampled_unix_ms"`
}

// Faults are the switches of POST /admin/faults.
type Faults struct {
	// SlowFactor multiplies the duration of all work; 0 and 1 mean full speed.
	SlowFactor float64 `json:"slow_factor"`
	// Freeze pauses all runs and loads; the engine still responds to requests for its state.
	Freeze bool `json:"freeze"`
	// Down refuses new connections and closes the open ones.
	Down bool `json:"down"`
}

// Start starts an engine.
func Start(settings Settings) (*Engine, error) {
	settings = settings.withDefaults()
	e := &Engine{
		settings:      settings,
		slots:         turnstile.New(settings.Slots),
		prefillSlot:   turnstile.New(1),
		cache:         newCache(settings),
		runs:          map[*run]context.CancelFunc{},
		runsByVersion: map[string]int{},
		cancelLoad:    func() {},
		slowFactor:    1,
		thawed:        make(chan struct{}),
	}
	close(e.thawed)
	e.state = State{
		WeightVersions: []string{},
		Serving:        settings.WeightVersion,
		Adapters:       append([]string{}, settings.Adapters...),
		Role:           settings.Role,
	}
	if settings.WeightVersion != "" {
		e.state.WeightVersions = []string{settings.WeightVersion}
	}
	if settings.WeightsAddress != "" {
		e.weights = httpclient.New(settings.WeightsAddress, httpclient.Options{})
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	var err error
	e.Server, err = httpserver.Start(settings.Listen, e.routes().Handle, false)
	if err != nil {
		e.cancel()
	}
	return e, err
}

// Stop cancels all runs and waits until they have ended.
func (e *Engine) Stop() {
	e.Down()
	e.cancel()
	e.Server.Stop()
	e.background.Wait()
	if e.weights != nil {
		e.weights.Close()
	}
}

// SetFaults sets the fault switches. It returns an error when the engine can't listen again.
func (e *Engine) SetFaults(f Faults) error {
	e.mu.Lock()
	e.slowFactor = 1
	if f.SlowFactor > 0 {
		e.slowFactor = f.SlowFactor
	}
	if f.Freeze && !e.frozen {
		e.thawed = make(chan struct{})
	}
	if !f.Freeze && e.frozen {
		close(e.thawed)
	}
	e.frozen = f.Freeze
	e.mu.Unlock()
	if f.Down {
		e.Down()
		return nil
	}
	return e.Up()
}

// admit registers a run. It returns nil when the weight version or adapter of the request is not loaded.
func (e *Engine) admit(id string, request ChatRequest, cancel context.CancelFunc) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := request.WeightVersion
	if version == "" {
		version = e.state.Serving
	}
	if !slices.Contains(e.state.WeightVersions, version) {
		return nil
	}
	if request.Adapter != "" && !slices.Contains(e.state.Adapters, request.Adapter) {
		return nil
	}
	r := &run{id: id, request: request, version: version}
	r.answer = answer.New(answer.Request{
		Messages:      request.Messages,
		WeightVersion: version,
		Adapter:       request.Adapter,
		MaxTokens:     request.MaxTokens,
	})
	r.usage.PromptTokens = answer.PromptTokens(request.Messages)
	r.backlogTokens = r.usage.PromptTokens
	e.runs[r] = cancel
	e.runsByVersion[version]++
	return r
}

// removeRun removes a run that has ended and unloads versions that are no longer used.
func (e *Engine) removeRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, r)
	e.runsByVersion[r.version]--
	if e.runsByVersion[r.version] == 0 {
		delete(e.runsByVersion, r.version)
		e.unloadUnused()
	}
}

// cancelRun cancels the runs of a request and returns their number.
func (e *Engine) cancelRun(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for r, cancel := range e.runs {
		if r.id == id {
			cancel()
			count++
		}
	}
	return count
}

// loadReport returns a report whose age is less than the configured lag.
func (e *Engine) loadReport(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := time.Duration(e.settings.LoadLagMS) * time.Millisecond
	if now.Sub(e.sampledAt) < lag {
		return e.sample
	}
	waiting := e.slots.Waiting() + e.prefillSlot.Waiting()
	backlogTokens := 0
	for r := range e.runs {
		backlogTokens += r.backlogTokens
	}
	e.sample = LoadReport{
		Running:              max(0, len(e.runs)-waiting),
		Waiting:              waiting,
		PrefillBacklogTokens: backlogTokens,
		SampledUnixMS:        now.UnixMilli(),
	}
	e.sampledAt = now
	return e.sample
}
