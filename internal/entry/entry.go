// Package entry implements the gateway's entry role: it serves callers over HTTP behind the platform's
// balancer, places each request on the agent of a backend server, retries where that is allowed and
// assembles response streams. It stores no durable state. cmd/balsam-entry runs it.
package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/control"
	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/limits"
	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metrics"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/retry"
	"balsamyoke.example/balsamyoke/internal/settings"
	"balsamyoke.example/balsamyoke/internal/traffic"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxBodyBytes is the maximum size of a caller's request body.
	maxBodyBytes = 8 << 20
	// readTimeout is the maximum time that a caller may take to send its request.
	readTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle caller connection is closed.
	idleTimeout = 60 * time.Second
	// decisionRingCapacity is the number of decisions that the explain ring keeps.
	decisionRingCapacity = 4096
	// gracePollInterval is how often a stopping entry checks whether its active requests have ended.
	gracePollInterval = 20 * time.Millisecond
)

// Settings are the settings of balsam-entry.
type Settings struct {
	process.Settings

	// PlacementPolicy is the name of a policy of package placement. The empty string selects cost.
	PlacementPolicy string `json:"placement_policy" long:"placement-policy" description:"cost, two-choices, random, round-robin, least-in-flight or rendezvous"`
	// ProbeReservations makes each probe reserve capacity in the agent's predictions for a short time, so
	// that many entries do not choose the same idle replica.
	ProbeReservations bool `json:"probe_reservations" long:"probe-reservations" description:"let probes reserve capacity at the agents for 30 ms"`
	// DrainDelayMS is how long, in milliseconds, an entry keeps serving after its health check starts to
	// fail, so that the balancer stops sending requests before they are refused.
	DrainDelayMS int `json:"drain_delay_ms" long:"drain-delay-ms" description:"milliseconds to keep serving after the health check starts to fail"`
}

// DefaultSettings returns the defaults, which a settings file or flags may override.
func DefaultSettings() Settings {
	return Settings{DrainDelayMS: 2000}
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	return settings.CheckAtLeast("drain_delay_ms", s.DrainDelayMS, 0)
}

// Dependencies are the collaborators of an Entry.
type Dependencies struct {
	Configuration config.Source
	Instances     metastore.InstanceList
	Claims        Claims
	Logger        *zap.Logger
	// Register adds further services to the control server.
	Register func(*grpc.Server)
	// Inspect returns the state that a dump shows of parts outside this role. It may be nil.
	Inspect func() any
}

// Entry serves callers. New builds it and Run runs it.
type Entry struct {
	settings      Settings
	configuration config.Source
	claims        Claims
	logger        *zap.Logger
	registry      *metrics.Registry
	counters      counters
	decisions     *explain.Ring
	router        *frameRouter
	prober        *prober
	links         *links
	replicas      *replicas
	// control runs all accesses to replicas, except loads of its atomic fields.
	control     *control.Loop
	policy      placement.Policy
	directory   *directory.Client
	fetchTime   *pieceFetchTime
	retries     *retries
	limits      *organisationLimits
	incarnation uint64
	leaving     atomic.Bool
	// refusing is set once the drain delay after leaving has passed; new requests are then refused.
	refusing       atomic.Bool
	active         atomic.Int64
	leaveRequested chan struct{}
	register       func(*grpc.Server)
	inspect        func() any
}

// counters are the entry's own metrics.
type counters struct {
	requests       tally.Counter
	refused        tally.Counter
	outcomeUnknown tally.Counter
	completed      tally.Counter
	retries        tally.Counter
	lostAttempts   tally.Counter
	ttft           tally.Histogram
}

// New builds an Entry, which Run starts. It returns ErrStart when the placement policy or the client
// for agents cannot be created.
func New(s Settings, d Dependencies) (*Entry, error) {
	e := &Entry{
		settings:       s,
		configuration:  d.Configuration,
		claims:         d.Claims,
		logger:         d.Logger,
		registry:       metrics.NewRegistry("entry"),
		decisions:      explain.NewRing(decisionRingCapacity),
		router:         newFrameRouter(),
		prober:         newProber(),
		replicas:       newReplicas(s.Identity, d.Instances, d.Logger),
		control:        control.NewLoop(),
		directory:      directory.NewClient(s.FailureDomain),
		fetchTime:      newPieceFetchTime(),
		incarnation:    process.NewIncarnation(),
		leaveRequested: make(chan struct{}, 1),
		register:       d.Register,
		inspect:        d.Inspect,
	}
	e.retries = newRetries(e.incarnation)
	e.limits = newOrganisationLimits(s.Instance, d.Configuration)
	policy, err := placement.New(s.PlacementPolicy, placement.Settings{})
	if err != nil {
		return nil, ErrStart.Wrap(err, "cannot create placement policy")
	}
	e.policy = policy
	e.replicas.onList = e.updateInstances
	e.counters = newCounters(e.registry.Scope)
	agentLinks, err := newLinks(e.router, e.prober, e.newHello, e.recordHello)
	if err != nil {
		return nil, ErrStart.Wrap(err, "cannot create client for agents")
	}
	e.links = agentLinks
	return e, nil
}

func newCounters(scope tally.Scope) counters {
	return counters{
		requests:       scope.Counter("requests"),
		refused:        scope.Counter("refused"),
		outcomeUnknown: scope.Counter("outcome_unknown"),
		completed:      scope.Counter("completed"),
		retries:        scope.Counter("retries"),
		lostAttempts:   scope.Counter("lost_attempts"),
		ttft:           scope.Histogram("time_to_first_token", metrics.LatencyBuckets),
	}
}

