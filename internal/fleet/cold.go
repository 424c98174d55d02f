package fleet

import (
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/quota"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// coldBeatInterval is the minimum time between two heartbeats that are sent at once because servers have become cold. A failure
// domain's servers that return together are announced in few heartbeats.
const coldBeatInterval = 100 * time.Millisecond

// SetColdBounds sets Options.Cold.
func (f *Fleet) SetColdBounds(bounds dispatch.ColdBounds) {
	f.loop.Post(func() {
		f.Cold = bounds
		f.dispatcher.SetColdBounds(bounds)
	})
}

// coldOwner returns the gateway that owns the limit of a cold server, nil for this one. Unlike limitOwner it doesn't replace a
// silent gateway until that is forgotten, because a gateway that is cut off from this one may go on granting: two owners would
// exceed what the server bears. live is false if the owner is silent.
func (f *Fleet) coldOwner(now time.Time, server string) (owner *wire.Peer, live bool) {
	member := f.members.PermanentOwner(limitKey(server), !f.leaving.Load())
	if member == nil {
		return nil, true
	}
	return member.Peer, f.members.IsLive(member.GetInstance(), now)
}

// owner returns the gateway that an ask goes to, nil for this one. live is false if it won't answer.
func (f *Fleet) owner(now time.Time, ask quota.Ask) (owner *wire.Peer, live bool) {
	if ask.Cold {
		return f.coldOwner(now, ask.Server)
	}
	return f.limitOwner(now, ask.Server), true
}

// mayGrantCold reports whether this gateway may grant requests to a cold server that it owns. It may not while it has no quorum:
// other gateways may have forgotten and replaced it.
func (f *Fleet) mayGrantCold(now time.Time, server string) bool {
	owner, _ := f.coldOwner(now, server)
	return owner == nil && f.members.Quorum(now)
}

// logCold logs the servers that have become cold or warm.
func (f *Fleet) logCold(now time.Time) {
	changes, count := f.dispatcher.ColdChanges(now)
	f.Counters.ServersCold.Update(float64(count))
	for _, change := range changes {
		f.Log.Info(EventServerCold, zap.String("server", change.ID), zap.Bool("cold", change.Cold), zap.String("source", change.Source),
			zap.Duration("left", change.Left))
	}
}

// announceCold sends a heartbeat to all gateways because a server has stated that it is cold; within coldBeatInterval after the
// previous one at the end of that time.
func (f *Fleet) announceCold(now time.Time) {
	f.logCold(now)
	if f.coldBeatPending {
		return
	}
	if left := coldBeatInterval - now.Sub(f.coldReportedAt); left > 0 {
		f.coldBeatPending = true
		time.AfterFunc(left, func() { f.loop.Post(f.broadcastCold) })
		return
	}
	f.broadcastCold()
}

// broadcastCold sends the heartbeat of announceCold.
func (f *Fleet) broadcastCold() {
	f.coldBeatPending, f.coldReportedAt = false, bootclock.Now()
	f.broadcastBeat()
}

// addCold adds the servers that are cold, as far as this gateway knows from themselves, to a heartbeat.
func (f *Fleet) addCold(beat *wire.Beat, now time.Time) {
	for _, s := range f.dispatcher.ColdServers(now) {
		beat.ColdServers = append(beat.ColdServers, &wire.ColdServer{Server: s.ID, StartedMs: s.StartedMS, LeftMs: uint32(s.Left.Milliseconds())})
	}
}

// mergeCold adds the cold servers of another gateway's heartbeat.
func (f *Fleet) mergeCold(beat *wire.Beat, now time.Time) {
	for _, s := range beat.GetColdServers() {
		f.dispatcher.SetCold(now, dispatch.ColdServer{
			ID: s.GetServer(), StartedMS: s.GetStartedMs(), Left: time.Duration(s.GetLeftMs()) * time.Millisecond,
		})
	}
}
