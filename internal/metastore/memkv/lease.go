package memkv

import (
	"context"
	"sort"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Grant implements metastore.KV. A ttl is rounded up to whole seconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	if ttl <= 0 {
		return 0, metastore.ErrInvalid.New("lease TTL %s is not positive", ttl)
	}
	if err := s.startCall(ctx, func(c *Calls) { c.Grant++ }); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	l := &lease{ttl: (ttl + time.Second - 1).Truncate(time.Second)}
	l.timer = time.AfterFunc(l.ttl, func() { s.expireLease(id, l) })
	s.leases[id] = l
	return id, s.loseResponse("grant")
}

// KeepAlive implements metastore.KV.
func (s *Store) KeepAlive(ctx context.Context, id metastore.LeaseID) error {
	if err := s.startCall(ctx, func(c *Calls) { c.KeepAlive++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return metastore.ErrLeaseNotFound.New("lease %d", id)
	}
	l.timer.Stop()
	renewed := &lease{ttl: l.ttl}
	renewed.timer = time.AfterFunc(l.ttl, func() { s.expireLease(id, renewed) })
	s.leases[id] = renewed
	return nil
}

// Revoke implements metastore.KV.
func (s *Store) Revoke(ctx context.Context, id metastore.LeaseID) error {
	if err := s.startCall(ctx, func(c *Calls) { c.Revoke++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return metastore.ErrLeaseNotFound.New("lease %d", id)
	}
	s.endLease(id)
	return s.loseResponse("revoke")
}

// Expire expires a lease now, as if its TTL had passed.
func (s *Store) Expire(id metastore.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
}

// expireLease ends a lease unless it was renewed since the timer of l was set.
func (s *Store) expireLease(id metastore.LeaseID, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == l {
		s.endLease(id)
	}
}

// endLease deletes a lease with its keys at one revision. The mutex is held.
func (s *Store) endLease(id metastore.LeaseID) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	next := s.revision + 1
	var events []metastore.Event
	for key, record := range s.records {
		if record.Lease == id {
			delete(s.records, key)
			events = append(events, metastore.Event{Record: metastore.Record{Key: key, ModRevision: next}, Deleted: true})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Record.Key < events[j].Record.Key })
	s.publish(next, events)
}
