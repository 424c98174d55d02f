package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/weights"
)

const (
	// leaderKey is the key of the leader lease.
	leaderKey = "balsamyoke/leader"
	// leaseMargin is the share of the lease that the holder's own clock takes off.
	leaseMargin = 0.2
	// renewals is how often the lease is renewed in its life.
	renewals = 4
	// leadEvery is how often the leader looks for what to do.
	leadEvery = 100 * time.Millisecond
	// campaignEvery is the pause between two tries at the lease, drawn between half and all of it.
	campaignEvery = 2 * time.Second
	// leaderHeard is how long the beat of a leader keeps others from trying.
	leaderHeard = 2 * time.Second
	// stepTimeout bounds a report or an order.
	stepTimeout = time.Second
	// freeAfter is how long after the last engine has left a weight version its cached parts are freed:
	// by then no gateway sends requests to engines that it believes to have it, and fetches have ended.
	freeAfter = kvcache.FreshFor + kvcache.FetchFor + time.Second
)

// leadership is what the leader keeps; the control goroutine owns it.
type leadership struct {
	// fence is the fencing number of the lease; 0 when this gateway isn't the leader.
	fence    int64
	planner  *weights.Planner
	withheld []string
	// oldestAt is, by model, since when no engine has a version below oldest.
	oldest   map[string]int64
	oldestAt map[string]time.Time
}

// leadRun campaigns for the leader lease and does the leader's duties while it holds it.
func (f *Fleet) leadRun(ctx context.Context) {
	lessor := lease.New(f.Platform.Metastore, lease.Options{
		Key:        leaderKey,
		Owner:      f.Self.GetInstance() + "/" + strconv.FormatUint(f.Incarnation, 16),
		TTL:        f.LeaseTTL,
		Margin:     time.Duration(leaseMargin * float64(f.LeaseTTL)),
		RenewEvery: f.LeaseTTL / renewals,
		Clock:      bootclock.Now,
	})
	for ctx.Err() == nil {
		sleep(ctx, campaignEvery/2+rand.N(campaignEvery/2))
		if ctx.Err() != nil || f.leaving.Load() || f.leaderLives() {
			continue
		}
		f.Counters.StoreCalls.Inc(1)
		holding, err := lessor.Acquire(ctx)
		if err != nil {
			if !errorx.IsOfType(err, lease.ErrHeld) {
				f.Counters.StoreFailures.Inc(1)
			}
			continue
		}
		f.Log.Info(EventLeaseWon, zap.Uint64("fence", holding.Fence))
		f.hold(ctx, lessor, holding)
	}
}

// leaderLives reports whether another gateway's beats tell that it is the leader.
func (f *Fleet) leaderLives() (lives bool) {
	f.loop.Call(func() {
		now := bootclock.Now()
		for _, member := range f.members.Live(now) {
			lives = lives || member.Fence > 0 && now.Sub(member.HeardAt) < leaderHeard
		}
	})
	return lives
}

// hold does the leader's duties until the lease ends.
func (f *Fleet) hold(ctx context.Context, lessor *lease.Lessor, holding lease.Holding) {
	// Another holder may have given orders up to the end of its lease; this one keeps a lease apart.
	ordersFrom := bootclock.Now().Add(f.LeaseTTL)
	f.loop.Call(func() {
		f.lead = leadership{
			fence:    int64(holding.Fence),
			planner:  weights.NewPlanner(f.Self.GetInstance(), int64(holding.Fence)),
			oldest:   make(map[string]int64),
			oldestAt: make(map[string]time.Time),
		}
	})
	var err error
	for ctx.Err() == nil && !f.leaving.Load() {
		if holding, err = lessor.Renew(ctx, holding); err != nil {
			break
		}
		if !bootclock.Now().Before(ordersFrom) {
			f.duties(ctx, holding)
		}
		fenced := false
		f.loop.Call(func() { fenced = f.lead.fence == 0 })
		if fenced {
			break
		}
		sleep(ctx, leadEvery)
	}
	f.loop.Call(func() {
		f.lead = leadership{}
		f.dispatcher.SetWithheld(nil, bootclock.Now())
	})
	f.Log.Info(EventLeaseLost, zap.Uint64("fence", holding.Fence), zap.Error(err), zap.Bool("leaving", f.leaving.Load()))
	if err == nil {
		lessor.Release(context.WithoutCancel(ctx), holding)
	}
}

