package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// ownPrefix is the prefix of the system's own keys in the metadata store, peerPrefix that of the
	// gateways' announcements.
	ownPrefix  = "balsamyoke/"
	peerPrefix = ownPrefix + "gateways/"
	// peerLeaseTTL is the lifetime of an announcement, which is renewed three times in that time.
	peerLeaseTTL = 15 * time.Second
	// peerListInterval is the interval between two listings of the announcements, and peerListIntervalIndirect that of
	// gateways for which others read: by then heartbeats have introduced all gateways to each other.
	peerListInterval         = 10 * time.Second
	peerListIntervalIndirect = 30 * time.Second
	// announceRetry is the pause after a failed announcement.
	announceRetry = time.Second
	// restoredSpread is the time in which all gateways announce themselves again after the metadata store has lost
	// their announcements.
	restoredSpread = time.Second
)

// announce keeps this gateway's leased key in the metadata store and lists the keys of the others.
func (f *Fleet) announce(ctx context.Context) {
	var lease metastore.LeaseID
	listedAt := time.Time{}
	for ctx.Err() == nil {
		err := f.announceOnce(ctx, &lease)
		interval := peerListInterval
		if !f.currentRole().reads {
			interval = peerListIntervalIndirect
		}
		if err == nil && time.Since(listedAt) > interval {
			if err = f.listPeers(ctx); err == nil {
				listedAt = time.Now()
			}
		}
		if err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, eventlog.Error(err))
			lease = metastore.LeaseID{}
			sleep(ctx, announceRetry)
			continue
		}
		f.awaitAnnouncement(ctx)
	}
}

// awaitAnnouncement waits until the announcement must be renewed. After the metadata store has come back from a copy,
// that is within restoredSpread, at a random time so that not all gateways write at once.
func (f *Fleet) awaitAnnouncement(ctx context.Context) {
	timer := time.NewTimer(peerLeaseTTL / 3)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.restored:
		sleep(ctx, rand.N(restoredSpread))
	}
}

// announceOnce renews the lease, or writes the key under a new lease if there is none.
func (f *Fleet) announceOnce(ctx context.Context, lease *metastore.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	kv := f.Platform.Metastore
	f.Counters.StoreCalls.Inc(1)
	startedAt := bootclock.Now().UnixNano()
	if !lease.IsZero() {
		err := kv.KeepAlive(ctx, *lease)
		if err == nil {
			f.registeredAt.Store(startedAt)
		}
		return err
	}
	granted, err := kv.Grant(ctx, peerLeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(f.Self)
	if err != nil {
		return ErrPeer.Wrap(err, "cannot encode the announcement")
	}
	key := peerPrefix + f.Self.GetInstance()
	swap := metastore.Swap{Key: key, Value: value, Lease: granted}
	result, err := kv.CompareAndSwap(ctx, swap)
	if err == nil && !result.Swapped {
		// An earlier run of this gateway left the key, or this one did under an earlier lease.
		if f.registeredAt.Load() == 0 {
			era := int64(result.Current.Era)
			f.loop.Post(func() { f.earlierRunEra = era })
		}
		swap.Expect = result.Current.ModRevision
		result, err = kv.CompareAndSwap(ctx, swap)
	}
	if err != nil {
		return err
	}
	if !result.Swapped {
		return ErrPeer.New("key %q was changed by another writer", key)
	}
	*lease = granted
	f.registeredAt.Store(startedAt)
	return nil
}

// listPeers reads the system's own keys: the announcements of gateways and the times at which target weight
// versions were set.
func (f *Fleet) listPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.Counters.StoreCalls.Inc(1)
	listing, err := f.Platform.Metastore.Snapshot(ctx, ownPrefix)
	if err != nil {
		return err
	}
	f.loop.Post(func() {
		now := bootclock.Now()
		f.loadStored(listing.Records, now)
		for _, record := range listing.Records {
			if !strings.HasPrefix(record.Key, peerPrefix) {
				continue
			}
			peer := &wire.Peer{}
			if err := json.Unmarshal(record.Value, peer); err != nil {
				f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
				continue
			}
			f.members.Add(peer, now)
		}
		f.members.Listed()
		if !f.peersListed {
			f.peersListed = true
			f.assignRole(now)
		}
	})
	return nil
}
