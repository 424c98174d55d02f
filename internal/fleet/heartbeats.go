package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/wire"
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
		if f.lead.fence > beat.GetFence() {
			// It may have been frozen and doesn't know which servers are excluded now.
			f.send(f.newBeat(now, false), member.GetBeatAddress())
		}
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
	f.mergeLeader(beat, sentAt, now)
}

// mergeLeader takes over which servers get no new requests and what the leader has measured, unless a later leader is known. A leader
// that was frozen may still send what it decided before.
func (f *Fleet) mergeLeader(beat *wire.Beat, sentAt, now time.Time) {
	if fence := beat.GetFence(); fence > 0 && fence >= f.latestFence && fence > f.lead.fence {
		f.latestFence = fence
		f.formerLoadTime = time.Duration(beat.GetLoadMs()) * time.Millisecond
		excludedAt := now // On a slow link the latest heartbeat is the best there is.
		if f.tickIsLate(now) || sentAt.Before(f.awakeSince) {
			excludedAt = sentAt
		}
		f.dispatcher.SetExcluded(beat.GetWithheld(), excludedAt)
		f.exclusionsAsOf = later(f.exclusionsAsOf, sentAt)
	}
}
