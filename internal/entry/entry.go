// Package entry is the role of the thin instances behind the platform's balancer: it serves
// callers over HTTP, places each request on a backend server's agent, retries where that is
// allowed and puts streams together. It keeps nothing that must last. cmd/balsam-entry runs it.
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
	// maxBodyBytes bounds a caller's request body.
	maxBodyBytes = 8 << 20
	// readTimeout bounds how long a caller may take to send its request.
	readTimeout = 10 * time.Second
	// idleTimeout bounds how long an idle caller connection is kept.
	idleTimeout = 60 * time.Second
	// decisionsKept is the capacity of the explain ring.
	decisionsKept = 4096
	// graceStep is how often a leaving entry looks whether its streams have ended.
	graceStep = 20 * time.Millisecond
)

// Settings of balsam-entry.
type Settings struct {
	process.Settings

	// PlacementPolicy is the name of a policy of package placement; empty means cost.
	PlacementPolicy string `json:"placement_policy" long:"placement-policy" description:"cost, two-choices, random, round-robin, least-in-flight or rendezvous"`
	// ProbeReservations makes each probe hold a place in the agent's predictions for a moment, so that
	// many entries don't choose the same idle replica.
	ProbeReservations bool `json:"probe_reservations" long:"probe-reservations" description:"let probes hold a place at the agents for 30 ms"`
	// DrainDelayMS is how long an entry goes on serving after its health check fails, so that the
	// balancer notices before requests are refused.
	DrainDelayMS int `json:"drain_delay_ms" long:"drain-delay-ms" description:"milliseconds that the balancer has to notice a leaving entry"`
}

// DefaultSettings returns the settings that a file or flags override.
func DefaultSettings() Settings {
	return Settings{DrainDelayMS: 2000}
}

// Check returns an error for the first setting that can't be used.
func (s *Settings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	return settings.CheckAtLeast("drain_delay_ms", s.DrainDelayMS, 0)
}

// Dependencies are what an Entry is built from.
type Dependencies struct {
	Configuration config.Source
	Instances     metastore.InstanceList
	Claims        Claims
	Logger        *zap.Logger
	// Register adds further services to the control server.
	Register func(*grpc.Server)
	// Inspect returns what a dump shows about the parts beside the role; may be nil.
	Inspect func() any
}

// Entry serves callers.
type Entry struct {
	settings      Settings
	configuration config.Source
	claims        Claims
	logger        *zap.Logger
	registry      *metrics.Registry
	counters      counters
	decisions     *explain.Ring
	flights       *flights
	prober        *prober
	links         *links
	replicas      *replicas
	// control runs what touches replicas.
	control     *control.Loop
	policy      placement.Policy
	directory   *directory.Client
	fetchTime   *fetchTime
	retries     *retries
	limiting    *limiting
	incarnation uint64
	leaving     atomic.Bool
	// refusing follows leaving once the balancer had time to notice.
	refusing atomic.Bool
	active   atomic.Int64
	leave    chan struct{}
	register func(*grpc.Server)
	inspect  func() any
}

// counters are the entry's metrics.
type counters struct {
	requests     tally.Counter
	refused      tally.Counter
	unknown      tally.Counter
	completed    tally.Counter
	retries      tally.Counter
	lostAttempts tally.Counter
	firstToken   tally.Histogram
}

// New builds an Entry; Run starts it.
func New(s Settings, d Dependencies) (*Entry, error) {
	e := &Entry{
		settings:      s,
		configuration: d.Configuration,
		claims:        d.Claims,
		logger:        d.Logger,
		registry:      metrics.NewRegistry("entry"),
		decisions:     explain.NewRing(decisionsKept),
		flights:       newFlights(),
		prober:        newProber(),
		replicas:      newReplicas(s.Identity, d.Instances, d.Logger),
		control:       control.NewLoop(),
		directory:     directory.NewClient(s.FailureDomain),
		fetchTime:     newFetchTime(),
		incarnation:   process.NewIncarnation(),
		leave:         make(chan struct{}, 1),
		register:      d.Register,
		inspect:       d.Inspect,
	}
	e.retries = newRetries(e.incarnation)
	e.limiting = newLimiting(s.Instance, d.Configuration)
	policy, err := placement.New(s.PlacementPolicy, placement.Settings{})
	if err != nil {
		return nil, ErrStart.Wrap(err, "no placement policy")
	}
	e.policy = policy
	e.replicas.onList = e.listed
	e.counters = newCounters(e.registry.Scope)
	links, err := newLinks(e.flights, e.prober, e.hello, e.greeted)
	if err != nil {
		return nil, ErrStart.Wrap(err, "no client for agents")
	}
	e.links = links
	return e, nil
}

