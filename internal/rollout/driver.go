package rollout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// stepInterval is the time between two steps of a holder.
	stepInterval = 100 * time.Millisecond
	// refreshInterval is the time between two updates of the members and of the published state.
	refreshInterval = time.Second
	// campaignInterval is the time between two attempts to become the holder.
	campaignInterval = time.Second
	// maxCandidates is the number of agents of a service that campaign.
	maxCandidates = 3
	// callTimeout bounds one scan or status call to a replica.
	callTimeout = time.Second
	// orderTimeout bounds one order. The agent's fence check may have to read from a slow key-value service.
	orderTimeout = 5 * time.Second
	// DefaultMaxLoadTime is the time within which a load that is not observed must have ended.
	DefaultMaxLoadTime = 15 * time.Second
)

// Options configures a Driver. All fields but Logger and MaxLoadTime are required.
type Options struct {
	Service string
	// Instance and Owner identify this process. Owner is unique for each run of the process.
	Instance string
	Owner    string
	KV       metastore.KV
	Replicas Replicas
	// Members returns the live agents of the service, including this process.
	Members func() []Member
	// Target returns the target of the configuration in force, or false before there is one.
	Target func() (Target, bool)
	Logger *zap.Logger
	// MaxLoadTime is the time within which a load must have ended; 0 means DefaultMaxLoadTime.
	MaxLoadTime time.Duration
}

// State is the part of a dump about a Driver.
type State struct {
	// Holder is true when this process holds the rollout lease.
	Holder bool   `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	// Report is set only at the holder.
	Report *Report `json:"report,omitempty"`
}

// Driver campaigns for the rollout lease of one service and, while it holds it, drives the rollout.
type Driver struct {
	options Options
	lessor  *lease.Lessor
	results chan func(*Session)
	state   atomic.Pointer[State]
	// membersSetAt is when the session's members were last set.
	membersSetAt time.Time
}

// NewDriver returns a Driver that does nothing until Run is called.
func NewDriver(options Options) *Driver {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.MaxLoadTime == 0 {
		options.MaxLoadTime = DefaultMaxLoadTime
	}
	d := &Driver{
		options: options,
		lessor:  NewLessor(options.KV, options.Service, options.Owner),
	}
	d.state.Store(&State{})
	return d
}

// State returns the last published state.
func (d *Driver) State() State { return *d.state.Load() }

// Run campaigns for the lease, and drives the rollout while it holds it, until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if holding, ok := d.campaign(ctx); ok {
			d.drive(ctx, holding)
			d.state.Store(&State{})
		}
		sleep(ctx, campaignInterval)
	}
}

// campaign tries once to become the holder if this process is a candidate.
func (d *Driver) campaign(ctx context.Context) (lease.Holding, bool) {
	if !isCandidate(d.options.Service, d.options.Instance, d.options.Members()) {
		return lease.Holding{}, false
	}
	holding, err := d.lessor.Acquire(ctx)
	if err != nil {
		if !errorx.IsOfType(err, lease.ErrHeld) {
			d.options.Logger.Debug("rollout lease not acquired", zap.Error(err))
		}
		return lease.Holding{}, false
	}
	d.options.Logger.Info("rollout lease acquired", zap.Uint64("fence", holding.Fence))
	return holding, true
}

// isCandidate reports whether an instance ranks among the first maxCandidates agents of its service.
func isCandidate(service, instance string, members []Member) bool {
	key := rendezvous.Hash(Key(service))
	own := rendezvous.Weight(key, rendezvous.Hash(instance))
	ahead := 0
	for _, member := range members {
		if member.Instance != instance && rendezvous.Weight(key, rendezvous.Hash(member.Instance)) > own {
			ahead++
		}
	}
	return ahead < maxCandidates
}

// drive runs the rollout until the lease is lost or ctx ends.
func (d *Driver) drive(ctx context.Context, holding lease.Holding) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	session := NewSession(holding.Fence, d.options.MaxLoadTime, time.Now())
	d.results = make(chan func(*Session))
	d.membersSetAt = time.Time{}
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.lessor.Release(context.WithoutCancel(ctx), holding)
			return
		case apply := <-d.results:
			apply(session)
		case <-ticker.C:
			renewed, err := d.lessor.Renew(ctx, holding)
			if err != nil {
				d.options.Logger.Info("rollout lease lost", zap.Uint64("fence", holding.Fence), zap.Error(err))
				return
			}
			holding = renewed
			d.step(callCtx, session, holding)
		}
	}
}

// step starts the calls that are due. The lease was just valid; if it has been lost since, the replicas'
// fence checks refuse the orders.
func (d *Driver) step(ctx context.Context, session *Session, holding lease.Holding) {
	now := time.Now()
	target, ok := d.options.Target()
	if !ok {
		return
	}
	session.SetTarget(target)
	if now.Sub(d.membersSetAt) >= refreshInterval {
		d.membersSetAt = now
		session.SetMembers(d.options.Members(), now)
		report := session.Report(now)
		d.state.Store(&State{Holder: true, Fence: holding.Fence, Report: &report})
	}
	for _, call := range session.Step(now) {
		go d.call(ctx, call, d.results)
	}
}

// call makes one call and sends its result to the goroutine of drive.
func (d *Driver) call(ctx context.Context, call Call, results chan<- func(*Session)) {
	result := d.perform(ctx, call)
	select {
	case results <- result:
	case <-ctx.Done():
	}
}

func (d *Driver) perform(ctx context.Context, call Call) func(*Session) {
	if call.Kind == CallOrder {
		return d.order(ctx, call)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if call.Kind == CallScan {
		_, err := d.options.Replicas.Order(ctx, call.Member.ControlAddress, d.request(call))
		if err != nil {
			return missed(call)
		}
	}
	status, err := d.options.Replicas.Status(ctx, call.Member.ControlAddress)
	if err != nil || status.GetInstance() != call.Member.Instance {
		return missed(call)
	}
	return func(s *Session) { s.Observed(call, observationOf(status), time.Now()) }
}

func (d *Driver) order(ctx context.Context, call Call) func(*Session) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := d.options.Replicas.Order(ctx, call.Member.ControlAddress, d.request(call))
	switch {
	case err != nil:
		d.logOrder("order received no reply", call, zap.Error(err))
		return func(s *Session) { s.Unanswered(call, time.Now()) }
	case !reply.GetAccepted():
		d.logOrder("order refused", call, zap.String("reason", reply.GetMessage()))
		return func(s *Session) { s.Refused(call, time.Now()) }
	}
	d.logOrder("order accepted", call)
	return func(s *Session) { s.Accepted(call, time.Now()) }
}

func (d *Driver) request(call Call) *wire.OrderRequest {
	return orderRequest(call, d.options.Instance, d.options.Service)
}

func (d *Driver) logOrder(text string, call Call, fields ...zap.Field) {
	d.options.Logger.Info(text, append(fields,
		zap.String("replica", call.Member.Instance),
		zap.Uint64("fence", call.Fence),
		zap.String("weight_version", call.Load.WeightVersion),
		zap.String("adapter", call.Load.Adapter))...)
}

func missed(call Call) func(*Session) {
	return func(s *Session) { s.Missed(call, time.Now()) }
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
