// Package gateway implements the request path of a gateway process: it reads callers' requests, obtains a
// placement for each from package fleet, sends them to backend servers and returns the responses. Two
// goroutines serve each connection of a caller. Command balsam-gateway creates and runs one Gateway.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/fleet"
	"balsamyoke.example/balsamyoke/internal/metrics"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// drainDelay is how long after SIGTERM connections are still accepted and idle ones stay open. By then the
	// load balancer has detected that the instance isn't ready and uses another instance, if there is one.
	drainDelay = 2500 * time.Millisecond
	// drainShare bounds drainDelay by a share of the grace time, so that the last requests have time to end.
	drainShare = 1.0 / 3
	// graceShare is the share of the grace time, from SIGTERM to SIGKILL, in which draining waits for requests. Those that remain
	// get an answer in the rest, up to answerShare.
	graceShare  = 0.95
	answerShare = 0.98
	// endShare is the share of the grace time after which Run no longer waits for calls to other processes. The rest, 120 ms of 8 s,
	// is for writing the last log lines, which takes 50 ms, on a busy host.
	endShare = 0.985
	// idleCheckInterval is the time between two expiry passes over the unused connections to servers.
	idleCheckInterval = 2 * time.Second
	// malformedHeaderInterval is the minimum time between two log lines about malformed headers of servers.
	malformedHeaderInterval = 10 * time.Second
)

// Gateway is one gateway instance.
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
	memory   memory
	// ahead is the memory for responses whose callers read slowly.
	ahead    *readAhead
	crashes  *crashDetector
	draining atomic.Bool
	// requests is the context of all requests. endRequests makes them end as at their deadline.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// decisions holds the latest decisions about requests, for balsamctl.
	decisions *explain.Ring
	// leave makes Run drain and return, as the end of its context does.
	leave chan struct{}

	// malformedHeaders limits the log lines about headers of servers that can't be parsed.
	malformedHeaders rate.Sometimes

	mu          sync.Mutex
	callerConns map[*callerConn]struct{}
}

// New returns a Gateway that uses the given platform and protocol. Run starts it.
func New(s Settings, platform fleet.Platform, protocol Protocol, log *eventlog.Log) *Gateway {
	registry := metrics.NewRegistry("balsamyoke_gateway")
	incarnation := process.NewIncarnation()
	g := &Gateway{
		settings:    s,
		protocol:    protocol,
		log:         log,
		registry:    registry,
		counters:    newCounters(registry.Scope),
		pool:        newPool(s.contactTime() - idleMargin),
		memory:      newMemory(s.Memory()),
		decisions:   explain.NewRing(maxDecisions),
		leave:       make(chan struct{}, 1),
		callerConns: make(map[*callerConn]struct{}),

		malformedHeaders: rate.Sometimes{First: 1, Interval: malformedHeaderInterval},
		fleet: fleet.New(fleet.Options{
			Platform:    platform,
			Log:         log,
			Counters:    fleet.NewCounters(registry.Scope),
			Incarnation: incarnation,
			Self: &wire.Peer{
				Instance: s.Instance, BeatAddress: s.Beats, ControlAddress: s.Control, FailureDomain: s.FailureDomain,
			},
			Seeds:           s.Seeds,
			LeaseTTL:        s.lease(),
			ContactTime:     s.contactTime(),
			RenewalInterval: s.renewalInterval(),
			WeightsWithin:   s.weightsWithin(),
			ServerMemory:    int64(s.ServerMemoryMB) * bytesPerMB,
			Budget:          s.budget(),
			Cold:            s.cold(),
		}),
	}
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.ahead = newReadAhead(g.memory.slowCallers, registry.Scope, g.reportCutOff)
	g.crashes = newCrashDetector(g.fleet.RecordCrash, g.pool)
	g.grace.Store(int64(s.grace()))
	return g
}

// Reload applies the grace time, the retry budget, the time limit for weight versions and the bounds for cold servers from s. Addresses
// and names keep the values given to New.
func (g *Gateway) Reload(s Settings) {
	g.grace.Store(int64(s.grace()))
	g.fleet.SetBudget(s.budget())
	g.fleet.SetWeightsWithin(s.weightsWithin())
	g.fleet.SetColdBounds(s.cold())
	g.log.Info(EventReload, zap.Any("settings", s), zap.String("outcome", "in_force"))
}

