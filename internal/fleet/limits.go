package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/peers"
	"balsamyoke.example/balsamyoke/internal/quota"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxAsks is how many servers' limits a request asks for until it is refused.
	maxAsks = 2
	// askTimeout bounds an ask, and askFailedPause is how long an owner that didn't reply isn't asked again.
	askTimeout     = 150 * time.Millisecond
	askFailedPause = 500 * time.Millisecond
	// maxOwnerConnections bounds the open connections to owners of limits.
	maxOwnerConnections = 32
	// grantWarmUp is how long after its start a gateway grants nothing. By then all others have heard of it and ask no other
	// one in its place.
	grantWarmUp = peers.SilenceTimeout
)

// limitKey is the key by which the owner of a server's limit is chosen.
func limitKey(server string) string { return "limit/" + server }

// limitOwner returns the gateway that owns a server's limit, nil for this one.
func (f *Fleet) limitOwner(now time.Time, server string) *wire.Peer {
	key := rendezvous.Hash(limitKey(server))
	var owner *wire.Peer
	best := uint64(0)
	if !f.leaving.Load() {
		best = rendezvous.Weight(key, rendezvous.Hash(f.Self.GetInstance()))
	}
	for _, member := range f.members.Live(now) {
		if weight := rendezvous.Weight(key, rendezvous.Hash(member.GetInstance())); !member.Leaving && weight > best {
			owner, best = member.Peer, weight
		}
	}
	return owner
}

// grant answers an ask for requests of a server's limit. A gateway that has just started, or doesn't know the others yet,
// grants nothing: another one may have granted in its place.
func (f *Fleet) grant(now time.Time, ask quota.Ask) quota.Grant {
	if owner, _ := f.owner(now, ask); f.leaving.Load() || !f.peersListed || owner != nil {
		return quota.Grant{RetryAfter: askFailedPause}
	}
	if left := f.startedAt.Add(grantWarmUp).Sub(now); left > 0 {
		return quota.Grant{RetryAfter: min(left, askFailedPause)}
	}
	share := f.members.ReachableShare(now)
	if ask.Cold {
		if !f.mayGrantCold(now, ask.Server) {
			return quota.Grant{RetryAfter: askFailedPause}
		}
		share = 1
		// The gateway that asks may have an older configuration.
		if rate, ok := f.dispatcher.ColdRate(ask.Server); ok {
			ask.PerSecond = min(ask.PerSecond, rate)
		}
	}
	g := f.limits.Grant(now, ask, share)
	if g.Requests > 0 {
		f.Counters.LimitGrants.Inc(int64(g.Requests))
	} else {
		f.Counters.LimitRefusals.Inc(1)
	}
	return g
}

// grantSelf grants this gateway requests of a limit that it owns.
func (f *Fleet) grantSelf(now time.Time, server string) {
	ask := f.dispatcher.Ask(now, server)
	g := f.grant(now, ask)
	if ask.Cold && g.Requests == 0 {
		f.Counters.ColdAsksRefused.Inc(1)
	}
	f.dispatcher.AddGrant(now, now, server, g)
}

// askOwner asks the owner of a server's limit for a grant. It reports whether another attempt to place the request can have
// another result.
func (f *Fleet) askOwner(ctx context.Context, server string) bool {
	var ask quota.Ask
	var owner *wire.Peer
	askedAt := bootclock.Now()
	live := true
	if !f.loop.Call(func() {
		ask = f.dispatcher.Ask(askedAt, server)
		if owner, live = f.owner(askedAt, ask); !live {
			f.dispatcher.AddGrant(askedAt, askedAt, server, quota.Grant{RetryAfter: askFailedPause})
		}
	}) {
		return false
	}
	if owner == nil || !live {
		return true
	}
	grant, err := f.callOwner(ctx, owner, ask)
	if err != nil {
		grant = quota.Grant{RetryAfter: askFailedPause}
		f.Counters.LimitAskFailures.Inc(1)
		f.Log.Warn(EventAskFailed, zap.String("server", server), zap.String("owner", owner.GetInstance()), eventlog.Error(err))
	}
	if ask.Cold && grant.Requests == 0 {
		f.Counters.ColdAsksRefused.Inc(1)
	}
	return f.loop.Call(func() { f.dispatcher.AddGrant(askedAt, bootclock.Now(), server, grant) })
}

