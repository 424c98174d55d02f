package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/weights"
)

const (
	// leaderKey is the key of the leader lease.
	leaderKey = ownPrefix + "leader"
	// leaseMargin is the share of the TTL by which the lease ends earlier on the holder's own clock.
	leaseMargin = 0.2
	// renewalsPerTTL is how many times the lease is renewed in its TTL.
	renewalsPerTTL = 4
	// dutyInterval is the pause between two rounds of the leader's duties.
	dutyInterval = 100 * time.Millisecond
	// campaignInterval is the longest pause between two attempts to acquire the lease. The pause is random, at least
	// half of it.
	campaignInterval = 600 * time.Millisecond
	// leaderBeatTimeout is how long after a heartbeat of the leader other gateways don't campaign.
	leaderBeatTimeout = 1500 * time.Millisecond
	// stepTimeout bounds a report or an order.
	stepTimeout = time.Second
	// freeInterval is the minimum time between two rounds of freeing.
	freeInterval = 500 * time.Millisecond
)

// leadership is the state of the leader. The control goroutine owns it.
type leadership struct {
	// fence is the fencing token of the lease; 0 when this gateway isn't the leader.
	fence int64
	// until is the end of the lease as of its latest renewal.
	until    time.Time
	planner  *weights.Planner
	excluded []string
	// freeing decides which cached parts may be freed, by the leases to fetch that this leader grants.
	freeing *kvcache.Freeing
	freedAt time.Time
	// persisted are the target weight versions that are stored in the metadata store, by model.
	persisted map[string][]weights.TargetVersion
}

// campaign tries to acquire the leader lease and performs the leader's duties while this gateway holds it. In
// large deployments only gateways that read for others campaign.
func (f *Fleet) campaign(ctx context.Context) {
	ownerPrefix := f.Self.GetInstance() + "/"
	lessor := lease.New(f.Platform.Metastore, lease.Options{
		Key:           leaderKey,
		Owner:         ownerPrefix + strconv.FormatUint(f.Incarnation, 16),
		IsEarlierRun:  func(owner string) bool { return strings.HasPrefix(owner, ownerPrefix) },
		TTL:           f.LeaseTTL,
		Margin:        time.Duration(leaseMargin * float64(f.LeaseTTL)),
		RenewInterval: f.LeaseTTL / renewalsPerTTL,
		Clock:         bootclock.Now,
	})
	for ctx.Err() == nil {
		sleep(ctx, campaignInterval/2+rand.N(campaignInterval/2))
		if ctx.Err() != nil || f.leaving.Load() || !f.currentRole().reads || f.otherLeaderLive() {
			continue
		}
		f.Counters.StoreCalls.Inc(1)
		holding, err := lessor.Acquire(ctx)
		if err != nil {
			if !errorx.IsOfType(err, lease.ErrHeld) {
				f.Counters.StoreFailures.Inc(1)
				sleep(ctx, campaignInterval)
			}
			continue
		}
		f.Log.Info(EventLeaseWon, zap.Uint64("fence", holding.Fence))
		f.runAsLeader(ctx, lessor, holding)
	}
}

// otherLeaderLive reports whether a recent heartbeat of another gateway reported that it is the leader.
func (f *Fleet) otherLeaderLive() (live bool) {
	f.loop.Call(func() {
		now := bootclock.Now()
		for _, member := range f.members.Live(now) {
			live = live || member.Fence > 0 && now.Sub(member.LastBeatAt) < leaderBeatTimeout
		}
	})
	return live
}

