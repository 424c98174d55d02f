package config

import (
	"maps"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

const (
	// earlierVersionTTL is how long after a change of a service's weight version new requests may run on
	// replicas that have not loaded the new version.
	earlierVersionTTL = 10 * time.Minute
	// maxEarlierVersions bounds the earlier versions kept per service.
	maxEarlierVersions = 3
)

// EarlierVersion is a weight version that was in force before the current one.
type EarlierVersion struct {
	WeightVersion string
	// Until is the time from which new requests must not use the version.
	Until time.Time
}

// EarlierVersions returns the earlier weight versions, latest first, that new requests of a service may
// still use at now on replicas that serve them. The result is empty unless the weight version changed
// within earlierVersionTTL, the time allowed for a rollout.
func (s *Snapshot) EarlierVersions(service string, now time.Time) []string {
	var versions []string
	for _, earlier := range s.earlier[service] {
		if now.Before(earlier.Until) {
			versions = append(versions, earlier.WeightVersion)
		}
	}
	return versions
}

// updateEarlier returns the earlier versions of each service when the configuration after replaces the
// snapshot before.
func updateEarlier(before *Snapshot, after *manifest.Index, now time.Time) map[string][]EarlierVersion {
	if before == nil {
		return nil
	}
	earlier := maps.Clone(before.earlier)
	if earlier == nil {
		earlier = make(map[string][]EarlierVersion)
	}
	for _, service := range after.Manifest().Services {
		previous, ok := before.Index.Service(service.Name)
		if !ok || previous.WeightVersion == "" || previous.WeightVersion == service.WeightVersion {
			continue
		}
		earlier[service.Name] = prepend(earlier[service.Name], EarlierVersion{
			WeightVersion: previous.WeightVersion,
			Until:         now.Add(earlierVersionTTL),
		}, service.WeightVersion)
	}
	return earlier
}

// prepend adds the latest earlier version at the front, and removes its duplicates and the version that is
// in force again.
func prepend(versions []EarlierVersion, latest EarlierVersion, inForce string) []EarlierVersion {
	kept := []EarlierVersion{latest}
	for _, version := range versions {
		if version.WeightVersion != inForce && version.WeightVersion != latest.WeightVersion {
			kept = append(kept, version)
		}
	}
	return slices.Clip(kept[:min(len(kept), maxEarlierVersions)])
}
