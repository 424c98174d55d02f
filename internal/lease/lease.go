// Package lease holds a key of the metadata store under a lease, so that only one process at a time performs a
// duty. The rollout of weights and the election of the leader among the gateways use it.
package lease

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// readTimeout bounds one read of the holder, and the release of a lease.
const readTimeout = 4 * time.Second

// Options configures a Lessor.
type Options struct {
	Key string
	// Owner must be unique for each run of a process.
	Owner string
	// TTL is how long the lease remains after the holder's last renewal.
	TTL time.Duration
	// Margin is how much earlier than the TTL the lease ends by the holder's own clock.
	Margin time.Duration
	// RenewInterval is the minimum time between two renewals.
	RenewInterval time.Duration
	// IsEarlierRun reports whether an owner is an earlier run of this process, which has ended: its lease is ended rather than
	// waited for. Nil stands for no owner.
	IsEarlierRun func(owner string) bool
	// Clock defaults to time.Now. Where the process can be suspended, it must advance during suspension.
	Clock func() time.Time
}

// Holding is a lease that this process holds.
type Holding struct {
	// Fence is the fencing token of the position at which the lease key was created. Later holders have higher ones.
	Fence uint64
	// Until is the time at which the holder must stop unless the lease is renewed.
	Until time.Time
	// FromEarlierRun is set if an earlier run of this process held the lease until this holding began.
	FromEarlierRun bool

	Lease     metastore.LeaseID
	renewedAt time.Time
}

// RenewedAt returns a time before the latest call that granted or renewed the lease.
func (h Holding) RenewedAt() time.Time { return h.renewedAt }

// Lessor acquires and renews one lease.
//
// Invariant: Holding.Until is computed from a time before the call that granted or renewed the lease, so it
// is earlier than the time at which the service expires the lease.
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

// Acquire tries once to become the holder. It returns ErrHeld when another process is the holder, and
// ErrUnavailable when a call to the store fails.
func (l *Lessor) Acquire(ctx context.Context) (Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, l.TTL-l.Margin)
	defer cancel()
	record, err := l.kv.Get(ctx, l.Key)
	exists := err == nil
	switch {
	case exists:
		if err := l.endEarlierRun(ctx, record); err != nil {
			return Holding{}, err
		}
	case !errorx.IsOfType(err, metastore.ErrNotFound):
		return Holding{}, ErrUnavailable.Wrap(err, "key %q cannot be read", l.Key)
	}
	start := l.Clock()
	lease, err := l.kv.Grant(ctx, l.TTL)
	if err != nil {
		return Holding{}, ErrUnavailable.Wrap(err, "cannot grant a lease for key %q", l.Key)
	}
	fence, err := l.create(ctx, lease)
	if err != nil {
		_ = l.kv.Revoke(ctx, lease)
		return Holding{}, err
	}
	return Holding{Fence: fence, Until: l.validUntil(start), FromEarlierRun: exists, Lease: lease, renewedAt: start}, nil
}

// endEarlierRun ends the lease of an earlier run of this process. It returns ErrHeld when another process is the holder.
func (l *Lessor) endEarlierRun(ctx context.Context, record metastore.Record) error {
	if owner := string(record.Value); owner == l.Owner || l.IsEarlierRun == nil || !l.IsEarlierRun(owner) {
		return ErrHeld.New("key %q exists", l.Key)
	}
	if err := l.kv.Revoke(ctx, record.Lease); err != nil && !errorx.IsOfType(err, metastore.ErrLeaseNotFound) {
		return ErrUnavailable.Wrap(err, "cannot end the lease of an earlier run for key %q", l.Key)
	}
	return nil
}

// create creates the key and returns its fencing token. If the response is lost, it reads the key to find out.
func (l *Lessor) create(ctx context.Context, lease metastore.LeaseID) (uint64, error) {
	result, err := l.kv.CompareAndSwap(ctx, metastore.Swap{Key: l.Key, Value: []byte(l.Owner), Lease: lease})
	switch {
	case err == nil && result.Swapped:
		return metastore.Position{Era: result.Era, Revision: result.Revision}.Fence(), nil
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
	return record.Created().Fence(), nil
}

// Renew renews a holding when that is due. It returns ErrLost when the lease has expired. While the
// service cannot be reached it returns the holding unchanged, until it ends by the holder's clock.
func (l *Lessor) Renew(ctx context.Context, holding Holding) (Holding, error) {
	start := l.Clock()
	if !start.Before(holding.Until) {
		return Holding{}, ErrLost.New("key %q: the lease ended before it was renewed", l.Key)
	}
	if start.Sub(holding.renewedAt) < l.RenewInterval {
		return holding, nil
	}
	ctx, cancel := context.WithTimeout(ctx, holding.Until.Sub(start))
	defer cancel()
	err := l.kv.KeepAlive(ctx, holding.Lease)
	if errorx.IsOfType(err, metastore.ErrLeaseNotFound) {
		return Holding{}, ErrLost.Wrap(err, "key %q", l.Key)
	}
	if err == nil {
		holding.renewedAt = start
		holding.Until = l.validUntil(start)
	}
	if !l.Clock().Before(holding.Until) {
		return Holding{}, ErrLost.New("key %q: the lease ended while it was renewed", l.Key)
	}
	return holding, nil
}

// Release revokes the lease of a holding. It ignores errors.
func (l *Lessor) Release(ctx context.Context, holding Holding) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_ = l.kv.Revoke(ctx, holding.Lease)
}

// ReadHolder returns the fencing token of the key's current holder, or 0 when there is none. It returns
// ErrUnavailable when the key cannot be read.
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
	return record.Created().Fence(), nil
}

func (l *Lessor) validUntil(start time.Time) time.Time { return start.Add(l.TTL - l.Margin) }