func newCounters(scope tally.Scope) counters {
	return counters{
		requests:     scope.Counter("requests"),
		refused:      scope.Counter("refused"),
		unknown:      scope.Counter("outcome_unknown"),
		completed:    scope.Counter("completed"),
		retries:      scope.Counter("retries"),
		lostAttempts: scope.Counter("lost_attempts"),
		firstToken:   scope.Histogram("time_to_first_token", metrics.LatencyBuckets),
	}
}

// Run serves until ctx ends or a drain is asked for, then lets streams finish within the grace.
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
		return ErrStart.Wrap(err, "no control server")
	}
	defer controlServer.Stop()
	metricsServer, err := process.ServeMetrics(e.settings.Metrics, e.registry, func() any { return e.State() })
	if err != nil {
		return ErrStart.Wrap(err, "no metrics server")
	}
	defer func() { _ = metricsServer.Shutdown() }()
	go e.control.Run(background)
	go e.watchReplicas(background)
	go e.limiting.run(background)
	if e.needsLoads() {
		go e.pollLoads(background)
	}
	server := e.server()
	go func() { _ = server.Serve(listener) }()
	e.logger.Info("serving", zap.String("listen", e.settings.Listen), zap.Uint64("incarnation", e.incarnation))
	select {
	case <-ctx.Done():
	case <-e.leave:
	}
	return e.stop(server)
}

// stop is the graceful shutdown: the balancer sees 503 from /healthz while the entry still serves,
// then new requests are refused as not run, and streams finish until the grace ends.
func (e *Entry) stop(server *fasthttp.Server) error {
	e.leaving.Store(true)
	e.logger.Info("leaving", zap.Int64("active", e.active.Load()))
	time.Sleep(time.Duration(e.settings.DrainDelayMS) * time.Millisecond)
	e.refusing.Store(true)
	deadline := time.Now().Add(e.configuration.Current().Grace(e.settings.GraceSeconds))
	for e.active.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(graceStep)
	}
	left := e.active.Load()
	shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.ShutdownWithContext(shutdown)
	e.logger.Info("stopped", zap.Int64("cut_off", left))
	return nil
}

func (e *Entry) registerControl(server *grpc.Server) {
	wire.RegisterAdminServer(server, &process.Admin{
		State:     func() any { return e.State() },
		Decisions: e.decisions,
		Leave:     e.Leave,
	})
	e.limiting.register(server)
	if e.register != nil {
		e.register(server)
	}
}

// Leave starts a graceful stop.
func (e *Entry) Leave() {
	select {
	case e.leave <- struct{}{}:
	default:
	}
}

func (e *Entry) hello() *wire.Hello {
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

// listed takes the instance list as it was read.
func (e *Entry) listed(instances []metastore.Instance) {
	e.useHomes(instances)
	e.limiting.useEntries(instances)
}

// greeted takes direct evidence about an agent.
func (e *Entry) greeted(_ string, hello *wire.Hello) {
	evidence := membership.Evidence{
		Instance:      hello.GetInstance(),
		Incarnation:   hello.GetIncarnation(),
		ConfigVersion: hello.GetConfigVersion(),
		WeightVersion: hello.GetWeightVersion(),
		Leaving:       hello.GetLeaving(),
	}
	e.learn(func(r *replicas) { r.heard(evidence, time.Now()) })
}

// refusedBy takes a refusal as evidence about an agent.
func (e *Entry) refusedBy(instance metastore.Instance, refused *wire.Refused) {
	if refused.GetReason() == wire.RefusalReason_REFUSAL_REASON_LEAVING {
		e.learn(func(r *replicas) { r.refusedAsLeaving(instance.ID, time.Now()) })
	}
}

// State is what dump shows.
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
	// Retries are the retry budgets by service.
	Retries map[string]retry.BudgetState `json:"retries"`
	Limits  limits.State                 `json:"limits"`
	Claims  claim.Stats                  `json:"claims"`
	// Node shows the parts beside the role, such as the spread of configurations.
	Node any `json:"node,omitempty"`
}

// State returns the entry's whole state.
func (e *Entry) State() State {
	state := State{
		Instance:      e.settings.Instance,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   e.incarnation,
		Leaving:       e.leaving.Load(),
		Control:       traffic.Control.Totals(),
		Active:        e.active.Load(),
		Attempts:      e.flights.count(),
		Retries:       e.retries.state(),
		Limits:        e.limiting.limiter.State(),
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
