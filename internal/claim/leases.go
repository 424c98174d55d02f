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
	// leaseMargin is how much longer than MaxTTL claims are stored. It allows for the skew of both clocks
	// and for late confirmation.
	leaseMargin = 2*MaxClockSkew + 2*writeAllowance
)

// leases grants one lease for each bucket of keys and never renews it. The lease lasts until no entry
// accepts a key of the bucket; when it expires, the service deletes the bucket's claims.
type leases struct {
	kv metastore.KV

	mu       sync.Mutex
	byBucket map[int64]metastore.LeaseID
}

func newLeases(kv metastore.KV) *leases {
	return &leases{kv: kv, byBucket: make(map[int64]metastore.LeaseID)}
}

func bucketOf(created time.Time) int64 { return created.Unix() / int64(bucketLength/time.Second) }

// bucketEnd returns when the lease of a bucket expires, by the clock of the entry that grants it.
func bucketEnd(bucket int64) time.Time {
	last := time.Unix((bucket+1)*int64(bucketLength/time.Second), 0)
	return last.Add(MaxTTL + leaseMargin)
}

// get returns the lease for keys that were created at the given time. It grants one when there is none.
func (l *leases) get(ctx context.Context, created, now time.Time) (metastore.LeaseID, error) {
	bucket := bucketOf(created)
	l.mu.Lock()
	defer l.mu.Unlock()
	if lease, ok := l.byBucket[bucket]; ok {
		return lease, nil
	}
	l.dropExpired(now)
	lease, err := l.kv.Grant(ctx, bucketEnd(bucket).Sub(now))
	if err != nil {
		return metastore.LeaseID{}, err
	}
	l.byBucket[bucket] = lease
	return lease, nil
}

// dropExpired removes expired leases. The caller must hold the mutex.
func (l *leases) dropExpired(now time.Time) {
	for bucket := range l.byBucket {
		if now.After(bucketEnd(bucket)) {
			delete(l.byBucket, bucket)
		}
	}
}

// reset removes all leases, after the service has reported that one does not exist.
func (l *leases) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.byBucket)
}
