package claim

import (
	"context"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

const (
	// bucketLength groups keys by their time of creation; the claims of a group share a lease.
	bucketLength = time.Hour
	// leaseMargin is how long claims outlive MaxTTL: both clocks' skew and the confirmation.
	leaseMargin = 2*MaxClockSkew + 2*writeAllowance
)

// leases grants one lease for each bucket of keys and never renews it. The lease lasts until no
// entry accepts a key of the bucket any more; then the service deletes the bucket's claims.
type leases struct {
	kv metastore.KV

	mu       sync.Mutex
	byBucket map[int64]metastore.LeaseID
}

func newLeases(kv metastore.KV) *leases {
	return &leases{kv: kv, byBucket: make(map[int64]metastore.LeaseID)}
}

func bucketOf(created time.Time) int64 { return created.Unix() / int64(bucketLength/time.Second) }

// Returns when the claims of a bucket may vanish, by the clock that sets the lease.
func bucketEnd(bucket int64) time.Time {
	last := time.Unix((bucket+1)*int64(bucketLength/time.Second), 0)
	return last.Add(MaxTTL + leaseMargin)
}

// get returns the lease for keys that were created at a time, granting it when there is none.
func (l *leases) get(ctx context.Context, created, now time.Time) (metastore.LeaseID, error) {
	bucket := bucketOf(created)
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease, ok := l.byBucket[bucket]; ok {
		return lease, nil
	}
	l.dropPast(now)
	lease, err := l.kv.Grant(ctx, bucketEnd(bucket).Sub(now))
	if err != nil {
		return 0, err
	}
	l.byBucket[bucket] = lease
	return lease, nil
}

// dropPast forgets leases that have lapsed. The mutex is held.
func (l *leases) dropPast(now time.Time) {
	for bucket := range l.byBucket {
		if now.After(bucketEnd(bucket)) {
			delete(l.byBucket, bucket)
		}
	}
}

// reset forgets all leases, after the service no longer knew one of them.
func (l *leases) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.byBucket)
}
