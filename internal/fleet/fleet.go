// Package fleet is the control state of one gateway: its view of the configuration, the backend servers, the
// cache stores and the other gateways, and its duties while it is the leader. One goroutine owns all of it;
// followers, feeds and heartbeats run on goroutines of their own and post to it. The gateway's request path calls
// it to place requests and to report their results.
package fleet

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/control"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/mirror"
	"balsamyoke.example/balsamyoke/internal/origin"
	"balsamyoke.example/balsamyoke/internal/peers"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/quota"
	"balsamyoke.example/balsamyoke/internal/registry"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Options configures a Fleet.
type Options struct {
	Platform Platform
	Log      *eventlog.Log
	Counters *Counters
	Self     *wire.Peer
	// Incarnation is unique to this run of the gateway.
	Incarnation uint64
	// Seeds are control addresses of gateways. Some may be out of date.
	Seeds []string
	// LeaseTTL is the TTL of the leader lease.
	LeaseTTL time.Duration
	Budget   dispatch.BudgetConfig
	// Cold are the bounds on requests to cold servers.
	Cold dispatch.ColdBounds
	// ContactTime is the time within which the gateway must have the newest state again after a disruption.
	ContactTime time.Duration
	// RenewalInterval is the interval at which servers renew their registrations; 0 if it isn't known.
	RenewalInterval time.Duration
	// WeightsWithin is how long requests may still start on older weight versions after a new target is set.
	WeightsWithin time.Duration
	// ServerMemory is the memory of a backend server, in bytes; 0 doesn't bound the bytes of the requests there.
	ServerMemory int64
}

// Fleet is the control state.
type Fleet struct {
	Options
	loop *control.Loop
	link *peers.Link
	// ownerConnections are those to the gateways that own limits of servers.
	ownerConnections *grpcpool.Pool
	// originConnections are those to the gateways that are asked where streams began.
	originConnections *grpcpool.Pool
	// table and confirmedAt are read by the request path. confirmedAt is the latest time at which the metadata store is known to
	// have had no later configuration than table, in Unix nanoseconds of bootclock; 0 if none is known.
	table       atomic.Pointer[routing.Table]
	confirmedAt atomic.Int64
	// majorityAt is when this gateway last heard a majority of the gateways and none had a later configuration, in the same form.
	majorityAt atomic.Int64
	// registeredAt is a time before the latest renewal of this gateway's announcement in the metadata store, in the same form.
	registeredAt  atomic.Int64
	leaving       atomic.Bool
	role          atomic.Pointer[role]
	clockOffsetMS atomic.Int64 // the servers' clock minus this host's, in milliseconds; 0 when unknown
	// freesParts is set while the leader frees parts.
	freesParts atomic.Bool
	// behind is set while other gateways have had a later configuration for some time.
	behind atomic.Bool
	// quarantineIdle is read by the request path.
	quarantineIdle atomic.Bool
	// evacuated are the evacuated failure domains, for the request path; nil before the first evacuation.
	evacuated atomic.Pointer[map[string]bool]
	era       atomic.Int64 // the latest era of the metadata store that is known here; 0 before the first
	// restored wakes announce after the metadata store has come back from a copy.
	restored chan struct{}

	// The control goroutine owns the fields below.
	mirror     *mirror.Mirror
	registry   *registry.Registry
	dispatcher *dispatch.Dispatcher
	catalogue  *kvcache.Catalogue
	members    *peers.Members
	quarantine *quarantine.Tracker
	limits     *quota.Owner
	origins    *origin.Table
	lag        configurationLag
	// confirmed is what IsConfigurationConfirmed reported last, for the log.
	confirmed bool
	// evacuations are the failure domains that the operator has evacuated.
	evacuations *evacuations
	// crashReportedAt is when a heartbeat was last sent at once because of a crash.
	crashReportedAt time.Time
	// coldReportedAt is when a heartbeat was last sent at once because of a cold server, coldBeatPending is set while the next
	// one waits for coldBeatInterval. serversListed is set once the first registrations of servers are known.
	coldReportedAt  time.Time
	coldBeatPending bool
	serversListed   bool
	feeds           map[string]context.CancelFunc
	sequence        uint64
	lead            leadership
	// latestFence is the highest fence of a leader that this gateway has heard.
	latestFence int64
	// exclusionsAsOf is when the latest leader heard sent the heartbeat that decides which servers are excluded here. It is zero before
	// the first.
	exclusionsAsOf time.Time
	// formerLoadTime is the time that loads of weights took when the latest leader heard led; 0 before that.
	formerLoadTime time.Duration
	// startedAt is when this run began; peersListed is set after the first listing of the other gateways.
	startedAt   time.Time
	peersListed bool
	// sendEpochs makes the next heartbeat include the epochs of the cache stores, for a gateway that has started.
	sendEpochs bool
	// eraSince is when the latest era was first seen.
	eraSince time.Time
	// earlierRunEra is an era in which an earlier run of this gateway held a lease; 0 if none is known.
	earlierRunEra int64
	lastExpiry    time.Time
	// unloadedTargets are the stored target versions that were read before the servers' clock was known, by key.
	unloadedTargets map[string]metastore.Record
	states          map[string]backend.State
	// operatorReadAt is the latest time up to which all target versions are known here, by this gateway's own readings of the
	// operator's keys or by what a leader has stored; zero if there is none.
	operatorReadAt time.Time
	// unreadable are the keys whose documents can't be read and have been logged.
	unreadable        map[string]bool
	registrationReads registrationReads
	// registrationsAsOf is the time as of which all registrations were last known here. tickedAt is when evaluate last ticked, awakeSince
	// when the latest freeze ended.
	registrationsAsOf, tickedAt, awakeSince time.Time
	background                              sync.WaitGroup
}