// Run serves until ctx ends or Leave is called, then stops gracefully. It returns ErrStart when a server
// cannot be started.
func (e *Entry) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer e.links.close()
	defer e.directory.Close()
	defer e.registry.Close()
	listener, err := net.Listen("tcp4", e.settings.Listen)
	if err != nil {
		return ErrStart.Wrap(err, "cannot listen on %s", e.settings.Listen)
	}
	controlServer, err := process.ServeControl(e.settings.Control, e.registerControl)
	if err != nil {
		return ErrStart.Wrap(err, "cannot start control server")
	}
	defer controlServer.Stop()
	metricsServer, err := process.ServeMetrics(e.settings.Metrics, e.registry, func() any { return e.State() })
	if err != nil {
		return ErrStart.Wrap(err, "cannot start metrics server")
	}
	defer func() { _ = metricsServer.Shutdown() }()
	go e.control.Run(background)
	go e.watchReplicas(background)
	go e.limits.run(background)
	if e.needsLoadReports() {
		go e.pollLoads(background)
	}
	server := e.server()
	go func() { _ = server.Serve(listener) }()
	e.logger.Info("serving", zap.String("listen", e.settings.Listen), zap.Uint64("incarnation", e.incarnation))
	select {
	case <-ctx.Done():
	case <-e.leaveRequested:
	}
	return e.stop(server)
}

// stop shuts the entry down gracefully. During the drain delay /healthz returns 503 while the entry still
// serves. After it, new requests are refused as not run, and active requests may finish until the grace ends.
func (e *Entry) stop(server *fasthttp.Server) error {
	e.leaving.Store(true)
	e.logger.Info("leaving", zap.Int64("active", e.active.Load()))
	time.Sleep(time.Duration(e.settings.DrainDelayMS) * time.Millisecond)
	e.refusing.Store(true)
	deadline := time.Now().Add(e.configuration.Current().Grace(e.settings.GraceSeconds))
	for e.active.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(gracePollInterval)
	}
	cutOff := e.active.Load()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.ShutdownWithContext(shutdownCtx)
	e.logger.Info("stopped", zap.Int64("cut_off", cutOff))
	return nil
}

func (e *Entry) registerControl(server *grpc.Server) {
	wire.RegisterAdminServer(server, &process.Admin{
		State:     func() any { return e.State() },
		Decisions: e.decisions,
		Leave:     e.Leave,
	})
	e.limits.register(server)
	if e.register != nil {
		e.register(server)
	}
}

// Leave starts a graceful stop. It returns at once.
func (e *Entry) Leave() {
	select {
	case e.leaveRequested <- struct{}{}:
	default:
	}
}

func (e *Entry) newHello() *wire.Hello {
	hello := &wire.Hello{
		Instance:       e.settings.Instance,
		Incarnation:    e.incarnation,
		FailureDomain:  e.settings.FailureDomain,
		Leaving:        e.leaving.Load(),
		ControlAddress: e.settings.Control,
	}
	if snapshot := e.configuration.Current(); snapshot != nil {
		hello.ConfigVersion = snapshot.Version
	}
	return hello
}

// updateInstances passes a newly read instance list to the directory client and the limiter.
func (e *Entry) updateInstances(instances []metastore.Instance) {
	e.updateDirectoryRing(instances)
	e.limits.updateEntries(instances)
}

// recordHello records an agent's Hello as the agent's own report.
func (e *Entry) recordHello(_ string, hello *wire.Hello) {
	report := membership.Report{
		Instance:      hello.GetInstance(),
		Incarnation:   hello.GetIncarnation(),
		ConfigVersion: hello.GetConfigVersion(),
		WeightVersion: hello.GetWeightVersion(),
		Leaving:       hello.GetLeaving(),
	}
	e.updateReplicas(func(r *replicas) { r.recordReport(report, time.Now()) })
}

// recordRefusal records that an agent refused because it is leaving. Refusals for other reasons do not
// concern the agent's membership and are ignored.
func (e *Entry) recordRefusal(instance metastore.Instance, refused *wire.Refused) {
	if refused.GetReason() == wire.RefusalReason_REFUSAL_REASON_LEAVING {
		e.updateReplicas(func(r *replicas) { r.recordLeaving(instance.ID, time.Now()) })
	}
}

// State is the entry's state as shown by a dump.
type State struct {
	Instance      string         `json:"instance"`
	FailureDomain string         `json:"failure_domain"`
	Incarnation   uint64         `json:"incarnation"`
	Leaving       bool           `json:"leaving"`
	ConfigVersion uint64         `json:"config_version"`
	Control       traffic.Totals `json:"control_traffic"`
	Active        int64          `json:"active_requests"`
	Attempts      int            `json:"attempts"`
	Replicas      replicasState  `json:"replicas"`
	// Retries holds the retry budgets by service.
	Retries map[string]retry.BudgetState `json:"retries"`
	Limits  limits.State                 `json:"limits"`
	Claims  claim.Stats                  `json:"claims"`
	// Node is the state of parts outside this role, such as the propagation of configurations.
	Node any `json:"node,omitempty"`
}

// State returns the entry's state.
func (e *Entry) State() State {
	state := State{
		Instance:      e.settings.Instance,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   e.incarnation,
		Leaving:       e.leaving.Load(),
		Control:       traffic.Control.Totals(),
		Active:        e.active.Load(),
		Attempts:      e.router.count(),
		Retries:       e.retries.state(),
		Limits:        e.limits.limiter.State(),
	}
	e.control.Call(func() { state.Replicas = e.replicas.state() })
	if snapshot := e.configuration.Current(); snapshot != nil {
		state.ConfigVersion = snapshot.Version
	}
	if e.claims != nil {
		state.Claims = e.claims.Stats()
	}
	if e.inspect != nil {
		state.Node = e.inspect()
	}
	return state
}
