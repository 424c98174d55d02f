package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

// Pace of root reads by processes that may not watch.
const (
	// fleetReadsPerSecond bounds the reads of the root by all processes together.
	fleetReadsPerSecond = 50
	// shortestReadInterval is the time between two reads in a small fleet.
	shortestReadInterval = 4 * time.Second
	// adoptTries bounds the tries to load a version while versions change.
	adoptTries = 4
)

// readDue tells whether the next paced read of the root is due and plans the one after it.
func (s *Spread) readDue(now time.Time) bool {
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

// readInterval returns the time between two reads of the root by one of n processes.
func readInterval(processes int) time.Duration {
	paced := time.Duration(processes) * time.Second / fleetReadsPerSecond
	return max(paced, shortestReadInterval)
}

// readBeside runs readRoot on a goroutine of its own, one at a time.
func (s *Spread) readBeside(ctx context.Context) {
	if !s.reading.CompareAndSwap(false, true) {
		return
	}
	s.readers.Go(func() {
		defer s.reading.Store(false)
		s.readRoot(ctx)
	})
}

// readRoot reads the root and adopts its version.
func (s *Spread) readRoot(ctx context.Context) {
	root, err := s.root(ctx, serviceTimeout)
	if err != nil {
		return
	}
	s.adopt(ctx, root)
}

func (s *Spread) root(ctx context.Context, timeout time.Duration) (Root, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.count(func(stats *SpreadStats) { stats.RootReads++ })
	return s.options.Store.Root(ctx)
}

// adopt puts the version of a root, which the service has named, in force and confirms it.
func (s *Spread) adopt(ctx context.Context, root Root) {
	for range adoptTries {
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

// load reads the documents that the process lacks from the service and offers the version.
func (s *Spread) load(ctx context.Context, root Root) error {
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
