package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/mirror"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// ownPrefix is where the system's own keys lie in the metadata store, peerPrefix where gateways
	// announce themselves.
	ownPrefix  = "balsamyoke/"
	peerPrefix = ownPrefix + "gateways/"
	// peerLease is the life of an announcement; it is renewed three times in that time.
	peerLease = 15 * time.Second
	// peerListEvery is how often the announcements are listed.
	peerListEvery = 10 * time.Second
	// announceRetry is the pause after an announcement that failed.
	announceRetry = time.Second
	// catchUpEvery is how often other gateways' knowledge is compared with this one's, and catchUpAfter how
	// long they must be ahead: the store's own changes come first when it serves this gateway.
	catchUpEvery = 100 * time.Millisecond
	catchUpAfter = 250 * time.Millisecond
	// peerCallTimeout bounds a call to another gateway.
	peerCallTimeout = time.Second
	// maxPeerConnections bounds the connections to other gateways that are kept.
	maxPeerConnections = 8
)

// beat sends this gateway's beats.
func (f *Fleet) beat(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		var beat *wire.Beat
		var to []string
		var interval time.Duration
		if !f.loop.Call(func() {
			now := bootclock.Now()
			var introduce bool
			to, introduce = f.members.Receivers()
			beat = f.makeBeat(now, introduce)
			interval = f.members.Interval()
		}) {
			return
		}
		err := f.link.Send(beat, to)
		if err != nil && !failing {
			f.Log.Warn(EventBeatFailed, eventlog.Error(err))
		}
		failing = err != nil
		sleep(ctx, interval)
	}
}

// beatNow sends a beat to all at once, when the leader withholds other servers than before.
func (f *Fleet) beatNow() {
	beat := f.makeBeat(bootclock.Now(), false)
	to := f.members.Everyone()
	go func() {
		if err := f.link.Send(beat, to); err != nil {
			f.Log.Warn(EventBeatFailed, eventlog.Error(err))
		}
	}()
}

func (f *Fleet) makeBeat(now time.Time, introduce bool) *wire.Beat {
	f.sequence++
	beat := &wire.Beat{
		From: f.Self, Incarnation: f.Incarnation, Sequence: f.sequence, Leaving: f.leaving.Load(),
		Fence: f.lead.fence, Withheld: f.lead.withheld,
	}
	for _, prefix := range f.prefixes() {
		if revision := f.mirror.AsOf(prefix); revision > 0 {
			beat.Known = append(beat.Known, &wire.PrefixRevision{Prefix: prefix, Revision: int64(revision)})
		}
	}
	for id, load := range f.dispatcher.Loads(now) {
		beat.Loads = append(beat.Loads, &wire.ServerLoad{Server: id, Running: uint32(load.Running), Tokens: uint32(load.Tokens), Held: uint32(load.Held)})
	}
	for g, share := range f.catalogue.Retired() {
		beat.Retired = append(beat.Retired, &wire.RetiredShare{Model: g.Model, Version: g.Version, Thousandths: uint32(share)})
	}
	if f.lead.fence > 0 {
		beat.Versions = f.knownVersions(now)
	}
	if introduce {
		beat.Peers = f.members.Introduced(now)
	}
	return beat
}

func (f *Fleet) prefixes() []string {
	return []string{f.Platform.Documents.OperatorPrefix(), f.Platform.Documents.ServerPrefix()}
}

// knownVersions returns the weight versions of the servers that have changed theirs.
func (f *Fleet) knownVersions(now time.Time) []*wire.ServerVersion {
	var list []*wire.ServerVersion
	for _, n := range f.dispatcher.Named() {
		for _, e := range f.dispatcher.Engines(n.Model, now) {
			if e.Version > e.Versions[n.Model] {
				list = append(list, &wire.ServerVersion{Server: e.ID, Model: n.Model, Version: e.Version})
			}
		}
	}
	return list
}

// heard takes a beat of another gateway, on the event loop of the link.
func (f *Fleet) heard(beat *wire.Beat) {
	f.loop.TryPost(func() { f.heardNow(beat, bootclock.Now()) })
}