// New returns a Fleet with an empty state.
func New(o Options) *Fleet {
	catalogue := kvcache.New()
	f := &Fleet{
		Options:     o,
		loop:        control.NewLoop(),
		restored:    make(chan struct{}, 1),
		registry:    registry.New(),
		catalogue:   catalogue,
		dispatcher:  dispatch.New(o.Self.GetFailureDomain(), o.Incarnation, catalogue, o.Budget),
		members:     peers.NewMembers(o.Self),
		quarantine:  quarantine.New(),
		limits:      quota.NewOwner(),
		origins:     origin.NewTable(),
		evacuations: newEvacuations(),

		feeds:           make(map[string]context.CancelFunc),
		states:          make(map[string]backend.State),
		unreadable:      make(map[string]bool),
		unloadedTargets: make(map[string]metastore.Record),
	}
	f.ownerConnections = f.newPool(maxOwnerConnections)
	f.originConnections = f.newPool(maxOriginConnections)
	f.mirror = mirror.New(f.supersedes)
	f.mirror.LimitValuesOf(f.isEvacuation, maxEvacuationBytes)
	f.registry.SetRenewalInterval(o.RenewalInterval)
	f.dispatcher.SetWeightsWithin(o.WeightsWithin)
	f.dispatcher.SetColdBounds(o.Cold)
	f.dispatcher.SetServerMemory(o.ServerMemory)
	f.role.Store(&role{reads: true, starting: true})
	f.quarantineIdle.Store(true)
	f.startedAt = bootclock.Now()
	f.tickedAt = f.startedAt
	catalogue.SetFirstChange(bootclock.Now().UnixNano())
	catalogue.RecordGatewayRestart(bootclock.Now())
	return f
}

// SetBudget sets the bounds of the retry budget.
func (f *Fleet) SetBudget(config dispatch.BudgetConfig) {
	f.loop.Post(func() {
		config.Gateways = f.members.Count()
		f.dispatcher.SetBudget(config)
	})
}

// SetWeightsWithin sets Options.WeightsWithin.
func (f *Fleet) SetWeightsWithin(within time.Duration) {
	f.loop.Post(func() {
		f.WeightsWithin = within
		f.dispatcher.SetWeightsWithin(within)
	})
}

