// Package gateway is the request path: it reads callers' requests, asks the control state where they go,
// sends them to backend servers and passes the answers on. One goroutine pair serves each connection.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/fleet"
	"balsamyoke.example/balsamyoke/internal/metrics"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// drainIdle is how long after SIGTERM connections are taken and idle ones stay open: the balancer has
	// noticed by then that the instance isn't ready, unless it has no other.
	drainIdle = 2500 * time.Millisecond
	// graceShare is the share of the time to SIGKILL that requests are waited for.
	graceShare = 0.95
	// sweepEvery is how often unused connections to servers are looked through.
	sweepEvery = 2 * time.Second
)

// Gateway is one instance.
type Gateway struct {
	settings Settings
	// grace is the time from SIGTERM to SIGKILL; a reload may change it.
	grace    atomic.Int64
	fleet    *fleet.Fleet
	protocol Protocol
	log      *eventlog.Log
	counters *counters
	registry *metrics.Registry
	pool     *pool
	draining atomic.Bool
	// decisions are the latest ones, for balsamctl.
	decisions *explain.Ring
	// leave asks Run to end.
	leave chan struct{}

	connections sync.WaitGroup
	mu          sync.Mutex
	open        map[*caller]struct{}
}

// New returns a Gateway on the platform.
func New(s Settings, platform fleet.Platform, protocol Protocol, log *eventlog.Log) *Gateway {
	registry := metrics.NewRegistry("balsamyoke_gateway")
	incarnation := process.NewIncarnation()
	g := &Gateway{
		settings:  s,
		protocol:  protocol,
		log:       log,
		registry:  registry,
		counters:  newCounters(registry.Scope),
		pool:      newPool(),
		decisions: explain.NewRing(decisionsKept),
		leave:     make(chan struct{}, 1),
		open:      make(map[*caller]struct{}),
		fleet: fleet.New(fleet.Options{
			Platform:    platform,
			Log:         log,
			Counters:    fleet.NewCounters(registry.Scope),
			Incarnation: incarnation,
			Self: &wire.Peer{
				Instance: s.Instance, BeatAddress: s.Beats, ControlAddress: s.Control, FailureDomain: s.FailureDomain,
			},
			Seeds:         s.Seeds,
			LeaseTTL:      s.lease(),
			WeightsWithin: s.weightsWithin(),
			Budget:        s.budget(),
		}),
	}
	g.grace.Store(int64(s.grace()))
	return g
}

// Reload takes settings that were read again. Those of addresses and names stay as they were.
func (g *Gateway) Reload(s Settings) {
	g.grace.Store(int64(s.grace()))
	g.fleet.SetBudget(s.budget())
	g.fleet.SetWeightsWithin(s.weightsWithin())
	g.log.Info(EventReload, zap.Any("settings", s), zap.String("outcome", "in_force"))
}

// Run serves until ctx ends, and then until the requests under way have been answered or the grace time
// is over.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", g.settings.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "callers' address %s", g.settings.Listen)
	}
	defer listener.Close()
	ready, err := g.serveReady()
	if err != nil {
		return err
	}
	control, err := process.ServeControl(g.settings.Control, g.register)
	if err != nil {
		return err
	}
	defer control.Stop()
	defer g.serveMetrics()()
	defer g.registry.Close()
	defer g.pool.close()
	background, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.fleet.Run(background) }()
	go g.sweep(background)
	go g.accept(listener)
	g.log.Info(EventStart, zap.Any("settings", g.settings))
	select {
	case <-ctx.Done():
	case <-g.leave:
	case err := <-ended:
		stop()
		return err
	}
	g.drain(listener)
	stop()
	err = <-ended
	g.log.Info(EventStop, zap.Int("connections", g.count()))
	_ = ready.Shutdown()
	return err
}

// register adds the calls of other gateways and of balsamctl.
func (g *Gateway) register(s *grpc.Server) {
	g.fleet.Register(s)
	wire.RegisterAdminServer(s, &process.Admin{State: g.fleet.State, Decisions: g.decisions, Leave: func() {
		select {
		case g.leave <- struct{}{}:
		default:
		}
	}})
}

// serveReady tells the balancer whether this instance takes connections.
func (g *Gateway) serveReady() (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp4", g.settings.Ready)
	if err != nil {
		return nil, ErrListen.Wrap(err, "readiness address %s", g.settings.Ready)
	}
	was := false
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != g.protocol.ReadyPath() {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ready := g.fleet.Table() != nil && !g.draining.Load()
		if ready != was {
			was = ready
			g.log.Info(EventReady, zap.Bool("ready", ready))
		}
		if !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// serveMetrics shows metrics and state until the returned function is called. A port that is taken costs
// the metrics, not the service.
func (g *Gateway) serveMetrics() (stop func()) {
	server, err := process.ServeMetrics(g.settings.Metrics, g.registry, g.fleet.State)
	if err != nil {
		g.log.Warn(EventMetricsOff, eventlog.Error(err))
		return func() {}
	}
	return func() { _ = server.Shutdown() }
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.sweep()
		}
	}
}

func (g *Gateway) track(c *caller, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open {
		g.open[c] = struct{}{}
	} else {
		delete(g.open, c)
	}
}

func (g *Gateway) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// drain ends the service without cutting a request off: the balancer is told first, each answer from now
// on is the last on its connection, and once the balancer has had its time no connection is taken any more and
// idle ones close. A balancer without another instance goes on sending connections: taking them until the
// end would leave their requests too little time.
func (g *Gateway) drain(listener net.Listener) {
	began := time.Now()
	g.log.Info(EventDrain, zap.Int("connections", g.count()))
	g.draining.Store(true)
	g.fleet.Leave()
	limit := time.Duration(graceShare * float64(g.grace.Load()))
	time.Sleep(min(drainIdle, limit))
	_ = listener.Close()
	for time.Since(began) < limit {
		g.mu.Lock()
		for c := range g.open {
			c.closeIdle()
		}
		g.mu.Unlock()
		if g.count() == 0 {
			return
		}
		time.Sleep(drainStep)
	}
}

// drainStep is how often draining looks whether the connections have ended.
const drainStep = 50 * time.Millisecond
