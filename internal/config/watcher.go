package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// watchPause is the time before a lost watch is opened again.
	watchPause = time.Second
	// aloneFor is how long a process without peers waits for the instance list before it watches:
	// else each fresh process would open a watch.
	aloneFor = 5 * time.Second
	// rankInterval is how often a process looks for its rank while the number of peers stays.
	rankInterval = 2 * time.Second
)

// watcher runs the watch of the root while this process ranks among its domain's watchers.
type watcher struct {
	spread *Spread
	began  time.Time
	// ranked is how many peers there were when the rank was found last, at rankedAt.
	ranked   int
	rankedAt time.Time
	cancel   context.CancelFunc
	done     chan struct{}
}

// rank starts or stops the watch. It is called from the goroutine of Run.
func (w *watcher) rank(ctx context.Context) {
	count := w.spread.options.Peers.Count()
	if count == w.ranked && time.Since(w.rankedAt) < rankInterval {
		return
	}
	w.ranked = count
	w.rankedAt = time.Now()
	peers := w.spread.options.Peers.Peers(0)
	if len(peers) == 0 && time.Since(w.began) < aloneFor {
		return
	}
	wanted := watches(w.spread.options.Self, peers)
	if wanted == (w.cancel != nil) {
		return
	}
	if !wanted {
		w.stop()
		return
	}
	watching, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	w.done = make(chan struct{})
	w.spread.count(func(stats *SpreadStats) { stats.Watching = true })
	go w.run(watching, w.done)
}

// stop ends the watch and waits for its goroutine.
func (w *watcher) stop() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.done
	w.cancel = nil
	w.spread.count(func(stats *SpreadStats) { stats.Watching = false })
}

func (w *watcher) run(ctx context.Context, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		if err := w.watch(ctx); err != nil {
			w.spread.options.Logger.Debug("configuration watch lost", zap.Error(err))
		}
		wait(ctx, jitter(watchPause))
	}
}

// watch adopts the root and then each change of it until the watch is lost.
func (w *watcher) watch(ctx context.Context) error {
	revision, err := w.first(ctx)
	if err != nil {
		return err
	}
	events, err := w.spread.options.Store.kv.Watch(ctx, rootKey, revision)
	if err != nil {
		return fromPlatform(err, "root cannot be watched")
	}
	w.spread.count(func(stats *SpreadStats) { stats.Watches++ })
	for event := range events {
		w.changed(ctx, event)
	}
	return nil
}

// first adopts the present root and returns the revision to watch from.
func (w *watcher) first(ctx context.Context) (metastore.Revision, error) {
	reading, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	w.spread.count(func(stats *SpreadStats) { stats.RootReads++ })
	root, err := w.spread.options.Store.root(reading)
	if errorx.IsOfType(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	w.spread.adopt(ctx, root.Root)
	return root.revision, nil
}

func (w *watcher) changed(ctx context.Context, event metastore.Event) {
	if event.Deleted || event.Record.Key != rootKey {
		return
	}
	root, err := decodeRoot(event.Record)
	if err != nil {
		w.spread.options.Logger.Warn("root not understood", zap.Error(err))
		return
	}
	w.spread.adopt(ctx, root.Root)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
