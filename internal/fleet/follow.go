package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/mirror"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
)

const (
	// maxFollowWait and minFollowWait bound how long one call waits for changes. followMargin is by how much that is shorter than
	// Options.ContactTime, within which a gateway must have the changes again after its connections have become silent.
	maxFollowWait = 4 * time.Second
	minFollowWait = 500 * time.Millisecond
	followMargin  = time.Second
	// indirectPollInterval is the shortest interval at which a gateway that receives changes through others polls the
	// store itself, so that it doesn't depend on them alone. Those of a failure domain also receive what one of them has
	// polled, so that together they poll every indirectPollSpacing, up to an interval of maxIndirectPollInterval.
	indirectPollInterval    = 2500 * time.Millisecond
	indirectPollSpacing     = 800 * time.Millisecond
	maxIndirectPollInterval = 10 * time.Second
	// followPause is the time between two calls. It lets changes accumulate, because each call is charged.
	// readerPause applies to gateways that read for others, in deployments with many changes.
	followPause = 120 * time.Millisecond
	readerPause = 350 * time.Millisecond
	// listTimeout bounds one listing.
	listTimeout = 2 * time.Second
	// followRetry is the longest pause after a failed call. The pause is random, at least half of it. It doubles
	// up to maxFollowRetry, which bounds how late a gateway detects that the store is reachable again.
	followRetry    = 300 * time.Millisecond
	maxFollowRetry = 1200 * time.Millisecond
)

// follow keeps the mirror of one prefix up to date from the metadata store.
func (f *Fleet) follow(ctx context.Context, prefix string, apply func(keys []string, now time.Time)) {
	unreachable := false
	listed := false
	retry := followRetry
	for ctx.Err() == nil {
		f.Counters.StoreCalls.Inc(1)
		var err error
		if !listed {
			err = f.list(ctx, prefix, apply)
			listed = err == nil
		} else {
			err = f.poll(ctx, prefix, f.pollWait(prefix, unreachable), apply)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if unreachable {
				unreachable = false
				f.Log.Info(EventStoreRegained, zap.String("prefix", prefix))
			}
			retry = followRetry
			f.pause(ctx)
			continue
		}
		if errorx.IsOfType(err, metastore.ErrCompacted) {
			listed = false
			continue
		}
		f.Counters.StoreFailures.Inc(1)
		if !unreachable {
			unreachable = true
			f.Log.Warn(EventStoreLost, zap.String("prefix", prefix), eventlog.Error(err))
		}
		f.loop.Post(f.registry.StoreUnreachable)
		sleep(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxFollowRetry)
	}
}

// pause waits between two calls. A gateway for which others read receives changes from them meanwhile.
func (f *Fleet) pause(ctx context.Context) {
	switch role := f.currentRole(); {
	case !role.reads:
		sleep(ctx, role.indirectPollInterval())
	case role.forOthers:
		sleep(ctx, readerPause)
	default:
		sleep(ctx, followPause)
	}
}

func (f *Fleet) list(ctx context.Context, prefix string, apply func([]string, time.Time)) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := bootclock.Now()
	listing, err := f.Platform.Metastore.Snapshot(ctx, prefix)
	if err != nil {
		return err
	}
	f.loop.Post(func() {
		now := bootclock.Now()
		f.registry.StoreReachable(now)
		f.registry.RecordReply(requestedAt, now)
		apply(f.applyListing(prefix, listing, now), now)
		f.recordReply(prefix, requestedAt)
	})
	return nil
}

// pollWait returns how long a call waits for changes. The first call after an outage doesn't wait: if it did, the store
// would count as unreachable until the next change, and that change as one of the outage.
// A call for the operator's documents ends while the configuration is still confirmed, as its reply may confirm it only as of the request.
func (f *Fleet) pollWait(prefix string, afterOutage bool) time.Duration {
	if afterOutage || !f.currentRole().reads {
		return 0
	}
	wait := min(max(f.ContactTime-followMargin, minFollowWait), maxFollowWait)
	if prefix == f.Platform.Documents.OperatorPrefix() {
		// Gateways that read at different times know together more exactly when a change was made.
		wait -= rand.N(wait/2 + 1)
		wait = min(wait, max(0, configurationTTL-followMargin-f.ConfigurationAge()))
	}
	return wait
}

func (f *Fleet) poll(ctx context.Context, prefix string, wait time.Duration, apply func([]string, time.Time)) error {
	var from metastore.Position
	if !f.loop.Call(func() { from = f.mirror.AsOf(prefix) }) {
		return nil
	}
	requestedAt := bootclock.Now()
	changes, err := f.Platform.Metastore.Changes(ctx, prefix, from, wait)
	if err != nil {
		return err
	}
	f.loop.Post(func() {
		now := bootclock.Now()
		asOf := confirmedBy(requestedAt, wait, len(changes.Events) > 0, now)
		f.registry.StoreReachable(now)
		f.registry.RecordReply(asOf, now)
		apply(f.mirror.Apply(prefix, changes, now), now)
		f.recordReply(prefix, asOf)
	})
	return nil
}

// recordReply records that all changes under prefix up to a time have been applied.
func (f *Fleet) recordReply(prefix string, asOf time.Time) {
	switch prefix {
	case f.Platform.Documents.OperatorPrefix():
		f.operatorReadAt = later(f.operatorReadAt, asOf)
		if f.Table() != nil {
			f.confirmConfiguration(asOf)
		}
	case f.Platform.Documents.ServerPrefix():
		f.registrationsAsOf = later(f.registrationsAsOf, asOf)
	}
}

