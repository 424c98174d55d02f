package memkv

import (
	"context"
	"sort"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

var _ metastore.Follower = (*Store)(nil)

// Snapshot implements metastore.Follower.
func (s *Store) Snapshot(ctx context.Context, prefix string) (metastore.Listing, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.List++ }); err != nil {
		return metastore.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return metastore.Listing{Records: s.under(prefix), Position: metastore.Position{Era: s.era, Revision: s.revision}}, nil
}

// Changes implements metastore.Follower.
func (s *Store) Changes(ctx context.Context, prefix string, from metastore.Position, wait time.Duration) (metastore.Changes, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return metastore.Changes{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		found, changed, down := s.changesAfter(prefix, from.Revision), s.changed, s.down
		available := from.Era == s.era && from.Revision >= s.compacted && from.Revision <= s.revision
		s.mu.Unlock()
		if !available {
			return metastore.Changes{}, metastore.ErrCompacted.New("history after revision %d of era %d", from.Revision, from.Era)
		}
		if len(found.Events) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-down:
			return metastore.Changes{}, metastore.ErrUnavailable.New("the service went down")
		case <-ctx.Done():
			return found, nil
		}
	}
}

// changesAfter returns the changes under prefix after revision from. The mutex is held.
func (s *Store) changesAfter(prefix string, from metastore.Revision) metastore.Changes {
	found := metastore.Changes{Position: metastore.Position{Era: s.era, Revision: max(from, s.revision)}}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Record.ModRevision > from })
	for _, event := range s.log[first:] {
		if strings.HasPrefix(event.Record.Key, prefix) {
			found.Events = append(found.Events, event)
		}
	}
	return found
}

// Compact drops the service's history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}