// Run serves requests until ctx ends, and then drains: it returns when the running requests have been served
// or the grace time is nearly over. It returns ErrListen when an address can't be listened on. Calls to other processes that are still
// pending at the end of the grace time end with the process.
func (g *Gateway) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", g.settings.Listen)
	if err != nil {
		return ErrListen.Wrap(err, "listen for callers on %s", g.settings.Listen)
	}
	defer listener.Close()
	ready, err := g.serveReady()
	if err != nil {
		return err
	}
	control, err := process.ServeControl(g.settings.Control, g.register, fleet.ServerOptions()...)
	if err != nil {
		return err
	}
	stopMetrics := g.serveMetrics()
	closeAll := func() {
		_ = ready.Shutdown()
		g.crashes.wait()
		g.pool.close()
		g.registry.Close()
		stopMetrics()
		control.Stop()
	}
	background, stop := context.WithCancel(context.Background())
	fleetDone := make(chan error, 1)
	go func() { fleetDone <- g.fleet.Run(background) }()
	go g.closeIdleConnections(background)
	go g.accept(listener)
	g.log.Info(EventStart, zap.Any("settings", g.settings))
	select {
	case <-ctx.Done():
	case <-g.leave:
	case err := <-fleetDone:
		stop()
		endWithin(time.Now().Add(time.Duration(g.grace.Load())), closeAll)
		return err
	}
	end := g.drain(listener)
	stop()
	pending := false
	select {
	case err = <-fleetDone:
	case <-time.After(time.Until(end)):
		pending = true
	}
	g.log.Info(EventStop, zap.Int("connections", g.openConnections()), zap.Bool("calls_pending", pending))
	endWithin(end, closeAll)
	return err
}

// endWithin runs f and returns when f has returned, or at the deadline. f then goes on running.
func endWithin(deadline time.Time, f func()) {
	done := make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(deadline)):
	}
}

// register adds the RPC services that other gateways and balsamctl call.
func (g *Gateway) register(s *grpc.Server) {
	g.fleet.Register(s)
	wire.RegisterAdminServer(s, &process.Admin{State: g.state, Decisions: g.decisions, Placement: g.explainPlace, Leave: func() {
		select {
		case g.leave <- struct{}{}:
		default:
		}
	}})
}

// serveReady serves the readiness path, at which the load balancer checks whether this instance accepts
// connections. It returns ErrListen.
func (g *Gateway) serveReady() (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp4", g.settings.Ready)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listen for readiness checks on %s", g.settings.Ready)
	}
	var lastReady atomic.Bool
	server := process.NewQueryServer(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != g.protocol.ReadyPath() {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ready := g.fleet.Table() != nil && !g.draining.Load()
		if lastReady.Swap(ready) != ready {
			g.log.Info(EventReady, zap.Bool("ready", ready))
		}
		if !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// serveMetrics serves metrics and state over HTTP until the returned function is called. When the port is
// taken the gateway runs without metrics, because requests don't depend on them.
func (g *Gateway) serveMetrics() (stop func()) {
	server, err := process.ServeMetrics(g.settings.Metrics, g.registry, g.state)
	if err != nil {
		g.log.Warn(EventMetricsOff, eventlog.Error(err))
		return func() {}
	}
	return func() { _ = server.Shutdown() }
}

func (g *Gateway) closeIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.closeExpired()
		}
	}
}

func (g *Gateway) trackCaller(c *callerConn, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open {
		g.callerConns[c] = struct{}{}
	} else {
		delete(g.callerConns, c)
	}
}

func (g *Gateway) openConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.callerConns)
}

// drain ends the service without interrupting requests. It first reports not ready to the load balancer; from
// now on each response is the last on its connection. After drainDelay it closes the listener and the idle
// connections. A balancer without another instance continues to send connections; accepting them until the end
// of the grace time would leave their requests too little time. Requests that are still running near the end of the
// grace time get the response that they would get at their deadline. It returns the time by which Run must end.
func (g *Gateway) drain(listener net.Listener) (end time.Time) {
	started := time.Now()
	g.log.Info(EventDrain, zap.Int("connections", g.openConnections()))
	g.draining.Store(true)
	g.fleet.Leave()
	grace := time.Duration(g.grace.Load())
	end = started.Add(scale(grace, endShare))
	time.Sleep(min(drainDelay, scale(grace, drainShare)))
	_ = listener.Close()
	if g.awaitCallers(started.Add(scale(grace, graceShare))) {
		return end
	}
	g.log.Warn(EventRequestsEnded, zap.Int("connections", g.openConnections()))
	g.endRequests(context.DeadlineExceeded)
	g.awaitCallers(started.Add(scale(grace, answerShare)))
	return end
}

// awaitCallers closes callers' connections as they become idle. It reports whether all have ended before the deadline.
func (g *Gateway) awaitCallers(deadline time.Time) bool {
	for {
		g.mu.Lock()
		for c := range g.callerConns {
			c.closeWhenIdle()
		}
		g.mu.Unlock()
		if g.openConnections() == 0 {
			return true
		}
		left := time.Until(deadline)
		if left <= 0 {
			return false
		}
		time.Sleep(min(drainPollInterval, left))
	}
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// drainPollInterval is the time between two checks whether all connections have ended.
const drainPollInterval = 50 * time.Millisecond
