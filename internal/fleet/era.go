package fleet

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/mirror"
)

// observeEra records the era of the metadata store in which changes under prefix were read. When a later era begins
// the store has lost its latest writes and all leases: what this gateway wrote is written again, and registrations
// that are missing may return.
func (f *Fleet) observeEra(prefix string, era metastore.Era, now time.Time) {
	if known := f.mirror.AsOf(prefix).Era; era > known && known > 0 && prefix == f.Platform.Documents.ServerPrefix() {
		f.registry.StoreRestored(now)
	}
	known := f.era.Load()
	if int64(era) <= known {
		return
	}
	f.era.Store(int64(era))
	f.eraSince = now
	if known == 0 {
		return
	}
	f.Log.Warn(EventStoreRestored, zap.Int64("era", int64(era)), zap.Int64("before", known), zap.String("prefix", prefix))
	select {
	case f.restored <- struct{}{}:
	default:
	}
}

// applyListing applies a listing of the metadata store and returns the keys that changed.
func (f *Fleet) applyListing(prefix string, listing metastore.Listing, now time.Time) []string {
	f.observeEra(prefix, listing.Era, now)
	return f.mirror.Replace(prefix, listing, now)
}

// applyUpdates applies the updates of another gateway and returns the keys that changed.
func (f *Fleet) applyUpdates(prefix string, updates mirror.Updates, now time.Time) []string {
	f.observeEra(prefix, updates.Era, now)
	return f.mirror.ApplyUpdates(prefix, updates, now)
}

// supersedes implements mirror.Supersedes. The operator's documents have versions, which never decrease, and aren't
// deleted, apart from evacuations: these have no version, and one that the store has lost would never end if its key were kept.
// What a registration says isn't ordered; the registry decides about those.
func (f *Fleet) supersedes(key string, known []byte, listed *metastore.Record) bool {
	if !strings.HasPrefix(key, f.Platform.Documents.OperatorPrefix()) || f.isEvacuation(key) {
		return false
	}
	if listed == nil {
		return true
	}
	before, err := f.Platform.Documents.Read(key, known)
	if err != nil {
		return false
	}
	after, err := f.Platform.Documents.Read(key, listed.Value)
	if err != nil {
		// The listed value is reported as unreadable when it is applied.
		return true
	}
	switch {
	case before.Configuration != nil && after.Configuration != nil:
		return before.Configuration.Version > after.Configuration.Version
	case before.Weights != nil && after.Weights != nil:
		return before.Weights.Version > after.Weights.Version
	default:
		return false
	}
}