// callOwner sends an ask to another gateway. It returns ErrPeer.
func (f *Fleet) callOwner(ctx context.Context, owner *wire.Peer, ask quota.Ask) (quota.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	connection, err := f.ownerConnections.Get(owner.GetControlAddress())
	if err != nil {
		return quota.Grant{}, ErrPeer.Wrap(err, "gateway %s", owner.GetControlAddress())
	}
	reply, err := wire.NewGatewaysClient(connection).Grant(ctx, &wire.GrantRequest{Server: ask.Server, PerSecond: ask.PerSecond, Requests: uint32(ask.Requests), Cold: ask.Cold})
	if err != nil {
		return quota.Grant{}, ErrPeer.Wrap(err, "gateway %s", owner.GetControlAddress())
	}
	return quota.Grant{
		Requests:   int(reply.GetRequests()),
		Valid:      time.Duration(reply.GetValidMs()) * time.Millisecond,
		RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
	}, nil
}

// Grant implements wire.GatewaysServer.
func (s *service) Grant(_ context.Context, request *wire.GrantRequest) (*wire.GrantReply, error) {
	var g quota.Grant
	s.fleet.loop.Call(func() {
		ask := quota.Ask{Server: request.GetServer(), PerSecond: request.GetPerSecond(), Requests: int(request.GetRequests()), Cold: request.GetCold()}
		g = s.fleet.grant(bootclock.Now(), ask)
	})
	return &wire.GrantReply{Requests: uint32(g.Requests), ValidMs: uint32(g.Valid.Milliseconds()), RetryAfterMs: uint32(g.RetryAfter.Milliseconds())}, nil
}

// recheckLimits lets requests of this gateway find out whether the limits that it owns are still in force, when no other
// requests have gone to their servers lately.
func (f *Fleet) recheckLimits(now time.Time) {
	for _, server := range f.dispatcher.RecheckDue(now) {
		if f.limitOwner(now, server) == nil {
			f.dispatcher.Recheck(server)
		}
	}
}

// addLimits adds the limits that servers state to a heartbeat.
func (f *Fleet) addLimits(beat *wire.Beat, now time.Time) {
	for _, l := range f.dispatcher.Limits(now) {
		beat.ServerLimits = append(beat.ServerLimits, &wire.ServerLimit{
			Server: l.ID, StartedMs: l.StartedMS, Stated: l.Stated, PerSecond: l.PerSecond, AgeMs: ageMS(now, l.At),
		})
	}
}

// mergeLimits adds the limits of another gateway's heartbeat.
func (f *Fleet) mergeLimits(beat *wire.Beat, sentAt time.Time) {
	for _, l := range beat.GetServerLimits() {
		if f.dispatcher.SetLimit(dispatch.ServerLimit{
			ID: l.GetServer(), StartedMS: l.GetStartedMs(), Stated: l.GetStated(), PerSecond: l.GetPerSecond(), At: timeBefore(sentAt, l.GetAgeMs()),
		}) {
			f.logLimit(l.GetServer(), beat.GetFrom().GetInstance())
		}
	}
}

// logLimit logs that a server states another limit of requests than before, or none.
func (f *Fleet) logLimit(server, source string) {
	perSecond, stated := f.dispatcher.Limit(server)
	f.Log.Info(EventServerLimit, zap.String("server", server), zap.Bool("limited", stated), zap.Float64("per_second", perSecond),
		zap.String("source", source))
}
