package fleet

import (
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// maxSharingContactAge is the age of the latest update from which on this gateway may not know who is isolated. It is longer
	// than the metadata store takes to respond to a waiting call.
	maxSharingContactAge = 6 * time.Second
	// maxConfigurationLag is how long another gateway may have a later configuration until this one counts as behind. One that
	// reaches the metadata store or another gateway has it earlier.
	maxConfigurationLag = time.Second
)

// configurationLag is how long this gateway has known of a later configuration than its own.
type configurationLag struct {
	// version is a later configuration that another gateway reports; 0 for none.
	version int64
	since   time.Time
}

// observe records this gateway's version and the latest one of the others. It reports whether this gateway is behind.
func (l *configurationLag) observe(own, latest int64, now time.Time) bool {
	if l.version <= own {
		l.version, l.since = 0, now
		if latest > own {
			l.version = latest
		}
	}
	return l.version > own && now.Sub(l.since) >= maxConfigurationLag
}

// CacheBoundary returns the cache isolation boundary of the requests of an organisation. While this gateway may not have the
// configuration in force, no organisation shares KV cache with others: one of them may have become isolated.
func (f *Fleet) CacheBoundary(organisation string) string {
	table := f.Table()
	if table == nil || f.behind.Load() || f.ContactAge() > maxSharingContactAge {
		return routing.OwnBoundary(organisation)
	}
	return table.CacheBoundary(organisation)
}

// updateLag updates whether this gateway is behind the configurations of others.
func (f *Fleet) updateLag(now time.Time) {
	latest := int64(0)
	for _, member := range f.members.Live(now) {
		latest = max(latest, member.Configuration)
	}
	behind := f.lag.observe(f.configurationVersion(), latest, now)
	if f.behind.Swap(behind) != behind {
		f.Log.Info(EventConfigurationLag, zap.Bool("behind", behind), zap.Int64("version", f.configurationVersion()), zap.Int64("latest", latest))
	}
}