// Run maintains the control state until ctx ends. It returns an error if it can't listen for heartbeats or close
// the link.
func (f *Fleet) Run(ctx context.Context) error {
	link, err := peers.Listen(f.Self.GetBeatAddress(), f.receiveBeat)
	if err != nil {
		return err
	}
	f.link = link
	documents := f.Platform.Documents
	f.mirror.LimitValues(documents.ServerPrefix(), backend.MaxRegistrationBytes)
	for _, run := range []func(context.Context){
		func(ctx context.Context) {
			f.follow(ctx, documents.OperatorPrefix(), func(keys []string, now time.Time) { f.applyOperatorChanges(keys, sourceStore, now) })
		},
		func(ctx context.Context) { f.follow(ctx, documents.ServerPrefix(), f.applyServerChanges) },
		f.sendBeats, f.requestConfirmations, f.catchUp, f.announce, f.campaign, f.evaluate, f.bootstrap, f.readViaPeers,
	} {
		f.background.Go(func() { run(ctx) })
	}
	f.loop.Run(ctx)
	f.setFeeds(nil)
	f.background.Wait()
	f.ownerConnections.Close()
	f.originConnections.Close()
	return link.Close()
}

// Table returns the configuration in force, or nil before the first.
func (f *Fleet) Table() *routing.Table { return f.table.Load() }

// Leave announces to the other gateways that this one is about to stop, and releases the leader lease.
func (f *Fleet) Leave() { f.leaving.Store(true) }

// CountRequest counts a caller's request to a service.
func (f *Fleet) CountRequest(service string) {
	f.loop.Post(func() { f.dispatcher.CountRequest(bootclock.Now(), service) })
}

// TakeRetry reports whether a request to the service may be retried. It counts the retry if so.
func (f *Fleet) TakeRetry(service string) (granted bool) {
	f.loop.Call(func() { granted = f.dispatcher.TakeRetry(bootclock.Now(), service) })
	return granted
}

// Refuse returns the refusal for a request that can't be retried.
func (f *Fleet) Refuse(service string, reason dispatch.Reason) (refusal *dispatch.Refusal) {
	f.loop.Call(func() { refusal = f.dispatcher.Refuse(service, reason) })
	if refusal == nil {
		refusal = &dispatch.Refusal{Reason: reason, RetryAfter: time.Second}
	}
	return refusal
}

// RecordFirstByte records the time to the first byte of a response.
func (f *Fleet) RecordFirstByte(p dispatch.Placement, took time.Duration) {
	f.loop.Post(func() { f.dispatcher.RecordFirstByte(bootclock.Now(), &p, took) })
}

// RecordEnd records the end of a request at a server. served is the request if the caller got a complete successful
// response, and has no parts otherwise.
func (f *Fleet) RecordEnd(p dispatch.Placement, result dispatch.Result, firstByte bool, served quarantine.Request) {
	f.loop.Post(func() {
		now := bootclock.Now()
		f.dispatcher.RecordEnd(now, &p, result, firstByte)
		f.quarantine.RecordServed(now, p.Server, served)
	})
}

// RecordNotSent records that a request was not sent to the server of its placement. RecordEnd is called as well.
func (f *Fleet) RecordNotSent(p dispatch.Placement) {
	f.loop.Post(func() { f.dispatcher.RecordNotSent(&p) })
}

// RecordClosedByServer records that the server of the placement has closed the connection of a request. RecordEnd is called as well.
func (f *Fleet) RecordClosedByServer(p dispatch.Placement) {
	f.loop.Post(func() { f.dispatcher.RecordClosedByServer(bootclock.Now(), &p) })
}

// RecordServerReport records what a server stated about itself in a response.
func (f *Fleet) RecordServerReport(server string, report dispatch.ServerReport) {
	f.loop.Post(func() {
		now := bootclock.Now()
		changes := f.dispatcher.RecordReport(now, server, report)
		if changes.Leaves {
			f.Log.Info(EventServerLeaving, zap.String("server", server), zap.String("source", "response"))
		}
		if changes.Limit {
			f.logLimit(server, "response")
			f.broadcastBeat()
		}
		if changes.Cold {
			f.announceCold(now)
		}
	})
}

// ServerClock converts a time of bootclock to the servers' clock, in Unix milliseconds. It returns false
// before the first reading of that clock.
func (f *Fleet) ServerClock(at time.Time) (ms int64, known bool) {
	offset := f.clockOffsetMS.Load()
	return at.UnixMilli() + offset, offset != 0
}

