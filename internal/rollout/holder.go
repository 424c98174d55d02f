package rollout

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/lease"
	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// keyPrefix followed by the name of a service is the lease key.
	keyPrefix = "rollout/"
	// leaseTTL is the time from the last renewal of the lease to its expiry.
	leaseTTL = 6 * time.Second
	// leaseMargin is subtracted from the TTL when the holder checks the lease by its own clock.
	leaseMargin = time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 2 * time.Second
)

// Key returns the lease key of a service.
func Key(service string) string { return keyPrefix + service }

// NewLessor returns the Lessor of a service's rollout. The owner must be unique for each run of a process.
func NewLessor(kv metastore.KV, service, owner string) *lease.Lessor {
	return lease.New(kv, lease.Options{
		Key: Key(service), Owner: owner, TTL: leaseTTL, Margin: leaseMargin, RenewInterval: renewInterval,
	})
}

// ReadHolder returns the current holder's fencing token, 0 when there is none.
func ReadHolder(ctx context.Context, kv metastore.KV, service string) (uint64, error) {
	fence, err := lease.ReadHolder(ctx, kv, Key(service))
	if err != nil {
		return 0, ErrUnavailable.Wrap(err, "service %q", service)
	}
	return fence, nil
}
