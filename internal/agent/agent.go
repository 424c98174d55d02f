// Package agent implements the agent process that runs beside each backend server. An agent owns
// admission and the fair queue, the run table of its incarnation and the fence check before the
// backend server. Entries dispatch attempts to it; cmd/balsam-agent runs it.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/control"
	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metrics"
	"balsamyoke.example/balsamyoke/internal/plain"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// decisionRingCapacity is the number of decisions that the explain ring keeps.
	decisionRingCapacity = 4096
	// tickInterval is how often the control goroutine checks for expired attempts.
	tickInterval = 20 * time.Millisecond
	// engineStateInterval is how often the engine's state, including its weight versions, is read.
	engineStateInterval = 250 * time.Millisecond
	// engineSilenceTimeout is how long an engine may fail to report its state before it counts as lost.
	engineSilenceTimeout = 2 * time.Second
	// gracePollInterval is how often a leaving agent checks whether its runs and exports have ended.
	gracePollInterval = 20 * time.Millisecond
	// flushDelay is how long a leaving agent waits for its last frames to reach their entries.
	flushDelay = 100 * time.Millisecond
)

// Dependencies are the collaborators of an Agent.
type Dependencies struct {
	Configuration config.Source
	Instances     metastore.InstanceList
	Logger        *zap.Logger
	// Register adds further services to the control server.
	Register func(*grpc.Server)
	// Inspect returns the state of the process's other parts for a dump; may be nil.
	Inspect func() any
}

// Agent runs attempts on one backend server.
type Agent struct {
	settings      Settings
	configuration config.Source
	logger        *zap.Logger
	registry      *metrics.Registry
	counters      counters
	decisions     *explain.Ring
	engine        *engine.Client
	plain         *plain.Client
	incarnation   uint64
	loop          *control.Loop
	state         *state
	// cache is nil for agents of plain services, which only serve the directory from directoryTable.
	cache          *cache
	directoryTable *directory.Table
	directory      *directory.Client
	instances      metastore.InstanceList
	server         *transport.Server
	leaving        atomic.Bool
	leaveRequested chan struct{}
	register       func(*grpc.Server)
	// lastInstances is the latest instance list applied to the cache; only readInstances accesses it.
	lastInstances []metastore.Instance
	inspect       func() any
}

// counters are the agent's metrics.
type counters struct {
	dispatched tally.Counter
	accepted   tally.Counter
	refused    tally.Counter
	started    tally.Counter
	finished   tally.Counter
	failed     tally.Counter
	cancelled  tally.Counter
	probes     tally.Counter
	queueWait  tally.Histogram
}

func newCounters(scope tally.Scope) counters {
	return counters{
		dispatched: scope.Counter("dispatched"),
		accepted:   scope.Counter("accepted"),
		refused:    scope.Counter("refused"),
		started:    scope.Counter("started"),
		finished:   scope.Counter("finished"),
		failed:     scope.Counter("failed"),
		cancelled:  scope.Counter("cancelled"),
		probes:     scope.Counter("probes"),
		queueWait:  scope.Histogram("queue_wait", metrics.LatencyBuckets),
	}
}

// New builds an Agent; Run starts it.
func New(s Settings, d Dependencies) *Agent {
	incarnation := process.NewIncarnation()
	a := &Agent{
		settings:       s,
		configuration:  d.Configuration,
		logger:         d.Logger,
		registry:       metrics.NewRegistry("agent"),
		decisions:      explain.NewRing(decisionRingCapacity),
		engine:         engine.New(s.Backend),
		plain:          plain.New(s.Backend),
		incarnation:    incarnation,
		loop:           control.NewLoop(),
		state:          newState(s, incarnation),
		directoryTable: directory.NewTable(0),
		directory:      directory.NewClient(s.FailureDomain),
		instances:      d.Instances,
		leaveRequested: make(chan struct{}, 1),
		register:       d.Register,
		inspect:        d.Inspect,
	}
	a.counters = newCounters(a.registry.Scope)
	return a
}