// serverTime returns a time of bootclock on the servers' clock, in Unix milliseconds; the latest one while that clock is unknown.
func (f *Fleet) serverTime(at time.Time) int64 {
	if ms, known := f.ServerClock(at); known {
		return ms
	}
	return math.MaxInt64
}

// maxOffsetDecreaseMS is how much the offset of the servers' clock may fall with each reading, in milliseconds.
// The limit is there because a reading that is delayed on the way yields too low an offset.
const maxOffsetDecreaseMS = 1

// updateServerClock updates the offset from a reading of the servers' clock in Unix milliseconds; 0 means none.
func (f *Fleet) updateServerClock(ms int64, now time.Time) {
	if ms == 0 {
		return
	}
	offset := ms - now.UnixMilli()
	if old := f.clockOffsetMS.Load(); old != 0 {
		offset = max(offset, old-maxOffsetDecreaseMS)
	}
	f.clockOffsetMS.Store(offset)
}

// evaluateInterval is the interval at which server health is evaluated and timed state is checked.
const evaluateInterval = 250 * time.Millisecond

// evaluate evaluates the servers periodically and logs when the host was suspended.
func (f *Fleet) evaluate(ctx context.Context) {
	ticker := time.NewTicker(evaluateInterval)
	defer ticker.Stop()
	steady, boot := time.Now(), bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := bootclock.Now()
		suspended := now.Sub(boot) - time.Since(steady)
		steady, boot = time.Now(), now
		if suspended > evaluateInterval {
			f.Log.Warn(EventSuspended, zap.Duration("for", suspended))
		}
		f.loop.Post(func() {
			// Not now: while the control goroutine is behind, its latest tick would look late for as long.
			f.recordTick(bootclock.Now())
			f.evaluateServers(now)
		})
	}
}

// position returns this gateway's position among the gateways of its failure domain.
func (f *Fleet) position(now time.Time) dispatch.Position {
	index, count := f.members.Position(now)
	return dispatch.Position{Index: index, Count: count}
}

func (f *Fleet) evaluateServers(now time.Time) {
	for _, change := range f.dispatcher.Evaluate(now) {
		f.Log.Warn(EventServerHealth, zap.String("server", change.ID), zap.String("service", change.Service),
			zap.String("failure_domain", change.FailureDomain), zap.String("state", change.State))
	}
	if f.registry.IsUnsettled() {
		f.updateServers(now)
	}
	// A gateway that is cut off must notice the loss of its quorum before it forgets the others.
	f.members.Quorum(now)
	for _, silent := range f.members.Expire(now, f.lastExpiry) {
		f.dispatcher.SetPeer(silent, nil)
		f.catalogue.SetPeer(silent, nil)
		f.Log.Warn(EventPeerSilent, zap.String("peer", silent))
	}
	f.lastExpiry = now
	f.setSavingGateways()
	if f.catalogue.TakeOverdue(now) {
		f.broadcastBeat()
	}
	if !f.registry.IsStoreReachable() {
		f.dispatcher.KeepRunsEnded(now)
	}
	f.lapseEvacuations(now)
	f.updateLag(now)
	f.loadRemainingTargets(now)
	f.evaluateQuarantine(now)
	f.recheckLimits(now)
	f.logCold(now)
	f.Counters.ConfigurationAgeMS.Update(float64(f.ConfigurationAge().Milliseconds()))
	f.Counters.LogLinesLost.Update(float64(f.Log.Lost()))
	f.Counters.Peers.Update(float64(len(f.members.Live(now))))
	f.Counters.Era.Update(float64(f.era.Load()))
	f.Counters.OriginsKept.Update(float64(f.origins.Len()))
	f.Counters.ServersLimited.Update(float64(f.dispatcher.LimitedCount()))
	f.updateSpeedGauges(now)
	f.Counters.MaxServerBytes.Update(float64(f.dispatcher.MaxServerBytes()))
	f.Counters.ServersLeaving.Update(float64(len(f.dispatcher.Leaving())))
	f.assignRole(now)
	if p := f.position(now); f.dispatcher.SetPosition(p) {
		f.Log.Info(EventEnginesAssigned, zap.Int("index", p.Index), zap.Int("of", p.Count))
	}
	f.dispatcher.SetGateways(f.members.Count())
}
