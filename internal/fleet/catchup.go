package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/mirror"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// catchUpInterval is the interval at which the revisions of other gateways are compared with this one's.
	// catchUpAfter is how long another gateway must be ahead before changes are pulled from it. A gateway that
	// can reach the store receives the changes from the store earlier than that.
	catchUpInterval = 100 * time.Millisecond
	catchUpAfter    = 250 * time.Millisecond
	// avoidFailedFor is how long a gateway that didn't answer in time is asked only if no other one is ahead.
	avoidFailedFor = 5 * time.Second
	// peerCallTimeout bounds a call to another gateway.
	peerCallTimeout = time.Second
	// maxPeerConnections bounds the open connections to other gateways.
	maxPeerConnections = 8
)

// catchUp pulls from other gateways the changes that this one has not received from the metadata store.
func (f *Fleet) catchUp(ctx context.Context) {
	pool := f.newPool(maxPeerConnections)
	defer pool.Close()
	var prefixes sync.WaitGroup
	defer prefixes.Wait()
	for _, prefix := range f.prefixes() {
		// A call about registrations that waits for a silent gateway must not hold up what the operator has written.
		prefixes.Go(func() { f.catchUpWith(ctx, pool, prefix) })
	}
}

func (f *Fleet) catchUpWith(ctx context.Context, pool *grpcpool.Pool, prefix string) {
	var behindSince time.Time
	failedAt := make(map[string]time.Time)
	for ctx.Err() == nil {
		sleep(ctx, catchUpInterval)
		source, from := f.ahead(prefix, &behindSince, failedAt)
		if source == nil {
			continue
		}
		address := source.GetControlAddress()
		if err := f.pull(ctx, pool, address, prefix, from); err != nil {
			failedAt[source.GetInstance()] = bootclock.Now()
			f.Log.Warn(EventCatchUpFailed, zap.String("prefix", prefix), zap.String("from", address), eventlog.Error(err))
		}
		behindSince = time.Time{}
	}
}

// ahead returns a gateway that is ahead of this one, and the position that this one has. The gateway is nil unless some
// gateway has been ahead for catchUpAfter. behindSince is since when some gateway has been ahead; zero if none is. failedAt are
// the times of the latest failed calls by gateway.
func (f *Fleet) ahead(prefix string, behindSince *time.Time, failedAt map[string]time.Time) (source *wire.Peer, from metastore.Position) {
	f.loop.Call(func() {
		now := bootclock.Now()
		from = f.mirror.AsOf(prefix)
		failed := func(instance string) bool { return now.Sub(failedAt[instance]) < avoidFailedFor }
		member := f.members.Ahead(prefix, from, now, failed)
		if member == nil && prefix == f.Platform.Documents.OperatorPrefix() {
			member = f.members.WithLaterConfiguration(f.configurationVersion(), now, failed)
		}
		if member == nil {
			*behindSince = time.Time{}
			return
		}
		if behindSince.IsZero() {
			*behindSince = now
		}
		if now.Sub(*behindSince) >= catchUpAfter {
			source = member.Peer
		}
	})
	return source, from
}

// pull applies the changes after from that the gateway at address has. It returns ErrPeer.
func (f *Fleet) pull(ctx context.Context, pool *grpcpool.Pool, address, prefix string, from metastore.Position) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	connection, err := pool.Get(address)
	if err != nil {
		return ErrPeer.Wrap(err, "gateway %s", address)
	}
	request := &wire.ChangesRequest{Prefix: prefix, After: int64(from.Revision), Era: int64(from.Era)}
	// A configuration is text, and the links of small gateways are slow and busy.
	reply, err := wire.NewGatewaysClient(connection).Changes(ctx, request, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return ErrPeer.Wrap(err, "gateway %s", address)
	}
	update := mirror.Updates{Complete: reply.GetWhole()}
	update.Position = metastore.Position{Era: metastore.Era(reply.GetEra()), Revision: metastore.Revision(reply.GetAsOf())}
	for _, c := range reply.GetChanges() {
		record := metastore.Record{
			Key: c.GetKey(), Value: c.GetValue(), ModRevision: metastore.Revision(c.GetRevision()), Era: metastore.Era(c.GetEra()),
		}
		update.Events = append(update.Events, metastore.Event{Record: record, Deleted: c.GetDeleted()})
	}
	f.loop.Post(func() {
		now := bootclock.Now()
		keys := f.applyUpdates(prefix, update, now)
		if len(keys) > 0 {
			f.Log.Info(EventCaughtUp, zap.String("prefix", prefix), zap.String("from", address),
				zap.Int("keys", len(keys)), zap.Int64("revision", reply.GetAsOf()), zap.Int64("had", int64(from.Revision)), zap.Int64("era", reply.GetEra()))
		}
		if prefix == f.Platform.Documents.OperatorPrefix() {
			f.applyOperatorChanges(keys, address, now)
		} else {
			f.applyServerChanges(keys, now)
		}
	})
	return nil
}

// service serves the calls of other gateways.
type service struct {
	wire.UnimplementedGatewaysServer
	fleet *Fleet
}

// Changes implements wire.GatewaysServer.
func (s *service) Changes(_ context.Context, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	reply := &wire.ChangesReply{}
	f := s.fleet
	f.loop.Call(func() {
		from := metastore.Position{Era: metastore.Era(request.GetEra()), Revision: metastore.Revision(request.GetAfter())}
		update := f.mirror.Since(request.GetPrefix(), from)
		reply.AsOf, reply.Era, reply.Whole = int64(update.Revision), int64(update.Era), update.Complete
		for _, event := range update.Events {
			reply.Changes = append(reply.Changes, &wire.StoredChange{
				Key: event.Record.Key, Value: event.Record.Value,
				Revision: int64(event.Record.ModRevision), Era: int64(event.Record.Era), Deleted: event.Deleted,
			})
		}
	})
	return reply, nil
}

// bootstrapWait is how long a new gateway waits for the metadata store before it calls the seeds.
const bootstrapWait = 700 * time.Millisecond

// bootstrap pulls the configuration from the seeds until this gateway has one from any source.
func (f *Fleet) bootstrap(ctx context.Context) {
	pool := f.newPool(maxPeerConnections)
	defer pool.Close()
	for ctx.Err() == nil && f.Table() == nil {
		sleep(ctx, bootstrapWait)
		for _, address := range f.Seeds {
			if f.Table() != nil || address == f.Self.GetControlAddress() {
				continue
			}
			for _, prefix := range f.prefixes() {
				if err := f.pull(ctx, pool, address, prefix, metastore.Position{}); err != nil {
					f.Log.Warn(EventCatchUpFailed, zap.String("prefix", prefix), zap.String("from", address), eventlog.Error(err))
				}
			}
		}
	}
}