// runAsLeader performs the leader's duties until the lease ends, an engine rejects its fencing token, or this
// gateway leaves.
func (f *Fleet) runAsLeader(ctx context.Context, lessor *lease.Lessor, holding lease.Holding) {
	freeCtx, stopFreeing := context.WithCancel(ctx)
	defer stopFreeing()
	earliestOrder := f.earliestOrder()
	var handover time.Time
	f.loop.Call(func() {
		if holding.FromEarlierRun {
			f.earlierRunEra = int64(holding.Lease.Era)
		}
		handover = f.handover(bootclock.Now())
		f.latestFence = max(f.latestFence, int64(holding.Fence))
		f.lead = leadership{
			fence:     int64(holding.Fence),
			planner:   weights.NewPlanner(f.Self.GetInstance(), int64(holding.Fence), f.formerLoadTime),
			freeing:   kvcache.NewFreeing(handover, f.catalogue.HasFetchLease(handover)),
			persisted: make(map[string][]weights.TargetVersion),
		}
	})
	f.background.Go(func() { f.listHolders(freeCtx, handover) })
	f.background.Go(func() { f.persistReadings(freeCtx) })
	var err error
	for ctx.Err() == nil && !f.leaving.Load() {
		if holding, err = lessor.Renew(ctx, holding); err != nil || f.hasEnded(holding) {
			break
		}
		f.recordHolding(holding)
		f.persistTargets(ctx)
		if !bootclock.Now().Before(earliestOrder) {
			f.performDuties(ctx, freeCtx, holding)
		}
		fenced := false
		f.loop.Call(func() { fenced = f.lead.fence == 0 })
		if fenced {
			break
		}
		sleep(ctx, dutyInterval)
	}
	f.loop.Call(f.endLeadership)
	f.Log.Info(EventLeaseLost, zap.Uint64("fence", holding.Fence), eventlog.Error(err), zap.Bool("leaving", f.leaving.Load()))
	if err == nil {
		// The next leader may grant leases for all that is in the stores.
		stopFreeing()
		f.awaitFreed()
		lessor.Release(context.WithoutCancel(ctx), holding)
	}
}

// endLeadership ends this gateway's duties as the leader. What it has excluded from new requests expires here as at the other gateways.
func (f *Fleet) endLeadership() {
	f.formerLoadTime = f.lead.planner.LoadTime()
	f.lead = leadership{}
}

// recordHolding records the leader lease as of its latest renewal. While it lasts, this gateway may fetch cached parts.
func (f *Fleet) recordHolding(holding lease.Holding) {
	f.loop.Call(func() {
		now := bootclock.Now()
		f.lead.until = holding.Until
		f.registry.RecordReply(holding.RenewedAt(), now)
		if f.mayGrantFetches(now) {
			f.extendFetchLease(now, f.registeredAt.Load(), f.lead.freeing.ReadFrom())
		}
	})
}

// listHolders reads from the metadata store, after the handover and until ctx ends, which gateways may have leases to fetch. They are
// those that are announced.
func (f *Fleet) listHolders(ctx context.Context, handover time.Time) {
	for sleep(ctx, handover.Sub(bootclock.Now())); ctx.Err() == nil; sleep(ctx, announceRetry) {
		f.Counters.StoreCalls.Inc(1)
		listing, err := f.snapshot(ctx, peerPrefix)
		if err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, eventlog.Error(err))
			continue
		}
		var gateways []string
		for _, record := range listing.Records {
			if name := strings.TrimPrefix(record.Key, peerPrefix); name != f.Self.GetInstance() {
				gateways = append(gateways, name)
			}
		}
		f.loop.Call(func() {
			if f.lead.freeing != nil && ctx.Err() == nil {
				f.lead.freeing.SetHolders(gateways, handover, f.newEraSince())
			}
		})
		return
	}
}

// snapshot lists a prefix of the metadata store.
func (f *Fleet) snapshot(ctx context.Context, prefix string) (metastore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.Platform.Metastore.Snapshot(ctx, prefix)
}

// newEraSince returns since when the era of the metadata store may exist; zero if an earlier run of this gateway held a lease in it, so
// that it hasn't just begun.
func (f *Fleet) newEraSince() time.Time {
	if f.earlierRunEra != 0 && f.earlierRunEra == f.era.Load() {
		return time.Time{}
	}
	return f.eraSince
}