// Run serves until ctx ends or Leave is called, then waits for runs to finish within the grace period.
// It returns ErrStart when a server cannot be started.
func (a *Agent) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer a.registry.Close()
	go a.loop.Run(background)
	go a.tick(background)
	if a.isModel() {
		a.readEngineState(background)
		go a.watchEngineState(background)
		a.startCache(background)
		defer a.stopCache()
		go a.watchCache(background)
	}
	server, err := transport.Listen(a.settings.Listen, a, a.handleProbe)
	if err != nil {
		return ErrStart.Wrap(err, "cannot start the frame server")
	}
	a.server = server
	defer server.Close()
	controlServer, err := process.ServeControl(a.settings.Control, a.registerControl)
	if err != nil {
		return ErrStart.Wrap(err, "cannot start the control server")
	}
	defer controlServer.Stop()
	metricsServer, err := process.ServeMetrics(a.settings.Metrics, a.registry, func() any { return a.State() })
	if err != nil {
		return ErrStart.Wrap(err, "cannot start the metrics server")
	}
	defer func() { _ = metricsServer.Shutdown() }()
	a.logger.Info("serving", zap.String("listen", a.settings.Listen), zap.Uint64("incarnation", a.incarnation))
	select {
	case <-ctx.Done():
	case <-a.leaveRequested:
	}
	a.stop()
	return nil
}

// stop shuts the agent down gracefully. It refuses new and queued attempts with the outcome NOT_RUN, so
// that their entries can place them elsewhere, and waits for runs until the grace period ends.
func (a *Agent) stop() {
	a.leaving.Store(true)
	a.loop.Call(a.refuseQueued)
	a.logger.Info("leaving")
	deadline := time.Now().Add(a.configuration.Current().Grace(a.settings.GraceSeconds))
	left := a.jobCount()
	for left > 0 && time.Now().Before(deadline) {
		time.Sleep(gracePollInterval)
		left = a.jobCount()
	}
	a.flushCache(deadline)
	time.Sleep(flushDelay)
	a.logger.Info("stopped", zap.Int("cut_off", left))
}

func (a *Agent) jobCount() int {
	count := 0
	a.loop.Call(func() { count = len(a.state.jobs) })
	return count
}

func (a *Agent) registerControl(server *grpc.Server) {
	wire.RegisterAdminServer(server, &process.Admin{
		State:     func() any { return a.State() },
		Decisions: a.decisions,
		Leave:     a.Leave,
	})
	wire.RegisterDirectoryServer(server, directory.NewServer(a.loop, a.directoryTable))
	if a.register != nil {
		a.register(server)
	}
}

// Leave starts a graceful stop.
func (a *Agent) Leave() {
	select {
	case a.leaveRequested <- struct{}{}:
	default:
	}
}

func (a *Agent) isModel() bool { return a.state.isModel }

// tick makes the control goroutine periodically refuse attempts that can no longer meet their deadline.
func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.loop.TryPost(func() { a.onTick(now) })
		}
	}
}

func (a *Agent) onTick(now time.Time) {
	a.state.runTable.Expire(now)
	if a.state.engineLost(now) {
		a.stopIdempotentRuns()
	}
	a.schedule(now)
}

// stopIdempotentRuns ends the idempotent runs on an engine that stopped responding, so that entries
// continue them on other replicas. Runs that may not be repeated wait for the engine.
func (a *Agent) stopIdempotentRuns() {
	for _, j := range a.state.jobs {
		if j.cancel != nil && j.dispatch.GetIdempotent() {
			j.cancel()
		}
	}
}

func (a *Agent) watchEngineState(ctx context.Context) {
	ticker := time.NewTicker(engineStateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.readEngineState(ctx)
		}
	}
}

// readEngineState reads the engine's state. After an error the previous state is kept.
func (a *Agent) readEngineState(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, engineStateInterval)
	defer cancel()
	observed, err := a.engine.State(callCtx)
	if err != nil {
		return
	}
	a.loop.Post(func() { a.state.setEngineState(observed, time.Now()) })
}

func (a *Agent) hello() *wire.Hello {
	hello := &wire.Hello{
		Instance:       a.settings.Instance,
		Incarnation:    a.incarnation,
		FailureDomain:  a.settings.FailureDomain,
		Leaving:        a.leaving.Load(),
		Service:        a.settings.Service,
		ControlAddress: a.settings.Control,
		ConfigVersion:  a.configVersion(),
	}
	return hello
}

func (a *Agent) configVersion() uint64 {
	snapshot := a.configuration.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}
