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
		return metastore.LeaseID{}, metastore.ErrInvalid.New("lease TTL %s is not positive", ttl)
	}
	if err := s.startCall(ctx, func(c *Calls) { c.Grant++ }); err != nil {
		return metastore.LeaseID{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := metastore.LeaseID{Number: s.lastLease, Era: s.era}
	l := &lease{ttl: (ttl + time.Second - 1).Truncate(time.Second)}
	l.timer = time.AfterFunc(l.ttl, func() { s.expireLease(id, l) })
	s.leases[id.Number] = l
	return id, s.loseResponse("grant")
}

// KeepAlive implements metastore.KV.
func (s *Store) KeepAlive(ctx context.Context, id metastore.LeaseID) error {
	if err := s.startCall(ctx, func(c *Calls) { c.KeepAlive++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lease(id)
	if l == nil {
		return metastore.ErrLeaseNotFound.New("lease %d", id.Number)
	}
	l.timer.Stop()
	renewed := &lease{ttl: l.ttl}
	renewed.timer = time.AfterFunc(l.ttl, func() { s.expireLease(id, renewed) })
	s.leases[id.Number] = renewed
	return nil
}

// Revoke implements metastore.KV.
func (s *Store) Revoke(ctx context.Context, id metastore.LeaseID) error {
	if err := s.startCall(ctx, func(c *Calls) { c.Revoke++ }); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease(id) == nil {
		return metastore.ErrLeaseNotFound.New("lease %d", id.Number)
	}
	s.endLease(id)
	return s.loseResponse("revoke")
}

// Expire expires a lease now, as if its TTL had passed.
func (s *Store) Expire(id metastore.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease(id) != nil {
		s.endLease(id)
	}
}

// expireLease ends a lease unless it was renewed since the timer of l was set.
func (s *Store) expireLease(id metastore.LeaseID, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease(id) == l {
		s.endLease(id)
	}
}

// lease returns a lease, or nil when there is none or it is of an earlier era. The mutex is held.
func (s *Store) lease(id metastore.LeaseID) *lease {
	if id.Era != s.era {
		return nil
	}
	return s.leases[id.Number]
}

// endLease deletes a lease with its keys at one revision. The mutex is held.
func (s *Store) endLease(id metastore.LeaseID) {
	s.leases[id.Number].timer.Stop()
	delete(s.leases, id.Number)
	next := s.revision + 1
	var events []metastore.Event
	for key, record := range s.records {
		if record.Lease == id {
			delete(s.records, key)
			events = append(events, metastore.Event{Record: metastore.Record{Key: key, ModRevision: next, Era: s.era}, Deleted: true})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Record.Key < events[j].Record.Key })
	s.publish(next, events)
}