// handover returns the time from which no earlier leader grants leases to fetch or frees parts, if this one's lease begins now. A leader
// does neither after its lease, which may have been lost when the era began without its holder knowing.
func (f *Fleet) handover(now time.Time) time.Time {
	if since := f.newEraSince(); !since.IsZero() {
		return later(now, since.Add(f.LeaseTTL))
	}
	return now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasEnded reports whether a holding has ended with its era of the metadata store, in which another gateway may lead.
func (f *Fleet) hasEnded(holding lease.Holding) bool { return int64(holding.Lease.Era) < f.era.Load() }

// earliestOrder returns the time from which this leader may send orders. A gateway whose recent heartbeats reported it
// as the leader has released its lease. The first order waits for LeaseTTL after that gateway's last heartbeat as the
// leader. If that gateway is stopping and so won't lead again, the wait is stepTimeout, the time for which its last
// orders may be in flight. A former leader that became silent has sent no orders since its lease ended. A lease may
// have been lost when the era began without its holder knowing, so that orders also wait for LeaseTTL after that. An earlier run of this
// gateway may have led until just before this one began.
func (f *Fleet) earliestOrder() (from time.Time) {
	from = f.startedAt.Add(f.LeaseTTL)
	f.loop.Call(func() {
		if !f.eraSince.IsZero() {
			from = later(from, f.eraSince.Add(f.LeaseTTL))
		}
		for _, member := range f.members.Live(bootclock.Now()) {
			gap := f.LeaseTTL
			if member.Leaving {
				gap = stepTimeout
			}
			if !member.LastLeaderBeatAt.IsZero() && member.LastLeaderBeatAt.Add(gap).After(from) {
				from = member.LastLeaderBeatAt.Add(gap)
			}
		}
	})
	return from
}

// performDuties executes the planner's next steps and frees, until freeCtx ends, cached parts that no engine can use.
func (f *Fleet) performDuties(ctx, freeCtx context.Context, holding lease.Holding) {
	var steps []weights.Step
	var freeableParts []kvcache.StoredPart
	f.loop.Call(func() {
		now := bootclock.Now()
		if f.lead.planner == nil {
			return
		}
		steps = f.lead.planner.Next(now, f.targets(now))
		f.excludeServers(now)
		freeableParts = f.freeableParts(now)
	})
	for _, step := range steps {
		go f.executeStep(ctx, holding, step)
	}
	f.startFreeing(freeCtx, holding, freeableParts)
}

// excludeServers updates, in the dispatcher and at the other gateways, which servers get no new requests. A leader that has heard of a
// later one, as after a freeze, leaves that to it.
func (f *Fleet) excludeServers(now time.Time) {
	if f.lead.fence < f.latestFence {
		return
	}
	excluded := f.lead.planner.Excluded()
	f.dispatcher.SetExcluded(excluded, now)
	if slices.Equal(excluded, f.lead.excluded) {
		return
	}
	f.lead.excluded = excluded
	f.broadcastBeat()
}

// targets returns the newest target weight versions with the engines that serve their models.
func (f *Fleet) targets(now time.Time) []weights.Target {
	var targets []weights.Target
	schedule := f.dispatcher.Targets()
	for _, model := range schedule.Models() {
		targets = append(targets, weights.Target{Model: model, Version: schedule.Newest(model), Engines: f.dispatcher.Engines(model, now)})
	}
	return targets
}

// retire retires the parts of earlier weight versions: all of them when no engine uses the version any more, and
// otherwise the share of the engines in use that have reached the target.
func (f *Fleet) retire(now time.Time) {
	schedule := f.dispatcher.Targets()
	for _, model := range schedule.Models() {
		version := schedule.Newest(model)
		engines := f.dispatcher.Engines(model, now)
		inUse := make(map[int64]bool)
		for _, e := range engines {
			inUse[e.Version] = true
		}
		for g := range f.catalogue.Generations(model) {
			switch {
			case g.Version >= version || len(engines) == 0:
			case !inUse[g.Version]:
				f.catalogue.Retire(g, kvcache.FullShare)
			default:
				f.catalogue.Retire(g, updatedShare(engines, version))
			}
		}
	}
}

// updatedShare returns the share of the engines that have reached a version, in thousandths. Evacuated engines count only if all are
// evacuated: they load first, and the others still fetch the parts of their version meanwhile.
func updatedShare(engines []weights.Engine, version int64) int {
	all := !slices.ContainsFunc(engines, func(e weights.Engine) bool { return !e.Evacuated })
	counted, updated := 0, 0
	for i := range engines {
		if engines[i].Evacuated && !all {
			continue
		}
		counted++
		if engines[i].Version >= version {
			updated++
		}
	}
	return kvcache.FullShare * updated / max(1, counted)
}

// freeableParts returns the cached parts that may be freed now.
func (f *Fleet) freeableParts(now time.Time) []kvcache.StoredPart {
	f.retire(now)
	if now.Sub(f.lead.freedAt) < freeInterval {
		return nil
	}
	f.lead.freedAt = now
	f.lead.freeing.Update(f.catalogue.RetiredShares(), f.reportedShare, now)
	return f.catalogue.Freeable(f.lead.freeing.Freeable(now))
}

// reportedShare returns the retired share of a generation that another gateway has reported, in thousandths.
func (f *Fleet) reportedShare(gateway string, g kvcache.Generation) int {
	for _, r := range f.members.Retired(gateway) {
		if r.GetModel() == g.Model && r.GetVersion() == g.Version {
			return int(r.GetThousandths())
		}
	}
	return 0
}

// executeStep requests a report or sends an order, and passes the result to the planner.
func (f *Fleet) executeStep(ctx context.Context, holding lease.Holding, step weights.Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if step.Order == nil {
		report, err := f.Platform.Engines.Report(ctx, step.Address)
		f.handleReport(step, report, err)
		return
	}
	outcome := weights.Conflict
	var err error
	// The lease may have ended while this goroutine was not scheduled, or while the host was suspended.
	if bootclock.Now().Before(holding.Until) && !f.hasEnded(holding) {
		f.Counters.Orders.Inc(1)
		if step.Evacuated {
			f.Counters.EvacuatedOrders.Inc(1)
		}
		outcome, err = f.Platform.Engines.Switch(ctx, *step.Order)
	}
	f.Log.Info(EventOrder, zap.String("server", step.Server), zap.String("model", step.Order.Model),
		zap.Int64("version", step.Order.Version), zap.Int64("fence", step.Order.Fence),
		zap.Int64("expected", step.Order.Expected), zap.Bool("evacuated", step.Evacuated), zap.String("outcome", outcome.String()), eventlog.Error(err))
	f.loop.Post(func() {
		if f.lead.planner == nil || f.lead.fence != step.Order.Fence {
			return
		}
		if f.lead.planner.RecordOutcome(bootclock.Now(), step.Server, outcome) {
			f.lead.fence = 0
		}
	})
}

func (f *Fleet) handleReport(step weights.Step, report backend.Report, err error) {
	if err != nil {
		f.Log.Warn(EventReportFailed, zap.String("server", step.Server), eventlog.Error(err))
	}
	f.loop.Post(func() {
		if f.lead.planner == nil {
			return
		}
		now := bootclock.Now()
		f.updateServerClock(report.ClockMS, now)
		done := f.lead.planner.RecordReport(now, step.Server, report, err == nil)
		for model, version := range report.Versions {
			if !report.Loading {
				f.dispatcher.SetVersion(now, step.Server, model, version)
			}
			if done {
				f.Counters.engineVersion(step.Server, model, version)
				f.Log.Info(EventEngineReady, zap.String("server", step.Server), zap.String("model", model), zap.Int64("version", version))
			}
		}
		if done {
			f.excludeServers(now)
			f.broadcastBeat()
		}
	})
}
