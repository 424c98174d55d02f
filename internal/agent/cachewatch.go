package agent

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/cacheindex"
	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/piece"
)

const (
	// cacheEventsInterval is how often the engine's cache events are read.
	cacheEventsInterval = 200 * time.Millisecond
	// announceInterval is how often changed holdings are announced to directory owners.
	announceInterval = 250 * time.Millisecond
	// instancesInterval is how often the process's copy of the instance list is read.
	instancesInterval = 200 * time.Millisecond
	// callTimeout bounds one periodic read or one round of announcements.
	callTimeout = time.Second
)

// watchCache keeps the view of the engine's cache, the stores and the directory owners current until
// ctx ends.
func (a *Agent) watchCache(ctx context.Context) {
	go every(ctx, instancesInterval, a.readInstances)
	go every(ctx, announceInterval, a.announce)
	every(ctx, cacheEventsInterval, a.readCacheEvents)
}

// every calls f at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		f(callCtx)
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readCacheEvents applies the engine's new cache events and resyncs when events were lost.
func (a *Agent) readCacheEvents(ctx context.Context) {
	var since uint64
	if !a.loop.Call(func() { since = a.cache.index.Sequence() }) {
		return
	}
	raw, latest, err := a.engine.CacheEvents(ctx, since)
	if err != nil {
		return
	}
	events := cacheEvents(raw)
	needsResync := false
	a.loop.Call(func() {
		a.cache.index.Apply(events, latest, time.Now())
		needsResync = a.cache.index.NeedsResync()
	})
	if needsResync {
		a.resyncCache(ctx)
	}
}

// resyncCache replaces the index by the exact content of the engine's cache.
func (a *Agent) resyncCache(ctx context.Context) {
	state, err := a.engine.CacheState(ctx)
	if err != nil {
		return
	}
	names, err := piece.NamesFromBytes(state.Pieces)
	if err != nil {
		return
	}
	a.loop.Call(func() { a.cache.index.Resync(names, state.Sequence, time.Now()) })
}

// cacheEvents converts the engine's events and skips those with malformed names.
func cacheEvents(raw []engine.CacheEvent) []cacheindex.Event {
	events := make([]cacheindex.Event, 0, len(raw))
	for _, r := range raw {
		name, err := piece.NameFromBytes(r.Piece)
		if err != nil {
			continue
		}
		event := cacheindex.Event{Sequence: r.Sequence, Kind: cacheindex.Stored, Piece: name}
		if r.Kind == engine.CacheRemoved {
			event.Kind = cacheindex.Removed
		}
		events = append(events, event)
	}
	return events
}

// readInstances updates the stores and the directory owners of the region from the instance list.
func (a *Agent) readInstances(ctx context.Context) {
	instances, err := a.instances.Instances(ctx)
	if err != nil || metastore.SameResult(instances, a.lastInstances) {
		return
	}
	a.lastInstances = instances
	ring := directory.NewRing(directory.OwnerCandidates(instances, a.settings.Region))
	a.directory.SetRing(ring)
	a.loop.Call(func() {
		a.cache.mover.SetStores(inRegion(instances, a.settings.Region))
		if !ring.Equal(a.cache.announcer.Ring()) {
			a.cache.announcer.SetRing(ring)
		}
	})
}

// inRegion returns the instances of a region.
func inRegion(instances []metastore.Instance, region string) []metastore.Instance {
	var found []metastore.Instance
	for _, instance := range instances {
		if instance.Region == region {
			found = append(found, instance)
		}
	}
	return found
}

// announce sends new and withdrawn holdings to directory owners.
func (a *Agent) announce(ctx context.Context) {
	var batches []directory.Batch
	a.loop.Call(func() { batches = a.cache.nextAnnouncements(time.Now()) })
	for _, batch := range batches {
		if err := a.directory.Announce(ctx, a.settings.Instance, a.incarnation, batch); err != nil {
			a.loop.Post(func() { a.cache.announcer.RetryBatch(batch) })
		}
	}
}
