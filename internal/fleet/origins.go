package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/origin"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// originKeepers is how many other gateways keep the origin of each stream. With three, all of them and the gateway that
	// began the stream are among a third of the gateways that end at once for one stream in a hundred.
	originKeepers = 3
	// originAsked is how many gateways are asked for an origin. It exceeds originKeepers because the gateway that began the
	// stream, which doesn't count as a keeper there, and one that joined since may rank before the keepers.
	originAsked = originKeepers + 2
	// originTimeout bounds the time for which gateways are asked for an origin: half of the pause after which callers give up a
	// stream. A known origin arrives within milliseconds; only what some gateway doesn't answer takes longer.
	originTimeout = time.Second
	// confirmTimeout bounds the time for a server's report before the rest of a stream is sent to it.
	confirmTimeout = 250 * time.Millisecond
	// originWarmUp is how long after its start a gateway goes on asking, every originRetry. By then it has received heartbeats
	// of all others.
	originWarmUp = time.Second
	originRetry  = 50 * time.Millisecond
	// maxOriginConnections bounds the open connections to gateways that are asked for origins. The pool closes the one that was
	// used longest ago, also while an ask waits for its reply, so that it exceeds the asks of many streams at once.
	maxOriginConnections = 256
)

// originRanking returns the other gateways in the order in which they keep the origin of a stream. All gateways that know the same
// others rank them alike.
func (f *Fleet) originRanking(stream string, count int) []*wire.Peer {
	key := rendezvous.Hash("origin/" + stream)
	weight := func(p *wire.Peer) uint64 { return rendezvous.Weight(key, rendezvous.Hash(p.GetInstance())) }
	ranking := f.members.Peers()
	slices.SortFunc(ranking, func(a, b *wire.Peer) int { return cmp.Compare(weight(b), weight(a)) })
	return ranking[:min(count, len(ranking))]
}

// RecordOrigin records that a stream began at the server of a placement, here and at the gateways that keep it. It returns when
// these have been sent the origin, so that the caller may get the stream's first event. While the server's registration may be of an
// earlier run, it confirms the run first, as the first event has come from a run since. The software version is unknown if it can't.
func (f *Fleet) RecordOrigin(ctx context.Context, stream string, p *dispatch.Placement) origin.Origin {
	began := origin.Origin{Service: p.Service, SoftwareVersion: p.SoftwareVersion}
	var mayBeOld, known bool
	f.loop.Call(func() { mayBeOld, known = f.registrationsMayBeOld(bootclock.Now()), f.isRunKnown(p) })
	if known && mayBeOld {
		placed, runs := *p, runConfirmation{fleet: f}
		if known = runs.confirm(ctx, &placed); known {
			f.loop.Call(func() { known = f.isRunKnown(p) })
		}
	}
	if !known {
		began.SoftwareVersion = ""
	}
	f.ShareOrigin(stream, began)
	return began
}

// isRunKnown reports whether the server of a placement has neither restarted nor changed its registration, as far as is known, since the
// request was sent to it.
func (f *Fleet) isRunKnown(p *dispatch.Placement) bool {
	return f.dispatcher.SoftwareVersion(bootclock.Now(), p.Server) == p.SoftwareVersion
}

// ShareOrigin records the known origin of a stream here and at the gateways that keep it, once more if they have it.
func (f *Fleet) ShareOrigin(stream string, began origin.Origin) {
	var keepers []string
	f.loop.Call(func() {
		f.origins.Record(bootclock.Now(), stream, began)
		for _, keeper := range f.originRanking(stream, originKeepers) {
			keepers = append(keepers, keeper.GetBeatAddress())
		}
	})
	if len(keepers) == 0 || len(stream) > origin.MaxIDLength {
		return
	}
	message := &wire.Beat{StreamOrigins: []*wire.StreamOrigin{newStreamOrigin(stream, began)}}
	if err := f.link.Send(message, keepers); err != nil {
		f.Counters.OriginSendFailures.Inc(1)
		f.Log.Warn(EventOriginNotShared, zap.String("stream", stream), eventlog.Error(err))
	}
}