// duties carries out the planner's next steps and frees what no engine can use.
func (f *Fleet) duties(ctx context.Context, holding lease.Holding) {
	var steps []weights.Step
	var stale []kvcache.Held
	f.loop.Call(func() {
		now := bootclock.Now()
		if f.lead.planner == nil {
			return
		}
		steps = f.lead.planner.Next(now, f.targets(now))
		f.withhold(now)
		stale = f.stale(now)
	})
	for _, step := range steps {
		go f.carryOut(ctx, holding, step)
	}
	if len(stale) > 0 {
		f.free(ctx, stale)
	}
}

// withhold tells the dispatcher and the other gateways which servers get no new requests.
func (f *Fleet) withhold(now time.Time) {
	withheld := f.lead.planner.Withheld()
	f.dispatcher.SetWithheld(withheld, now)
	if slices.Equal(withheld, f.lead.withheld) {
		return
	}
	f.lead.withheld = withheld
	f.beatNow()
}

// targets returns the named weight versions with the engines that serve their models.
func (f *Fleet) targets(now time.Time) []weights.Target {
	var targets []weights.Target
	for model, version := range f.dispatcher.Named() {
		t := weights.Target{Model: model, Version: version}
		for _, e := range f.dispatcher.Engines(model, now) {
			t.Engines = append(t.Engines, weights.Engine(e))
		}
		targets = append(targets, t)
	}
	return targets
}

// stale returns cached parts of weight versions that no engine has any more.
func (f *Fleet) stale(now time.Time) []kvcache.Held {
	var held []kvcache.Held
	for model := range f.dispatcher.Named() {
		oldest := oldestVersion(f.dispatcher.Engines(model, now))
		if oldest == 0 {
			continue
		}
		if oldest != f.lead.oldest[model] {
			f.lead.oldest[model], f.lead.oldestAt[model] = oldest, now
		}
		if now.Sub(f.lead.oldestAt[model]) < freeAfter {
			continue
		}
		held = append(held, f.catalogue.Select(func(key kvcache.Key) bool {
			version, ok := dispatch.VersionOf(key.Salt, model)
			return ok && version < oldest
		})...)
	}
	return held
}

func oldestVersion(engines []dispatch.EngineView) int64 {
	var oldest int64
	for _, e := range engines {
		if oldest == 0 || e.Version < oldest {
			oldest = e.Version
		}
	}
	return oldest
}

// carryOut asks for a report or sends an order, and tells the planner what came of it.
func (f *Fleet) carryOut(ctx context.Context, holding lease.Holding, step weights.Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if step.Order == nil {
		report, err := f.Platform.Engines.Report(ctx, step.Address)
		f.reported(step, report, err)
		return
	}
	outcome := weights.Conflict
	var err error
	// The lease may have ended while this goroutine waited for the processor, or while the machine was suspended.
	if bootclock.Now().Before(holding.Until) {
		f.Counters.Orders.Inc(1)
		outcome, err = f.Platform.Engines.Switch(ctx, *step.Order)
	}
	f.Log.Info(EventOrder, zap.String("server", step.Server), zap.String("model", step.Order.Model),
		zap.Int64("version", step.Order.Version), zap.Int64("fence", step.Order.Fence),
		zap.Int64("expected", step.Order.Expected), zap.String("outcome", outcome.String()), zap.Error(err))
	f.loop.Post(func() {
		if f.lead.planner == nil || f.lead.fence != step.Order.Fence {
			return
		}
		if f.lead.planner.Ordered(bootclock.Now(), step.Server, outcome) {
			f.lead.fence = 0
		}
	})
}

func (f *Fleet) reported(step weights.Step, report backend.Report, err error) {
	if err != nil {
		f.Log.Warn(EventReportFailed, zap.String("server", step.Server), zap.Error(err))
	}
	f.loop.Post(func() {
		if f.lead.planner == nil {
			return
		}
		now := bootclock.Now()
		f.clockTold(report.ClockMS, now)
		done := f.lead.planner.Reported(now, step.Server, report, err == nil)
		for model, version := range report.Versions {
			if !report.Loading {
				f.dispatcher.SetVersion(step.Server, model, version)
			}
			if done {
				f.Counters.engineVersion(step.Server, model, version)
				f.Log.Info(EventEngineReady, zap.String("server", step.Server), zap.String("model", model), zap.Int64("version", version))
			}
		}
		if done {
			f.withhold(now)
			f.beatNow()
		}
	})
}
