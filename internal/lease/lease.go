// Package lease holds a key of the metadata store by a lease, so that one process at a time does a duty.
// The rollout of weights and the leader among the gateways use it.
package lease

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// readTimeout bounds one reading of the holder.
const readTimeout = 4 * time.Second

// Options say which key a Lessor holds and how.
type Options struct {
	Key string
	// Owner must be unique for each run of a process.
	Owner string
	// TTL is how long the lease outlives its holder.
	TTL time.Duration
	// Margin is taken off the lease's life by the holder's own clock.
	Margin time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// Clock defaults to time.Now. It must go on while the process is suspended where that can happen.
	Clock func() time.Time
}

// Holding is a lease that this process holds.
type Holding struct {
	// Fence is the create revision of the lease key.
	Fence uint64
	// Until is when the holder must stop unless the lease is renewed.
	Until time.Time

	Lease     metastore.LeaseID
	renewedAt time.Time
}

// Lessor acquires and renews one lease.
//
// Invariant: Until is counted from before the call that granted or renewed the lease, so it lies
// before the moment at which the service lets the lease lapse.
type Lessor struct {
	kv metastore.KV
	Options
}

// New returns a Lessor.
func New(kv metastore.KV, options Options) *Lessor {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	return &Lessor{kv: kv, Options: options}
}

// Acquire tries once to become the holder. It returns ErrHeld when another process is.
func (l *Lessor) Acquire(ctx context.Context) (Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, l.TTL-l.Margin)
	defer cancel()
	_, err := l.kv.Get(ctx, l.Key)
	if err == nil {
		return Holding{}, ErrHeld.New("key %q exists", l.Key)
	}
	if !errorx.IsOfType(err, metastore.ErrNotFound) {
		return Holding{}, ErrUnavailable.Wrap(err, "key %q cannot be read", l.Key)
	}
	began := l.Clock()
	lease, err := l.kv.Grant(ctx, l.TTL)
	if err != nil {
		return Holding{}, ErrUnavailable.Wrap(err, "no lease for key %q", l.Key)
	}
	fence, err := l.create(ctx, lease)
	if err != nil {
		_ = l.kv.Revoke(ctx, lease)
		return Holding{}, err
	}
	return Holding{Fence: fence, Until: l.validUntil(began), Lease: lease, renewedAt: began}, nil
}

// create creates the key and returns its create revision. A lost answer is resolved by reading.
func (l *Lessor) create(ctx context.Context, lease metastore.LeaseID) (uint64, error) {
	result, err := l.kv.CompareAndSwap(ctx, metastore.Swap{Key: l.Key, Value: []byte(l.Owner), Lease: lease})
	switch {
	case err == nil && result.Swapped:
		return uint64(result.Revision), nil
	case err == nil:
		return 0, ErrHeld.New("key %q was created by %q", l.Key, result.Current.Value)
	case !errorx.IsOfType(err, metastore.ErrOutcomeUnknown):
		return 0, ErrUnavailable.Wrap(err, "key %q cannot be created", l.Key)
	}
	record, err := l.kv.Get(ctx, l.Key)
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "key %q cannot be read", l.Key)
	}
	if string(record.Value) != l.Owner || record.Lease != lease {
		return 0, ErrHeld.New("key %q was created by %q", l.Key, record.Value)
	}
	return uint64(record.CreateRevision), nil
}

// Renew prolongs a holding when that is due. It returns ErrLost when the lease has lapsed. While
// the service cannot be reached the holding stays as it is, until it ends by the holder's clock.
func (l *Lessor) Renew(ctx context.Context, holding Holding) (Holding, error) {
	began := l.Clock()
	if !began.Before(holding.Until) {
		return Holding{}, ErrLost.New("key %q: the lease ended before it was renewed", l.Key)
	}
	if began.Sub(holding.renewedAt) < l.RenewEvery {
		return holding, nil
	}
	ctx, cancel := context.WithTimeout(ctx, holding.Until.Sub(began))
	defer cancel()
	err := l.kv.KeepAlive(ctx, holding.Lease)
	if errorx.IsOfType(err, metastore.ErrLeaseNotFound) {
		return Holding{}, ErrLost.Wrap(err, "key %q", l.Key)
	}
	if err == nil {
		holding.renewedAt = began
		holding.Until = l.validUntil(began)
	}
	if !l.Clock().Before(holding.Until) {
		return Holding{}, ErrLost.New("key %q: the lease ended while it was renewed", l.Key)
	}
	return holding, nil
}

// Release gives a holding up.
func (l *Lessor) Release(ctx context.Context, holding Holding) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_ = l.kv.Revoke(ctx, holding.Lease)
}

// ReadHolder returns the fencing number of the key's present holder, 0 when there is none.
func ReadHolder(ctx context.Context, kv metastore.KV, key string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	record, err := kv.Get(ctx, key)
	if errorx.IsOfType(err, metastore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "holder of %q cannot be read", key)
	}
	return uint64(record.CreateRevision), nil
}

func (l *Lessor) validUntil(granted time.Time) time.Time { return granted.Add(l.TTL - l.Margin) }