func (f *Fleet) heardNow(beat *wire.Beat, now time.Time) {
	if beat.GetFrom().GetInstance() == f.Self.GetInstance() {
		return
	}
	first := len(f.members.Live(now))
	member := f.members.Heard(beat, now)
	if member == nil {
		return
	}
	if live := len(f.members.Live(now)); live > first {
		f.Log.Info(EventPeerHeard, zap.String("peer", member.GetInstance()), zap.Int("live", live))
		f.Counters.Peers.Update(float64(live))
	}
	f.touched(now)
	for _, r := range beat.GetRetired() {
		f.catalogue.Retire(kvcache.Generation{Model: r.GetModel(), Version: r.GetVersion()}, int(r.GetThousandths()))
	}
	loads := make(map[string]dispatch.PeerLoad, len(beat.GetLoads()))
	for _, l := range beat.GetLoads() {
		loads[l.GetServer()] = dispatch.PeerLoad{Running: int(l.GetRunning()), Tokens: int(l.GetTokens()), Held: int(l.GetHeld())}
	}
	f.dispatcher.SetPeer(member.GetInstance(), loads)
	for _, v := range beat.GetVersions() {
		f.dispatcher.SetVersion(v.GetServer(), v.GetModel(), v.GetVersion())
	}
	if member.Fence > 0 && member.Fence > f.lead.fence {
		f.dispatcher.SetWithheld(beat.GetWithheld(), now)
	}
}

// catchUp takes from other gateways what the metadata store has not told this one.
func (f *Fleet) catchUp(ctx context.Context) {
	pool := grpcpool.New(maxPeerConnections)
	defer pool.Close()
	behindSince := make(map[string]time.Time)
	for ctx.Err() == nil {
		sleep(ctx, catchUpEvery)
		for _, prefix := range f.prefixes() {
			address, from := f.ahead(prefix, behindSince)
			if address == "" {
				continue
			}
			if err := f.pull(ctx, pool, address, prefix, from); err != nil {
				f.Log.Warn(EventCatchUpFailed, zap.String("prefix", prefix), zap.String("from", address), eventlog.Error(err))
			}
			delete(behindSince, prefix)
		}
	}
}

// ahead returns the control address of a gateway that has been ahead for long enough, or nothing.
func (f *Fleet) ahead(prefix string, behindSince map[string]time.Time) (address string, from int64) {
	f.loop.Call(func() {
		now := bootclock.Now()
		from = int64(f.mirror.AsOf(prefix))
		member := f.members.Ahead(prefix, from, now)
		if member == nil {
			delete(behindSince, prefix)
			return
		}
		if since, ok := behindSince[prefix]; !ok {
			behindSince[prefix] = now
		} else if now.Sub(since) >= catchUpAfter {
			address = member.GetControlAddress()
		}
	})
	return address, from
}

// pull reads the changes after a revision from another gateway.
func (f *Fleet) pull(ctx context.Context, pool *grpcpool.Pool, address, prefix string, from int64) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	connection, err := pool.Get(address)
	if err != nil {
		return ErrPeer.Wrap(err, "gateway %s", address)
	}
	reply, err := wire.NewGatewaysClient(connection).Changes(ctx, &wire.ChangesRequest{Prefix: prefix, After: from})
	if err != nil {
		return ErrPeer.Wrap(err, "gateway %s", address)
	}
	news := mirror.News{Whole: reply.GetWhole()}
	news.Revision = metastore.Revision(reply.GetAsOf())
	for _, c := range reply.GetChanges() {
		news.Events = append(news.Events, metastore.Event{
			Record:  metastore.Record{Key: c.GetKey(), Value: c.GetValue(), ModRevision: metastore.Revision(c.GetRevision())},
			Deleted: c.GetDeleted(),
		})
	}
	f.loop.Post(func() {
		now := bootclock.Now()
		keys := f.mirror.Take(prefix, news, now)
		if len(keys) > 0 {
			f.Log.Info(EventCaughtUp, zap.String("prefix", prefix), zap.String("from", address),
				zap.Int("keys", len(keys)), zap.Int64("revision", reply.GetAsOf()), zap.Int64("had", from))
		}
		if prefix == f.Platform.Documents.OperatorPrefix() {
			f.operatorChanged(keys, now)
		} else {
			f.serversChanged(keys, now)
		}
	})
	return nil
}

