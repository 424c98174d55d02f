package memkv

import (
	"context"
	"sort"
	"strings"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Watch implements metastore.KV.
func (s *Store) Watch(ctx context.Context, prefix string, from metastore.Revision) (<-chan metastore.Event, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	lost := s.lost
	s.calls.OpenWatches++
	s.mu.Unlock()
	events := make(chan metastore.Event, watchBuffer)
	go func() {
		defer close(events)
		s.follow(ctx, prefix, from, lost, events)
		s.mu.Lock()
		s.calls.OpenWatches--
		s.mu.Unlock()
	}()
	return events, nil
}

// follow sends the log after from, and what is added to it, until ctx ends or the service is lost.
func (s *Store) follow(ctx context.Context, prefix string, from metastore.Revision, lost <-chan struct{}, events chan<- metastore.Event) {
	next := s.position(from)
	for {
		batch, changed := s.since(next)
		next += len(batch)
		for _, event := range batch {
			if !strings.HasPrefix(event.Record.Key, prefix) {
				continue
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			case <-lost:
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-lost:
			return
		}
	}
}

// position returns the index in the log of the first event after from.
func (s *Store) position(from metastore.Revision) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sort.Search(len(s.log), func(i int) bool { return s.log[i].Record.ModRevision > from })
}

// since returns the log from index next and a channel that closes at the next change.
func (s *Store) since(next int) ([]metastore.Event, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log[next:len(s.log):len(s.log)], s.changed
}