func newStreamOrigin(stream string, o origin.Origin) *wire.StreamOrigin {
	return &wire.StreamOrigin{Stream: stream, Service: o.Service, SoftwareVersion: o.SoftwareVersion}
}

// mergeOrigins records the origins that another gateway has sent.
func (f *Fleet) mergeOrigins(origins []*wire.StreamOrigin, now time.Time) {
	for _, o := range origins {
		f.origins.Record(now, o.GetStream(), origin.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()})
	}
}

// FindOrigin returns the origin of a stream, from this gateway or from the others that keep it. It is unknown if none of them
// replies in time that it has it. A gateway that has just started asks again while it gets to know the others.
func (f *Fleet) FindOrigin(ctx context.Context, stream string) origin.Origin {
	found, keepers := f.lookUpOrigin(stream)
	if found.Known() || stream == "" {
		return found
	}
	f.Counters.OriginAsks.Inc(1)
	learnsOthersUntil := f.startedAt.Add(originWarmUp)
	for found = f.askOrigins(ctx, keepers, stream); !found.Known() && bootclock.Now().Before(learnsOthersUntil) && ctx.Err() == nil; {
		sleep(ctx, originRetry)
		_, keepers = f.lookUpOrigin(stream)
		found = f.askOrigins(ctx, keepers, stream)
	}
	if !found.Known() {
		f.Counters.OriginsUnknown.Inc(1)
	}
	return found
}

// lookUpOrigin returns the origin of a stream if this gateway has it, and otherwise the gateways to ask.
func (f *Fleet) lookUpOrigin(stream string) (found origin.Origin, keepers []*wire.Peer) {
	f.loop.Call(func() {
		if found = f.origins.Lookup(bootclock.Now(), stream); !found.Known() {
			keepers = f.originRanking(stream, originAsked)
		}
	})
	return found, keepers
}

// askOrigins asks other gateways for the origin of a stream and returns the first that is known.
func (f *Fleet) askOrigins(ctx context.Context, keepers []*wire.Peer, stream string) origin.Origin {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan origin.Origin, len(keepers))
	for _, keeper := range keepers {
		go func() { replies <- f.askOrigin(ctx, keeper, stream) }()
	}
	for range keepers {
		select {
		case reply := <-replies:
			if reply.Known() {
				return reply
			}
		case <-ctx.Done():
			return origin.Origin{}
		}
	}
	return origin.Origin{}
}

// askOrigin asks another gateway for the origin of a stream. The origin is unknown if the gateway doesn't have it or doesn't reply.
func (f *Fleet) askOrigin(ctx context.Context, keeper *wire.Peer, stream string) origin.Origin {
	connection, err := f.originConnections.Get(keeper.GetControlAddress())
	if err == nil {
		var reply *wire.OriginReply
		if reply, err = wire.NewGatewaysClient(connection).Origin(ctx, &wire.OriginRequest{Stream: stream}, grpc.WaitForReady(true)); err == nil {
			return origin.Origin{Service: reply.GetOrigin().GetService(), SoftwareVersion: reply.GetOrigin().GetSoftwareVersion()}
		}
	}
	if ctx.Err() == nil {
		f.Log.Warn(EventOriginAskFailed, zap.String("stream", stream), zap.String("owner", keeper.GetInstance()), eventlog.Error(err))
	}
	return origin.Origin{}
}

// Origin implements wire.GatewaysServer.
func (s *service) Origin(_ context.Context, request *wire.OriginRequest) (*wire.OriginReply, error) {
	var found origin.Origin
	s.fleet.loop.Call(func() { found = s.fleet.origins.Lookup(bootclock.Now(), request.GetStream()) })
	if !found.Known() {
		return &wire.OriginReply{}, nil
	}
	return &wire.OriginReply{Origin: newStreamOrigin(request.GetStream(), found)}, nil
}
