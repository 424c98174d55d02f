package config

import (
	"maps"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

const (
	// earlierFor is how long after a change of its weight version a service's new requests may run
	// on replicas that have not loaded the new version.
	earlierFor = 10 * time.Minute
	// maxEarlier bounds the earlier versions of one service.
	maxEarlier = 3
)

// EarlierVersion is a weight version that was in force before the present one.
type EarlierVersion struct {
	WeightVersion string
	// Until is when new requests must no longer use it.
	Until time.Time
}

// EarlierVersions returns the weight versions, the latest first, that new requests of a service
// may use at now besides the one in force, each on replicas that still serve it. There are none
// but while a change of the weight version is being rolled out.
func (s *Snapshot) EarlierVersions(service string, now time.Time) []string {
	var versions []string
	for _, earlier := range s.earlier[service] {
		if now.Before(earlier.Until) {
			versions = append(versions, earlier.WeightVersion)
		}
	}
	return versions
}

// followEarlier returns the earlier versions after a configuration replaced the one before it.
func followEarlier(before *Snapshot, after *manifest.Index, now time.Time) map[string][]EarlierVersion {
	if before == nil {
		return nil
	}
	earlier := maps.Clone(before.earlier)
	if earlier == nil {
		earlier = make(map[string][]EarlierVersion)
	}
	for _, service := range after.Manifest().Services {
		was, ok := before.Index.Service(service.Name)
		if !ok || was.WeightVersion == "" || was.WeightVersion == service.WeightVersion {
			continue
		}
		earlier[service.Name] = prepend(earlier[service.Name], EarlierVersion{
			WeightVersion: was.WeightVersion,
			Until:         now.Add(earlierFor),
		}, service.WeightVersion)
	}
	return earlier
}

// prepend puts the latest earlier version in front and drops the one that is in force again.
func prepend(versions []EarlierVersion, latest EarlierVersion, inForce string) []EarlierVersion {
	kept := []EarlierVersion{latest}
	for _, version := range versions {
		if version.WeightVersion != inForce && version.WeightVersion != latest.WeightVersion {
			kept = append(kept, version)
		}
	}
	return slices.Clip(kept[:min(len(kept), maxEarlier)])
}