// applyOperatorChanges applies changed keys of the operator. Evacuations come first, so that no request is placed under a new
// configuration without them.
func (f *Fleet) applyOperatorChanges(keys []string, source string, now time.Time) {
	f.applyEvacuations(keys, source, now)
	for _, key := range keys {
		entry, exists := f.mirror.Get(key)
		if !exists {
			delete(f.unreadable, key)
			continue
		}
		if f.isEvacuation(key) {
			continue
		}
		document, err := f.Platform.Documents.Read(key, entry.Value)
		if err != nil {
			f.reportUnreadable(key, entry, err)
			continue
		}
		delete(f.unreadable, key)
		if c := document.Configuration; c != nil {
			f.applyConfiguration(*c, entry, now)
		}
		if w := document.Weights; w != nil {
			f.addTargetVersion(weights.TargetVersion{Model: w.Model, Version: w.Version, SetAt: now, NotBefore: f.operatorReadAt}, "operator", now)
		}
	}
}

// maxLoggedError bounds the text of an error that quotes what another writer wrote, in characters.
const maxLoggedError = 300

// reportUnreadable counts a document that can't be read. It logs the first one under a key until one can be read again.
func (f *Fleet) reportUnreadable(key string, entry mirror.Entry, err error) {
	f.Counters.UnreadableDocuments.Inc(1)
	if f.unreadable[key] {
		return
	}
	f.unreadable[key] = true
	f.Log.Warn(EventUnreadable, zap.String("key", key), zap.Int64("revision", int64(entry.ModRevision)),
		zap.String("error", fmt.Sprintf("%.*s", maxLoggedError, fmt.Sprint(err))))
}

// applyConfiguration puts a configuration in force unless a later version is. The mirror drops earlier revisions
// of a key, so the configuration doesn't return to an earlier one.
func (f *Fleet) applyConfiguration(c routing.Configuration, entry mirror.Entry, now time.Time) {
	if old := f.table.Load(); old != nil && old.Version > c.Version {
		f.Log.Warn(EventConfiguration, zap.Int64("version", c.Version), zap.Int64("in_force", old.Version),
			zap.String("outcome", "older_refused"))
		return
	}
	f.table.Store(routing.NewTable(c))
	f.dispatcher.SetServices(c.Services)
	f.catalogue.SetStores(c.Stores, tokenBytes(c.Services))
	f.setFeeds(c.Stores)
	f.updateServers(now)
	f.Counters.ConfigVersion.Update(float64(c.Version))
	f.Log.Info(EventConfiguration, zap.Int64("version", c.Version), zap.Int64("revision", int64(entry.ModRevision)),
		zap.Int("routes", len(c.Routes)), zap.Int("organisations", len(c.Organisations)), zap.String("outcome", "in_force"))
}

// tokenBytes returns the size in bytes of one token of KV cache, which is the same for all engines that share
// stores; 0 without engines.
func tokenBytes(services []routing.Service) int {
	for _, s := range services {
		if s.Engine != nil {
			return s.Engine.TokenBytes
		}
	}
	return 0
}

// applyServerChanges applies changed registrations of backend servers.
func (f *Fleet) applyServerChanges(keys []string, now time.Time) {
	if len(keys) == 0 {
		return
	}
	var registered []backend.Server
	for _, key := range keys {
		id := f.Platform.Documents.ServerID(key)
		entry, exists := f.mirror.Get(key)
		if !exists {
			delete(f.unreadable, key)
			f.registry.Remove(id, now)
			continue
		}
		document, err := f.Platform.Documents.Read(key, entry.Value)
		if err != nil || document.Server == nil {
			f.reportUnreadable(key, entry, err)
			f.registry.Drop(id)
			continue
		}
		delete(f.unreadable, key)
		registered = append(registered, *document.Server)
		if entry.Resurrected {
			f.registry.PutResurrected(*document.Server, now)
			continue
		}
		f.registry.Put(*document.Server)
	}
	f.updateServers(now)
	for i := range registered {
		f.dispatcher.RecordRegistration(now, registered[i])
	}
}

// updateServers passes the servers to use to the dispatcher and logs what changed.
func (f *Fleet) updateServers(now time.Time) {
	servers := f.registry.Servers(now)
	f.dispatcher.SetServers(servers)
	f.dispatcher.RecordNewRuns(now, !f.serversListed)
	f.serversListed = f.serversListed || len(servers) > 0
	f.Counters.Servers.Update(float64(len(servers)))
	present := make(map[string]backend.State, len(servers))
	for i := range servers {
		s := &servers[i]
		present[s.ID] = s.State
		if state, known := f.states[s.ID]; !known || state != s.State {
			f.Log.Info(EventServerState, zap.String("server", s.ID), zap.String("service", s.Service),
				zap.Bool("draining", s.State == backend.Draining), zap.String("address", s.Address))
		}
	}
	for id := range f.states {
		if _, still := present[id]; !still {
			f.Log.Info(EventServerState, zap.String("server", id), zap.Bool("gone", true))
		}
	}
	f.states = present
	f.keepEvacuationsOfServers(now)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
