package rollout

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// keyPrefix and the name of a service make the lease key.
	keyPrefix = "rollout/"
	// leaseTTL is how long the lease outlives its holder.
	leaseTTL = 6 * time.Second
	// leaseMargin is taken off the lease's life by the holder's own clock.
	leaseMargin = time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Second
	// serviceTimeout bounds one reading of the holder, acquireTimeout one try at the lease.
	serviceTimeout = 4 * time.Second
	acquireTimeout = leaseTTL - leaseMargin
)

// Key returns the lease key of a service.
func Key(service string) string { return keyPrefix + service }

// Holding is a lease that this process holds.
type Holding struct {
	// Fence is the create revision of the lease key.
	Fence uint64
	// Until is when the holder must stop unless the lease is renewed.
	Until time.Time

	lease     metastore.LeaseID
	renewedAt time.Time
}

// Lessor acquires and renews the rollout lease of one service.
//
// Invariant: Until is counted from before the call that granted or renewed the lease, so it lies
// before the moment at which the service lets the lease lapse.
type Lessor struct {
	kv    metastore.KV
	key   string
	owner string
	clock func() time.Time
}

// NewLessor returns a Lessor. Owner must be unique for each run of a process.
func NewLessor(kv metastore.KV, service, owner string) *Lessor {
	return &Lessor{kv: kv, key: Key(service), owner: owner, clock: time.Now}
}

// Acquire tries once to become the holder. It returns ErrHeld when another process is.
func (l *Lessor) Acquire(ctx context.Context) (Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	_, err := l.kv.Get(ctx, l.key)
	if err == nil {
		return Holding{}, ErrHeld.New("key %q exists", l.key)
	}
	if !errorx.IsOfType(err, metastore.ErrNotFound) {
		return Holding{}, ErrUnavailable.Wrap(err, "key %q cannot be read", l.key)
	}
	began := l.clock()
	lease, err := l.kv.Grant(ctx, leaseTTL)
	if err != nil {
		return Holding{}, ErrUnavailable.Wrap(err, "no lease for key %q", l.key)
	}
	fence, err := l.create(ctx, lease)
	if err != nil {
		_ = l.kv.Revoke(ctx, lease)
		return Holding{}, err
	}
	return Holding{Fence: fence, Until: validUntil(began), lease: lease, renewedAt: began}, nil
}

// create creates the key and returns its create revision. A lost answer is resolved by reading.
func (l *Lessor) create(ctx context.Context, lease metastore.LeaseID) (uint64, error) {
	result, err := l.kv.CompareAndSwap(ctx, metastore.Swap{Key: l.key, Value: []byte(l.owner), Lease: lease})
	switch {
	case err == nil && result.Swapped:
		return uint64(result.Revision), nil
	case err == nil:
		return 0, ErrHeld.New("key %q was created by %q", l.key, result.Current.Value)
	case !errorx.IsOfType(err, metastore.ErrOutcomeUnknown):
		return 0, ErrUnavailable.Wrap(err, "key %q cannot be created", l.key)
	}
	record, err := l.kv.Get(ctx, l.key)
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "key %q cannot be read", l.key)
	}
	if string(record.Value) != l.owner || record.Lease != lease {
		return 0, ErrHeld.New("key %q was created by %q", l.key, record.Value)
	}
	return uint64(record.CreateRevision), nil
}

// Renew prolongs a holding when that is due. It returns ErrLost when the lease has lapsed. While
// the service cannot be reached the holding stays as it is, until it ends by the holder's clock.
func (l *Lessor) Renew(ctx context.Context, holding Holding) (Holding, error) {
	began := l.clock()
	if !began.Before(holding.Until) {
		return Holding{}, ErrLost.New("key %q: the lease ended before it was renewed", l.key)
	}
	if began.Sub(holding.renewedAt) < renewInterval {
		return holding, nil
	}
	ctx, cancel := context.WithTimeout(ctx, holding.Until.Sub(began))
	defer cancel()
	err := l.kv.KeepAlive(ctx, holding.lease)
	if errorx.IsOfType(err, metastore.ErrLeaseNotFound) {
		return Holding{}, ErrLost.Wrap(err, "key %q", l.key)
	}
	if err == nil {
		holding.renewedAt = began
		holding.Until = validUntil(began)
	}
	if !l.clock().Before(holding.Until) {
		return Holding{}, ErrLost.New("key %q: the lease ended while it was renewed", l.key)
	}
	return holding, nil
}

// Release gives a holding up.
func (l *Lessor) Release(ctx context.Context, holding Holding) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	_ = l.kv.Revoke(ctx, holding.lease)
}

// ReadHolder returns the current holder's fencing number, 0 when there is none.
func ReadHolder(ctx context.Context, kv metastore.KV, service string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	record, err := kv.Get(ctx, Key(service))
	if errorx.IsOfType(err, metastore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "holder of %q cannot be read", service)
	}
	return uint64(record.CreateRevision), nil
}

func validUntil(granted time.Time) time.Time { return granted.Add(leaseTTL - leaseMargin) }
