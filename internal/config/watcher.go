package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// rewatchPause is the mean time before a lost watch is opened again.
	rewatchPause = time.Second
	// noPeersWait is how long a process without peers waits for the instance list before it watches. Without
	// the wait each newly started process would open a watch.
	noPeersWait = 5 * time.Second
	// rankCheckInterval is how often a process computes its rank again while the number of peers is
	// unchanged.
	rankCheckInterval = 2 * time.Second
)

// watcher runs the watch of the root while this process ranks among the watchers of its failure domain.
type watcher struct {
	propagator *Propagator
	startedAt  time.Time
	// peerCount is the number of peers when the rank was last computed, at checkedAt.
	peerCount int
	checkedAt time.Time
	cancel    context.CancelFunc
	done      chan struct{}
}

// updateWatch starts or stops the watch according to the rank of this process. It is called from the
// goroutine of Run.
func (w *watcher) updateWatch(ctx context.Context) {
	count := w.propagator.options.Peers.Count()
	if count == w.peerCount && time.Since(w.checkedAt) < rankCheckInterval {
		return
	}
	w.peerCount = count
	w.checkedAt = time.Now()
	peers := w.propagator.options.Peers.Peers(0)
	if len(peers) == 0 && time.Since(w.startedAt) < noPeersWait {
		return
	}
	wanted := shouldWatch(w.propagator.options.Self, peers)
	if wanted == (w.cancel != nil) {
		return
	}
	if !wanted {
		w.stop()
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	w.done = make(chan struct{})
	w.propagator.count(func(stats *PropagatorStats) { stats.Watching = true })
	go w.run(watchCtx, w.done)
}

// stop ends the watch and waits for its goroutine.
func (w *watcher) stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.done
	w.cancel = nil
	w.propagator.count(func(stats *PropagatorStats) { stats.Watching = false })
}

func (w *watcher) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		if err := w.watch(ctx); err != nil {
			w.propagator.options.Logger.Debug("configuration watch lost", zap.Error(err))
		}
		wait(ctx, jitter(rewatchPause))
	}
}

// watch adopts the current root and then each change of it until the watch is lost.
func (w *watcher) watch(ctx context.Context) error {
	revision, err := w.adoptCurrent(ctx)
	if err != nil {
		return err
	}
	events, err := w.propagator.options.Store.kv.Watch(ctx, rootKey, revision)
	if err != nil {
		return fromPlatform(err, "root cannot be watched")
	}
	w.propagator.count(func(stats *PropagatorStats) { stats.Watches++ })
	for event := range events {
		w.handleEvent(ctx, event)
	}
	return nil
}

// adoptCurrent adopts the current root and returns the revision to watch from; 0 before the first apply.
func (w *watcher) adoptCurrent(ctx context.Context) (metastore.Revision, error) {
	readCtx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	w.propagator.count(func(stats *PropagatorStats) { stats.RootReads++ })
	root, err := w.propagator.options.Store.root(readCtx)
	if errorx.IsOfType(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	w.propagator.adopt(ctx, root.Root)
	return root.revision, nil
}

func (w *watcher) handleEvent(ctx context.Context, event metastore.Event) {
	if event.Deleted || event.Record.Key != rootKey {
		return
	}
	root, err := decodeRoot(event.Record)
	if err != nil {
		w.propagator.options.Logger.Warn("root cannot be decoded", zap.Error(err))
		return
	}
	w.propagator.adopt(ctx, root.Root)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
