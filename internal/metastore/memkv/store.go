// Package memkv is an in-memory key-value service for tests and for the key-value stand-in. It
// has switches for the faults of the real service and counts calls.
package memkv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

const watchBuffer = 64 // capacity of a watch's channel

// Faults are switches for failures of the service.
type Faults struct {
	// Down makes every call fail and ends all watches.
	Down bool `json:"down"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseResponses is the number of following writes that take effect but whose response is lost. Renewals
	// of leases are not affected.
	LoseResponses int `json:"lose_answers"`
}

// Calls counts calls by type. A watch counts once when it opens.
type Calls struct {
	Get       int64 `json:"get"`
	List      int64 `json:"list"`
	Swap      int64 `json:"swap"`
	Grant     int64 `json:"grant"`
	KeepAlive int64 `json:"keep_alive"`
	Revoke    int64 `json:"revoke"`
	Watch     int64 `json:"watch"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64 `json:"open_watches"`
}

// Writes returns the number of calls that write.
func (c Calls) Writes() int64 { return c.Swap + c.Grant + c.KeepAlive + c.Revoke }

// Reads returns the number of calls that read.
func (c Calls) Reads() int64 { return c.Get + c.List + c.Watch }

// Store is an in-memory key-value service. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	records   map[string]metastore.Record
	revision  metastore.Revision
	log       []metastore.Event
	compacted metastore.Revision // Changes refuses earlier revisions
	changed   chan struct{}      // closed and replaced after each change
	down      chan struct{}      // closed while the service is down
	era       metastore.Era
	leases    map[int64]*lease // by number
	lastLease int64
	faults    Faults
	calls     Calls
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ metastore.KV = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		records: map[string]metastore.Record{},
		changed: make(chan struct{}),
		down:    make(chan struct{}),
		era:     1,
		leases:  map[int64]*lease{},
	}
}

// SetFaults changes the fault switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down && !s.faults.Down {
		close(s.down)
	}
	if !f.Down && s.faults.Down {
		s.down = make(chan struct{})
	}
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the revision of the last write.
func (s *Store) Revision() metastore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Close stops the timers of all leases.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Get implements metastore.KV.
func (s *Store) Get(ctx context.Context, key string) (metastore.Record, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return metastore.Record{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[key]
	if !ok {
		return metastore.Record{}, metastore.ErrNotFound.New("key %q", key)
	}
	return record, nil
}

// List implements metastore.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]metastore.Record, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.List++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.under(prefix), nil
}

// under returns the records under prefix in key order. The mutex is held.
func (s *Store) under(prefix string) []metastore.Record {
	var found []metastore.Record
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// CompareAndSwap implements metastore.KV.
func (s *Store) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	results, err := s.CompareAndSwapEach(ctx, []metastore.Swap{swap})
	if err != nil {
		return metastore.SwapResult{}, err
	}
	return results[0], nil
}

// CompareAndSwapEach implements metastore.KV.
func (s *Store) CompareAndSwapEach(ctx context.Context, swaps []metastore.Swap) ([]metastore.SwapResult, error) {
	if err := validate(swaps); err != nil {
		return nil, err
	}
	if err := s.startCall(ctx, func(c *Calls) { c.Swap++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, swap := range swaps {
		if !swap.Lease.IsZero() && s.lease(swap.Lease) == nil {
			return nil, metastore.ErrLeaseNotFound.New("lease %d", swap.Lease.Number)
		}
	}
	results := s.apply(swaps)
	return results, s.loseResponse("compare and swap")
}

// validate returns ErrInvalid for swaps that the service refuses.
func validate(swaps []metastore.Swap) error {
	seen := map[string]bool{}
	for _, swap := range swaps {
		if swap.Key == "" || seen[swap.Key] {
			return metastore.ErrInvalid.New("key %q is empty or occurs twice in one call", swap.Key)
		}
		seen[swap.Key] = true
		if len(swap.Value) > MaxValueBytes {
			return metastore.ErrInvalid.New("value of %q has %d bytes, more than %d", swap.Key, len(swap.Value), MaxValueBytes)
		}
	}
	return nil
}

// apply applies the swaps whose condition holds at one revision. The mutex is held.
func (s *Store) apply(swaps []metastore.Swap) []metastore.SwapResult {
	next := s.revision + 1
	results := make([]metastore.SwapResult, len(swaps))
	var events []metastore.Event
	for i, swap := range swaps {
		current, ok := s.records[swap.Key]
		if !ok {
			current.Key = swap.Key
		}
		if current.ModRevision != swap.Expect {
			results[i].Current = current
			continue
		}
		results[i] = metastore.SwapResult{Swapped: true, Revision: next, Era: s.era}
		if event, changed := s.write(swap, current, next); changed {
			events = append(events, event)
		}
	}
	s.publish(next, events)
	return results
}

// write applies one swap and returns its event, and whether it changed anything: deleting an absent key doesn't.
// The mutex is held.
func (s *Store) write(swap metastore.Swap, current metastore.Record, at metastore.Revision) (event metastore.Event, changed bool) {
	if swap.Delete {
		_, present := s.records[swap.Key]
		delete(s.records, swap.Key)
		return metastore.Event{Record: metastore.Record{Key: swap.Key, ModRevision: at, Era: s.era}, Deleted: true}, present
	}
	record := metastore.Record{
		Key:            swap.Key,
		Value:          append([]byte{}, swap.Value...),
		CreateRevision: current.CreateRevision,
		ModRevision:    at,
		Lease:          swap.Lease,
		Era:            s.era,
	}
	if record.CreateRevision == 0 {
		record.CreateRevision = at
	}
	s.records[swap.Key] = record
	return metastore.Event{Record: record}, true
}

// publish appends events of one revision to the log and notifies the watches. The mutex is held.
func (s *Store) publish(at metastore.Revision, events []metastore.Event) {
	if len(events) == 0 {
		return
	}
	s.revision = at
	s.log = append(s.log, events...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// startCall counts a call and applies the Down and SlowMS faults. It returns ErrUnavailable if the service is down
// or ctx has ended.
func (s *Store) startCall(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		return metastore.ErrUnavailable.New("the service is down")
	}
	if faults.SlowMS > 0 {
		timer := time.NewTimer(time.Duration(faults.SlowMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	if ctx.Err() != nil {
		return metastore.ErrUnavailable.Wrap(ctx.Err(), "the call's context has ended")
	}
	return nil
}

// loseResponse returns ErrOutcomeUnknown after a write if its response is to be lost, and counts that down. The
// mutex is held.
func (s *Store) loseResponse(call string) error {
	if s.faults.LoseResponses == 0 {
		return nil
	}
	s.faults.LoseResponses--
	return metastore.ErrOutcomeUnknown.New("the answer to %s was lost", call)
}
