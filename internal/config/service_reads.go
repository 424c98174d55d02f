package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Limits on reads of the root by processes that do not watch it.
const (
	// maxFleetReadsPerSecond bounds the rate of root reads by all processes together.
	maxFleetReadsPerSecond = 50
	// minReadInterval is the smallest interval, before jitter, between two reads by one process. Small
	// fleets use it.
	minReadInterval = 4 * time.Second
	// maxAdoptTries bounds the tries to load a version while versions change.
	maxAdoptTries = 4
)

// readDue reports whether the next periodic read of the root is due and schedules the one after it. The
// first call only schedules.
func (s *Propagator) readDue(now time.Time) bool {
	interval := readInterval(s.options.Peers.Count() + 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextRead) {
		return false
	}
	first := s.nextRead.IsZero()
	s.nextRead = now.Add(jitter(interval))
	return !first
}

// readInterval returns the time between two periodic reads of the root by one process in a fleet of the
// given number of processes.
func readInterval(processes int) time.Duration {
	interval := time.Duration(processes) * time.Second / maxFleetReadsPerSecond
	return max(interval, minReadInterval)
}

// readRootAsync starts readRoot on its own goroutine unless one is already running.
func (s *Propagator) readRootAsync(ctx context.Context) {
	if !s.reading.CompareAndSwap(false, true) {
		return
	}
	s.readers.Go(func() {
		defer s.reading.Store(false)
		s.readRoot(ctx)
	})
}

// readRoot reads the root and adopts its version. Errors are ignored; the next periodic read retries.
func (s *Propagator) readRoot(ctx context.Context) {
	root, err := s.root(ctx, serviceTimeout)
	if err != nil {
		return
	}
	s.adopt(ctx, root)
}

func (s *Propagator) root(ctx context.Context, timeout time.Duration) (Root, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.count(func(stats *PropagatorStats) { stats.RootReads++ })
	return s.options.Store.Root(ctx)
}

// adopt puts the version of a root that was read from the service in force and confirms it.
func (s *Propagator) adopt(ctx context.Context, root Root) {
	for range maxAdoptTries {
		if root.Version <= s.options.Holder.Version() {
			s.confirm(root.Version, "service")
			return
		}
		err := s.load(ctx, root)
		if err == nil {
			continue
		}
		s.options.Logger.Debug("configuration not loaded", zap.Uint64("version", root.Version), zap.Error(err))
		if !errorx.IsOfType(err, ErrIncomplete) {
			return
		}
	}
}

// load reads the documents that the process lacks from the service and offers the version to the Holder.
func (s *Propagator) load(ctx context.Context, root Root) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	bundle, err := s.options.Store.Load(ctx, root.Version, root.Digest, s.options.Holder.Delta(nil).Documents)
	if err != nil {
		return err
	}
	accepted, err := s.options.Holder.Offer(bundle)
	if accepted {
		s.options.Logger.Info("configuration in force", zap.Uint64("version", bundle.Version), zap.String("from", "service"))
	}
	return err
}
