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
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/peers"
	"balsamyoke.example/balsamyoke/internal/weights"
)

const (
	// leaderKey is the key of the leader lease.
	leaderKey = ownPrefix + "leader"
	// leaseMargin is the share of the lease that the holder's own clock takes off.
	leaseMargin = 0.2
	// renewals is how often the lease is renewed in its life.
	renewals = 4
	// leadEvery is how often the leader looks for what to do.
	leadEvery = 100 * time.Millisecond
	// campaignEvery is the pause between two tries at the lease, drawn between half and all of it.
	campaignEvery = 600 * time.Millisecond
	// leaderHeard is how long the beat of a leader keeps others from trying.
	leaderHeard = 1500 * time.Millisecond
	// stepTimeout bounds a report or an order.
	stepTimeout = time.Second
	// freeAfter is how long after every gateway knows that parts have retired they are freed: fetches that
	// were planned before have ended, or were thrown away.
	freeAfter = kvcache.FetchFor + 300*time.Millisecond
	// freeEvery is the least time between two rounds of freeing.
	freeEvery = 500 * time.Millisecond
	// deafAfter is how long a gateway that this one doesn't hear is waited for. It has no right to fetch
	// by then unless it hears other gateways, which pass the retired shares on.
	deafAfter = kvcache.RightsFor + 2*time.Second
)

// leadership is what the leader keeps; the control goroutine owns it.
type leadership struct {
	// fence is the fencing number of the lease; 0 when this gateway isn't the leader.
	fence    int64
	planner  *weights.Planner
	withheld []string
	// known are the retired shares that all gateways know, and ripe those whose parts may be freed.
	known   map[kvcache.Generation]knownShare
	ripe    map[kvcache.Generation]int
	freedAt time.Time
	// persisted are the weight versions whose naming is in the metadata store.
	persisted map[string]int64
}

// knownShare is a retired share that all gateways have known since a moment.
type knownShare struct {
	share int
	since time.Time
}

// leadRun campaigns for the leader lease and does the leader's duties while it holds it. In large
// deployments only gateways that read for others campaign.
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
		if ctx.Err() != nil || f.leaving.Load() || !f.currentRole().reads || f.leaderLives() {
			continue
		}
		f.Counters.StoreCalls.Inc(1)
		holding, err := lessor.Acquire(ctx)
		if err != nil {
			if !errorx.IsOfType(err, lease.ErrHeld) {
				f.Counters.StoreFailures.Inc(1)
				sleep(ctx, campaignEvery)
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
	ordersFrom := f.ordersFrom()
	f.loop.Call(func() {
		f.lead = leadership{
			fence:   int64(holding.Fence),
			planner: weights.NewPlanner(f.Self.GetInstance(), int64(holding.Fence)),
			known:   make(map[kvcache.Generation]knownShare),
			ripe:    make(map[kvcache.Generation]int),

			persisted: make(map[string]int64),
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
	f.Log.Info(EventLeaseLost, zap.Uint64("fence", holding.Fence), eventlog.Error(err), zap.Bool("leaving", f.leaving.Load()))
	if err == nil {
		lessor.Release(context.WithoutCancel(ctx), holding)
	}
}

// ordersFrom returns when this leader may give its first order. One that was heard as the leader lately has
// released its lease: its last orders are kept a lease apart from this one's or, if it is stopping and won't
// lead again, the time that they may be under way. One that fell silent has not ordered since its lease ended.
func (f *Fleet) ordersFrom() (from time.Time) {
	f.loop.Call(func() {
		for _, member := range f.members.Live(bootclock.Now()) {
			apart := f.LeaseTTL
			if member.Leaving {
				apart = stepTimeout
			}
			if !member.LedAt.IsZero() && member.LedAt.Add(apart).After(from) {
				from = member.LedAt.Add(apart)
			}
		}
	})
	return from
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
	f.persistNamings(ctx)
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
	for _, n := range f.dispatcher.Named() {
		t := weights.Target{Model: n.Model, Version: n.Version, Until: n.At.Add(f.WeightsWithin)}
		for _, e := range f.dispatcher.Engines(n.Model, now) {
			t.Engines = append(t.Engines, weights.Engine(e))
		}
		targets = append(targets, t)
	}
	return targets
}

// retire marks parts of earlier weight versions in step with the engines that have left them.
func (f *Fleet) retire(now time.Time) {
	for _, n := range f.dispatcher.Named() {
		model, version := n.Model, n.Version
		engines := f.dispatcher.Engines(model, now)
		moved := 0
		holds := make(map[int64]bool)
		for _, e := range engines {
			holds[e.Version] = true
			if e.Version >= version {
				moved++
			}
		}
		for g := range f.catalogue.Generations(model) {
			switch {
			case g.Version >= version || len(engines) == 0:
			case !holds[g.Version]:
				f.catalogue.Retire(g, kvcache.WholeShare)
			default:
				f.catalogue.Retire(g, kvcache.WholeShare*moved/len(engines))
			}
		}
	}
}

// stale returns the cached parts that may be freed now.
func (f *Fleet) stale(now time.Time) []kvcache.Held {
	f.retire(now)
	if now.Sub(f.lead.freedAt) < freeEvery {
		return nil
	}
	f.lead.freedAt = now
	for g, share := range f.catalogue.Retired() {
		for _, member := range f.members.Within(now, deafAfter) {
			share = min(share, retiredAt(member, g))
		}
		known := f.lead.known[g]
		if known.share > 0 && now.Sub(known.since) >= freeAfter {
			f.lead.ripe[g] = known.share
		}
		if share > known.share && (known.share == 0 || f.lead.ripe[g] == known.share) {
			f.lead.known[g] = knownShare{share: share, since: now}
		}
	}
	return f.catalogue.Freeable(f.lead.ripe)
}

// retiredAt returns the retired share of a generation that another gateway knows.
func retiredAt(member *peers.Member, g kvcache.Generation) int {
	for _, r := range member.Retired {
		if r.GetModel() == g.Model && r.GetVersion() == g.Version {
			return int(r.GetThousandths())
		}
	}
	return 0
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
		zap.Int64("expected", step.Order.Expected), zap.String("outcome", outcome.String()), eventlog.Error(err))
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
		f.Log.Warn(EventReportFailed, zap.String("server", step.Server), eventlog.Error(err))
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