// service answers other gateways.
type service struct {
	wire.UnimplementedGatewaysServer
	fleet *Fleet
}

// Register adds the calls that other gateways make.
func (f *Fleet) Register(server *grpc.Server) {
	wire.RegisterGatewaysServer(server, &service{fleet: f})
}

// Changes implements wire.GatewaysServer.
func (s *service) Changes(_ context.Context, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	reply := &wire.ChangesReply{}
	f := s.fleet
	f.loop.Call(func() {
		news := f.mirror.Since(request.GetPrefix(), metastore.Revision(request.GetAfter()))
		reply.AsOf, reply.Whole = int64(news.Revision), news.Whole
		for _, event := range news.Events {
			reply.Changes = append(reply.Changes, &wire.StoredChange{
				Key: event.Record.Key, Value: event.Record.Value,
				Revision: int64(event.Record.ModRevision), Deleted: event.Deleted,
			})
		}
	})
	return reply, nil
}

// announce keeps this gateway's leased key in the metadata store and reads those of the others.
func (f *Fleet) announce(ctx context.Context) {
	var lease metastore.LeaseID
	listedAt := time.Time{}
	for ctx.Err() == nil {
		err := f.announceOnce(ctx, &lease)
		if err == nil && time.Since(listedAt) > peerListEvery {
			if err = f.listPeers(ctx); err == nil {
				listedAt = time.Now()
			}
		}
		if err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, eventlog.Error(err))
			lease = 0
			sleep(ctx, announceRetry)
			continue
		}
		sleep(ctx, peerLease/3)
	}
}

// announceOnce renews the lease, or writes the key under a new one.
func (f *Fleet) announceOnce(ctx context.Context, lease *metastore.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	kv := f.Platform.Metastore
	f.Counters.StoreCalls.Inc(1)
	if *lease != 0 {
		return kv.KeepAlive(ctx, *lease)
	}
	granted, err := kv.Grant(ctx, peerLease)
	if err != nil {
		return err
	}
	value, err := json.Marshal(f.Self)
	if err != nil {
		return ErrPeer.Wrap(err, "announcement")
	}
	key := peerPrefix + f.Self.GetInstance()
	swap := metastore.Swap{Key: key, Value: value, Lease: granted}
	result, err := kv.CompareAndSwap(ctx, swap)
	if err == nil && !result.Swapped {
		// The key of this gateway's run before.
		swap.Expect = result.Current.ModRevision
		result, err = kv.CompareAndSwap(ctx, swap)
	}
	if err != nil {
		return err
	}
	if !result.Swapped {
		return ErrPeer.New("key %q changes hands", key)
	}
	*lease = granted
	return nil
}

// listPeers reads the system's own keys: which gateways there are and when weight versions were named.
func (f *Fleet) listPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.Counters.StoreCalls.Inc(1)
	listing, err := f.Platform.Metastore.Snapshot(ctx, ownPrefix)
	if err != nil {
		return err
	}
	f.loop.Post(func() {
		now := bootclock.Now()
		for _, record := range listing.Records {
			if strings.HasPrefix(record.Key, namingPrefix) {
				f.namingRead(record, now)
			}
			if !strings.HasPrefix(record.Key, peerPrefix) {
				continue
			}
			peer := &wire.Peer{}
			if err := json.Unmarshal(record.Value, peer); err != nil {
				f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
				continue
			}
			f.members.Learn(peer, now)
		}
	})
	return nil
}

// seedWait is how long a fresh gateway waits for the metadata store before it asks the seeds.
const seedWait = 700 * time.Millisecond

// seed asks the seeds for the configuration while neither the store nor a beat has brought one.
func (f *Fleet) seed(ctx context.Context) {
	pool := grpcpool.New(maxPeerConnections)
	defer pool.Close()
	for ctx.Err() == nil && f.Table() == nil {
		sleep(ctx, seedWait)
		for _, address := range f.Seeds {
			if f.Table() != nil || address == f.Self.GetControlAddress() {
				continue
			}
			for _, prefix := range f.prefixes() {
				if err := f.pull(ctx, pool, address, prefix, 0); err != nil {
					f.Log.Warn(EventCatchUpFailed, zap.String("prefix", prefix), zap.String("from", address), eventlog.Error(err))
				}
			}
		}
	}
}
