package memkv

import (
	"context"
	"sort"
	"strings"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Watch implements metastore.KV.
func (s *Store) Watch(ctx context.Context, prefix string, from metastore.Revision) (<-chan metastore.Event, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	down := s.down
	s.calls.OpenWatches++
	s.mu.Unlock()
	events := make(chan metastore.Event, watchBuffer)
	go func() {
		defer close(events)
		s.follow(ctx, prefix, from, down, events)
		s.mu.Lock()
		s.calls.OpenWatches--
		s.mu.Unlock()
	}()
	return events, nil
}

// follow sends the events of the log after revision from, and those added later, until ctx ends or the service
// goes down.
func (s *Store) follow(ctx context.Context, prefix string, from metastore.Revision, down <-chan struct{}, events chan<- metastore.Event) {
	next := s.position(from)
	for {
		batch, changed := s.eventsFrom(next)
		next += len(batch)
		for _, event := range batch {
			if !strings.HasPrefix(event.Record.Key, prefix) {
				continue
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			case <-down:
				return
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-down:
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

// eventsFrom returns the log from index next and a channel that closes at the next change.
func (s *Store) eventsFrom(next int) ([]metastore.Event, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log[next:len(s.log):len(s.log)], s.changed
}
