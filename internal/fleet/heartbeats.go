package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

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
	// ownPrefix is the prefix of the system's own keys in the metadata store, peerPrefix that of the
	// gateways' announcements.
	ownPrefix  = "balsamyoke/"
	peerPrefix = ownPrefix + "gateways/"
	// peerLeaseTTL is the lifetime of an announcement, which is renewed three times in that time.
	peerLeaseTTL = 15 * time.Second
	// peerListInterval is the interval between two listings of the announcements, and peerListIntervalIndirect that of
	// gateways for which others read: by then heartbeats have introduced all gateways to each other.
	peerListInterval         = 10 * time.Second
	peerListIntervalIndirect = 30 * time.Second
	// announceRetry is the pause after a failed announcement.
	announceRetry = time.Second
	// restoredSpread is the time in which all gateways announce themselves again after the metadata store has lost
	// their announcements.
	restoredSpread = time.Second
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

// sendBeats sends this gateway's heartbeats until ctx ends.
func (f *Fleet) sendBeats(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		var beat *wire.Beat
		var to []string
		var interval time.Duration
		if !f.loop.Call(func() {
			now := bootclock.Now()
			var includePeers bool
			to, includePeers = f.members.Receivers(f.lead.fence > 0)
			beat = f.newBeat(now, includePeers)
			if f.sendEpochs {
				f.sendEpochs = false
				f.addEpochs(beat)
			}
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

// broadcastBeat sends a heartbeat to all gateways immediately. The leader calls it when the set of servers that are
// excluded from new requests has changed, and when an engine has loaded its target weight version.
func (f *Fleet) broadcastBeat() { f.broadcast(f.newBeat(bootclock.Now(), false)) }

// broadcast sends a heartbeat to all gateways.
func (f *Fleet) broadcast(beat *wire.Beat) {
	f.send(beat, f.members.BeatAddresses()...)
}

// addEpochs adds to a heartbeat how long this gateway has known the epochs of the cache stores.
func (f *Fleet) addEpochs(beat *wire.Beat) {
	for _, e := range f.catalogue.Epochs() {
		beat.StoreEpochs = append(beat.StoreEpochs, &wire.StoreEpoch{Address: e.Address, Epoch: e.Epoch, AgeMs: uint32(e.Age.Milliseconds())})
	}
}

func (f *Fleet) newBeat(now time.Time, includePeers bool) *wire.Beat {
	f.sequence++
	beat := &wire.Beat{
		From: f.Self, Incarnation: f.Incarnation, Sequence: f.sequence, SentNs: now.UnixNano(), Leaving: f.leaving.Load(),
		Fence: f.lead.fence, Withheld: f.lead.excluded, Configuration: f.configurationVersion(),
	}
	for _, prefix := range f.prefixes() {
		if known := f.mirror.AsOf(prefix); known.Revision > 0 {
			beat.Known = append(beat.Known, &wire.PrefixRevision{Prefix: prefix, Revision: int64(known.Revision), Era: int64(known.Era)})
		}
	}
	for id, load := range f.dispatcher.Loads(now) {
		beat.Loads = append(beat.Loads, &wire.ServerLoad{Server: id, Running: uint32(load.Running), Tokens: uint32(load.WaitingTokens), Held: uint32(load.ReservedTokens), Kilobytes: uint32(load.KB)})
	}
	f.addStoreLoads(beat, now)
	beat.Retired = f.retiredShares()
	for _, s := range f.dispatcher.Leaving() {
		beat.LeavingServers = append(beat.LeavingServers, &wire.LeavingServer{Server: s.ID, StartedMs: s.StartedMS})
	}
	f.addQuarantine(beat, now)
	f.addLimits(beat, now)
	f.addCold(beat, now)
	f.addTargetVersions(beat, now)
	if f.lead.fence > 0 {
		beat.Versions = f.reportedVersions(now)
		beat.LoadMs = uint32(f.lead.planner.LoadTime().Milliseconds())
	}
	if includePeers {
		beat.Peers = f.members.RecentPeers(now)
	}
	return beat
}

// addStoreLoads adds to a heartbeat what this gateway saves to the cache stores.
func (f *Fleet) addStoreLoads(beat *wire.Beat, now time.Time) {
	for address, reserved := range f.catalogue.Reserved() {
		beat.StoreLoads = append(beat.StoreLoads, &wire.StoreLoad{Address: address, Reserved: uint32(reserved)})
	}
	for _, report := range f.catalogue.SaveReports(now) {
		beat.SaveReports = append(beat.SaveReports, &wire.SaveReport{Store: report.Store, Position: report.Position, OpenSaves: report.Open})
	}
}

// mergeStoreLoads records what another gateway saves to the cache stores.
func (f *Fleet) mergeStoreLoads(beat *wire.Beat, now time.Time) {
	reserved := make(map[string]int, len(beat.GetStoreLoads()))
	for _, l := range beat.GetStoreLoads() {
		reserved[l.GetAddress()] = int(l.GetReserved())
	}
	reports := make([]kvcache.SaveReport, 0, len(beat.GetSaveReports()))
	for _, r := range beat.GetSaveReports() {
		reports = append(reports, kvcache.SaveReport{Store: r.GetStore(), Position: r.GetPosition(), Open: r.GetOpenSaves()})
	}
	f.catalogue.SetPeer(beat.GetFrom().GetInstance(), reserved)
	f.catalogue.SetSaveReports(kvcache.GatewayRun{Instance: beat.GetFrom().GetInstance(), Incarnation: beat.GetIncarnation()}, reports, now)
}

// setSavingGateways tells the catalogue which other gateways may save to the cache stores: all that are known, once they have been listed.
func (f *Fleet) setSavingGateways() {
	if !f.peersListed {
		return
	}
	var gateways []kvcache.GatewayRun
	for name, incarnation := range f.members.Incarnations() {
		gateways = append(gateways, kvcache.GatewayRun{Instance: name, Incarnation: incarnation})
	}
	f.catalogue.SetGateways(gateways)
}

// configurationVersion returns the version of the configuration in force; 0 before the first.
func (f *Fleet) configurationVersion() int64 {
	if table := f.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

func (f *Fleet) prefixes() []string {
	return []string{f.Platform.Documents.OperatorPrefix(), f.Platform.Documents.ServerPrefix()}
}

// reportedVersions returns the weight versions of the servers whose version is newer than the one in their
// registration.
func (f *Fleet) reportedVersions(now time.Time) []*wire.ServerVersion {
	var list []*wire.ServerVersion
	for _, model := range f.dispatcher.Targets().Models() {
		for _, e := range f.dispatcher.Engines(model, now) {
			if e.Version > e.Versions[model] {
				list = append(list, &wire.ServerVersion{Server: e.ID, Model: model, Version: e.Version})
			}
		}
	}
	return list
}

// receiveBeat posts a heartbeat of another gateway to the control goroutine. It runs on the event loop of the link.
func (f *Fleet) receiveBeat(beat *wire.Beat) {
	f.loop.TryPost(func() { f.handleBeat(beat, bootclock.Now()) })
}

func (f *Fleet) handleBeat(beat *wire.Beat, now time.Time) {
	if origins := beat.GetStreamOrigins(); len(origins) > 0 {
		f.mergeOrigins(origins, now)
		return
	}
	if beat.GetFrom().GetInstance() == f.Self.GetInstance() {
		return
	}
	if request := beat.GetConfirmationRequest(); request != nil {
		f.confirm(beat.GetFrom(), beat.GetIncarnation(), request, now)
		return
	}
	if confirmation := beat.GetConfirmation(); confirmation != nil {
		f.mergeConfirmation(confirmation, now)
		return
	}
	sentAt := f.members.SentAt(beat, now)
	if beat.GetOnlyEvidence() {
		f.mergeQuarantine(beat, sentAt, now)
		return
	}
	wasLive := f.members.IsLive(beat.GetFrom().GetInstance(), now)
	member := f.members.HandleBeat(beat, now)
	if member == nil {
		return
	}
	if !wasLive {
		f.Log.Info(EventPeerLive, zap.String("peer", member.GetInstance()), zap.Int("known", f.members.Count()))
	}
	f.mergeRetired(beat.GetRetired())
	loads := make(map[string]dispatch.PeerLoad, len(beat.GetLoads()))
	for _, l := range beat.GetLoads() {
		loads[l.GetServer()] = dispatch.PeerLoad{Running: int(l.GetRunning()), WaitingTokens: int(l.GetTokens()), ReservedTokens: int(l.GetHeld()), KB: int(l.GetKilobytes())}
	}
	f.dispatcher.SetPeer(member.GetInstance(), loads)
	f.mergeStoreLoads(beat, now)
	if member.Restarted {
		f.catalogue.RecordGatewayRestart(now)
	}
	f.sendEpochs = f.sendEpochs || member.NewRun
	for _, e := range beat.GetStoreEpochs() {
		f.catalogue.ConfirmEpoch(kvcache.Epoch{Address: e.GetAddress(), Epoch: e.GetEpoch(), Age: time.Duration(e.GetAgeMs()) * time.Millisecond})
	}
	for _, s := range beat.GetLeavingServers() {
		if f.dispatcher.SetLeaving(dispatch.LeavingServer{ID: s.GetServer(), StartedMS: s.GetStartedMs()}) {
			f.Log.Info(EventServerLeaving, zap.String("server", s.GetServer()), zap.String("source", member.GetInstance()))
		}
	}
	f.mergeQuarantine(beat, sentAt, now)
	f.mergeLimits(beat, sentAt)
	f.mergeCold(beat, now)
	f.mergeTargetVersions(beat, sentAt, now)
	for _, v := range beat.GetVersions() {
		f.dispatcher.SetVersion(now, v.GetServer(), v.GetModel(), v.GetVersion())
	}
	f.mergeLeader(beat, now)
}

// mergeLeader takes over which servers get no new requests and what the leader has measured, unless a later leader is known. A leader
// that was frozen may still send what it decided before.
func (f *Fleet) mergeLeader(beat *wire.Beat, now time.Time) {
	if fence := beat.GetFence(); fence > 0 && fence >= f.latestFence && fence > f.lead.fence {
		f.latestFence = fence
		f.formerLoadTime = time.Duration(beat.GetLoadMs()) * time.Millisecond
		f.dispatcher.SetExcluded(beat.GetWithheld(), now)
	}
}

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

// announce keeps this gateway's leased key in the metadata store and lists the keys of the others.
func (f *Fleet) announce(ctx context.Context) {
	var lease metastore.LeaseID
	listedAt := time.Time{}
	for ctx.Err() == nil {
		err := f.announceOnce(ctx, &lease)
		interval := peerListInterval
		if !f.currentRole().reads {
			interval = peerListIntervalIndirect
		}
		if err == nil && time.Since(listedAt) > interval {
			if err = f.listPeers(ctx); err == nil {
				listedAt = time.Now()
			}
		}
		if err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, eventlog.Error(err))
			lease = metastore.LeaseID{}
			sleep(ctx, announceRetry)
			continue
		}
		f.awaitAnnouncement(ctx)
	}
}

// awaitAnnouncement waits until the announcement must be renewed. After the metadata store has come back from a copy,
// that is within restoredSpread, at a random time so that not all gateways write at once.
func (f *Fleet) awaitAnnouncement(ctx context.Context) {
	timer := time.NewTimer(peerLeaseTTL / 3)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.restored:
		sleep(ctx, rand.N(restoredSpread))
	}
}

// announceOnce renews the lease, or writes the key under a new lease if there is none.
func (f *Fleet) announceOnce(ctx context.Context, lease *metastore.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	kv := f.Platform.Metastore
	f.Counters.StoreCalls.Inc(1)
	startedAt := bootclock.Now().UnixNano()
	if !lease.IsZero() {
		err := kv.KeepAlive(ctx, *lease)
		if err == nil {
			f.registeredAt.Store(startedAt)
		}
		return err
	}
	granted, err := kv.Grant(ctx, peerLeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(f.Self)
	if err != nil {
		return ErrPeer.Wrap(err, "cannot encode the announcement")
	}
	key := peerPrefix + f.Self.GetInstance()
	swap := metastore.Swap{Key: key, Value: value, Lease: granted}
	result, err := kv.CompareAndSwap(ctx, swap)
	if err == nil && !result.Swapped {
		// An earlier run of this gateway left the key, or this one did under an earlier lease.
		if f.registeredAt.Load() == 0 {
			era := int64(result.Current.Era)
			f.loop.Post(func() { f.earlierRunEra = era })
		}
		swap.Expect = result.Current.ModRevision
		result, err = kv.CompareAndSwap(ctx, swap)
	}
	if err != nil {
		return err
	}
	if !result.Swapped {
		return ErrPeer.New("key %q was changed by another writer", key)
	}
	*lease = granted
	f.registeredAt.Store(startedAt)
	return nil
}

// listPeers reads the system's own keys: the announcements of gateways and the times at which target weight
// versions were set.
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
		f.loadStored(listing.Records, now)
		for _, record := range listing.Records {
			if !strings.HasPrefix(record.Key, peerPrefix) {
				continue
			}
			peer := &wire.Peer{}
			if err := json.Unmarshal(record.Value, peer); err != nil {
				f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
				continue
			}
			f.members.Add(peer, now)
		}
		f.members.Listed()
		if !f.peersListed {
			f.peersListed = true
			f.assignRole(now)
		}
	})
	return nil
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
