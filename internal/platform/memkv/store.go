// Package memkv is an in-memory key-value service for tests and for the key-value stand-in. It
// has switches for the faults of the real service and counts calls.
package memkv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/platform"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

const watchBuffer = 64 // events that wait in a watch's channel

// Faults are switches for failures of the service.
type Faults struct {
	// Down makes every call fail and ends all watches.
	Down bool `json:"down"`
	// SlowMS delays each call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of coming writes that take effect without an answer. Renewals of
	// leases don't count.
	LoseAnswers int `json:"lose_answers"`
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
	// OpenWatches is the number of watches that wait now.
	OpenWatches int64 `json:"open_watches"`
}

// Writes returns the number of calls that write.
func (c Calls) Writes() int64 { return c.Swap + c.Grant + c.KeepAlive + c.Revoke }

// Reads returns the number of calls that read.
func (c Calls) Reads() int64 { return c.Get + c.List + c.Watch }

// Store is the service. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	records   map[string]platform.Record
	revision  platform.Revision
	log       []platform.Event
	changed   chan struct{} // closed and replaced after each change
	lost      chan struct{} // closed while the service is down
	leases    map[platform.LeaseID]*lease
	lastLease platform.LeaseID
	faults    Faults
	calls     Calls
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ platform.KV = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		records: map[string]platform.Record{},
		changed: make(chan struct{}),
		lost:    make(chan struct{}),
		leases:  map[platform.LeaseID]*lease{},
	}
}

// SetFaults changes the fault switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down && !s.faults.Down {
		close(s.lost)
	}
	if !f.Down && s.faults.Down {
		s.lost = make(chan struct{})
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
func (s *Store) Revision() platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Close ends all leases' timers.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Get implements platform.KV.
func (s *Store) Get(ctx context.Context, key string) (platform.Record, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return platform.Record{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[key]
	if !ok {
		return platform.Record{}, platform.ErrNotFound.New("key %q", key)
	}
	return record, nil
}

// List implements platform.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	if err := s.enter(ctx, func(c *Calls) { c.List++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Record
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// CompareAndSwap implements platform.KV.
func (s *Store) CompareAndSwap(ctx context.Context, swap platform.Swap) (platform.SwapResult, error) {
	results, err := s.CompareAndSwapEach(ctx, []platform.Swap{swap})
	if err != nil {
		return platform.SwapResult{}, err
	}
	return results[0], nil
}

// CompareAndSwapEach implements platform.KV.
func (s *Store) CompareAndSwapEach(ctx context.Context, swaps []platform.Swap) ([]platform.SwapResult, error) {
	if err := check(swaps); err != nil {
		return nil, err
	}
	if err := s.enter(ctx, func(c *Calls) { c.Swap++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, swap := range swaps {
		if swap.Lease != 0 && s.leases[swap.Lease] == nil {
			return nil, platform.ErrLeaseNotFound.New("lease %d", swap.Lease)
		}
	}
	results := s.apply(swaps)
	return results, s.answerLost("compare and swap")
}

// check refuses swaps that the service does not take.
func check(swaps []platform.Swap) error {
	seen := map[string]bool{}
	for _, swap := range swaps {
		if swap.Key == "" || seen[swap.Key] {
			return platform.ErrInvalid.New("key %q is empty or stands twice in one call", swap.Key)
		}
		seen[swap.Key] = true
		if len(swap.Value) > MaxValueBytes {
			return platform.ErrInvalid.New("value of %q has %d bytes, more than %d", swap.Key, len(swap.Value), MaxValueBytes)
		}
	}
	return nil
}

// apply carries out swaps at one revision. The mutex is held.
func (s *Store) apply(swaps []platform.Swap) []platform.SwapResult {
	next := s.revision + 1
	results := make([]platform.SwapResult, len(swaps))
	var events []platform.Event
	for i, swap := range swaps {
		current, ok := s.records[swap.Key]
		if !ok {
			current.Key = swap.Key
		}
		if current.ModRevision != swap.Expect {
			results[i].Current = current
			continue
		}
		results[i] = platform.SwapResult{Swapped: true, Revision: next}
		if event, changes := s.write(swap, current, next); changes {
			events = append(events, event)
		}
	}
	s.publish(next, events)
	return results
}

// write changes one record. A delete of an absent key changes nothing. The mutex is held.
func (s *Store) write(swap platform.Swap, current platform.Record, at platform.Revision) (event platform.Event, changes bool) {
	if swap.Delete {
		_, present := s.records[swap.Key]
		delete(s.records, swap.Key)
		return platform.Event{Record: platform.Record{Key: swap.Key, ModRevision: at}, Deleted: true}, present
	}
	record := platform.Record{
		Key:            swap.Key,
		Value:          append([]byte{}, swap.Value...),
		CreateRevision: current.CreateRevision,
		ModRevision:    at,
		Lease:          swap.Lease,
	}
	if record.CreateRevision == 0 {
		record.CreateRevision = at
	}
	s.records[swap.Key] = record
	return platform.Event{Record: record}, true
}

// publish appends events of one revision to the log and wakes the watches. The mutex is held.
func (s *Store) publish(at platform.Revision, events []platform.Event) {
	if len(events) == 0 {
		return
	}
	s.revision = at
	s.log = append(s.log, events...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter counts a call and applies the down and slow faults.
func (s *Store) enter(ctx context.Context, count func(*Calls)) error {
	s.mu.Lock()
	count(&s.calls)
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		return platform.ErrUnavailable.New("the service is down")
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
		return platform.ErrUnavailable.Wrap(ctx.Err(), "call")
	}
	return nil
}

// answerLost consumes one lost answer after a write. The mutex is held.
func (s *Store) answerLost(call string) error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return platform.ErrOutcomeUnknown.New("the answer to %s was lost", call)
}
