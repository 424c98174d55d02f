package fleet

import (
	"slices"
	"time"
)

const (
	// maxDirectGateways is the largest number of gateways at which each one reads the cache stores and the
	// metadata store itself. Cache stores serve about a dozen calls for events at once, and each call is charged.
	maxDirectGateways = 8
	// readersPerDomain is how many gateways of a failure domain read for the others in larger deployments.
	readersPerDomain = 2
)

// role defines whether a gateway reads the stores itself or through other gateways.
type role struct {
	// reads reports whether the gateway reads the stores itself.
	reads bool
	// starting is set until the gateway knows how many others there may be. It then reads the metadata store only: if all
	// gateways start at once, the cache stores can't serve them all.
	starting bool
	// forOthers reports whether other gateways read through it.
	forOthers bool
	// readers are the control addresses of the gateways that read for this one.
	readers []string
	// readerBeats are their heartbeat addresses.
	readerBeats []string
	// indirect is the number of gateways of the failure domain for which others read.
	indirect int
}

// indirectPollInterval returns the time between two calls by which a gateway for which others read polls the metadata
// store itself.
func (r role) indirectPollInterval() time.Duration {
	return min(max(indirectPollInterval, time.Duration(r.indirect)*indirectPollSpacing), maxIndirectPollInterval)
}

// currentRole returns this gateway's role; it may be called from any goroutine.
func (f *Fleet) currentRole() role { return *f.role.Load() }

// startTimeout is how long a gateway that starts waits for the listing of the others.
const startTimeout = 600 * time.Millisecond

// assignRole determines which gateways of the failure domain read for the others. These are the gateways with the
// lowest names, so that all gateways choose the same ones.
func (f *Fleet) assignRole(now time.Time) {
	if f.currentRole().starting && !f.peersListed && now.Sub(f.startedAt) < startTimeout {
		return
	}
	if f.members.Count() <= maxDirectGateways {
		f.role.Store(&role{reads: true})
		return
	}
	type candidate struct{ name, control, beats string }
	candidates := []candidate{{f.Self.GetInstance(), f.Self.GetControlAddress(), f.Self.GetBeatAddress()}}
	for _, member := range f.members.Expected(now) {
		if member.GetFailureDomain() == f.Self.GetFailureDomain() && !member.Leaving {
			candidates = append(candidates, candidate{member.GetInstance(), member.GetControlAddress(), member.GetBeatAddress()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	next := &role{indirect: max(0, len(candidates)-readersPerDomain)}
	for _, c := range candidates[:min(readersPerDomain, len(candidates))] {
		if c.name == f.Self.GetInstance() {
			f.role.Store(&role{reads: true, forOthers: true})
			return
		}
		next.readers, next.readerBeats = append(next.readers, c.control), append(next.readerBeats, c.beats)
	}
	f.role.Store(next)
}
