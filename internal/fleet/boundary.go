package fleet

import (
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/routing"
)

const (
	// configurationTTL is how long this gateway relies on its configuration after it was confirmed. It is longer than the metadata
	// store takes to respond to a waiting call.
	configurationTTL = 6 * time.Second
	// majorityTTL is how long this gateway counts as hearing a majority after that was checked. It is longer than evaluateInterval; only
	// a gateway that was frozen exceeds it.
	majorityTTL = time.Second
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

// confirmConfiguration records that the metadata store had no later configuration at a time than the one in force here.
func (f *Fleet) confirmConfiguration(at time.Time) {
	if ns := at.UnixNano(); ns > f.confirmedAt.Load() {
		f.confirmedAt.Store(ns)
	}
}

// confirmedBy returns the time as of which a reply of the metadata store has all changes. The store replies as soon as there are
// changes, which may have been at any time since the request; without any it replies at the end of the wait.
func confirmedBy(requestedAt time.Time, wait time.Duration, changed bool, now time.Time) time.Time {
	if end := requestedAt.Add(wait); !changed && !end.After(now) {
		return end
	}
	return requestedAt
}

// ConfigurationAge returns the time since the metadata store is known to have had no later configuration than the one in force here,
// and one hour before that is first known.
func (f *Fleet) ConfigurationAge() time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Hour
	}
	return bootclock.Now().Sub(time.Unix(0, at))
}

// IsConfigurationConfirmed reports whether this gateway may rely on what its configuration doesn't have: no other organisation is
// isolated, no other key or route exists. If the metadata store confirms the configuration of no gateway in a majority, it is taken to be
// down, so that nothing can change.
func (f *Fleet) IsConfigurationConfirmed() bool {
	if f.Table() == nil || f.behind.Load() {
		return false
	}
	return f.ConfigurationAge() <= configurationTTL || f.heardMajority()
}

// heardMajority reports whether this gateway has just heard a majority of the gateways, and none had a later configuration.
func (f *Fleet) heardMajority() bool {
	at := f.majorityAt.Load()
	return at != 0 && bootclock.Now().Sub(time.Unix(0, at)) <= majorityTTL
}

// CacheBoundary returns the cache isolation boundary of the requests of an organisation. While this gateway may not have the
// configuration in force, no organisation shares KV cache with others: one of them may have become isolated.
func (f *Fleet) CacheBoundary(organisation string) string {
	if !f.IsConfigurationConfirmed() {
		return routing.OwnBoundary(organisation)
	}
	return f.Table().CacheBoundary(organisation)
}

// updateLag updates whether this gateway is behind the configurations of others, and logs when its own is no longer confirmed.
func (f *Fleet) updateLag(now time.Time) {
	latest := int64(0)
	for _, member := range f.members.Live(now) {
		latest = max(latest, member.Configuration)
	}
	if latest <= f.configurationVersion() && f.members.HearsMajority(now, configurationTTL-majorityTTL) {
		f.majorityAt.Store(now.UnixNano())
	}
	behind := f.lag.observe(f.configurationVersion(), latest, now)
	if f.behind.Swap(behind) != behind {
		f.Log.Info(EventConfigurationLag, zap.Bool("behind", behind), zap.Int64("version", f.configurationVersion()), zap.Int64("latest", latest))
	}
	if confirmed := f.IsConfigurationConfirmed(); confirmed != f.confirmed {
		f.confirmed = confirmed
		f.Log.Info(EventConfigurationConfirmed, zap.Bool("confirmed", confirmed), zap.Int64("version", f.configurationVersion()),
			zap.Duration("age", f.ConfigurationAge()))
	}
}
