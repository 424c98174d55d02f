package fleet

import (
	"slices"
	"time"
)

const (
	// directMost is the number of gateways up to which each one reads the stores and the metadata store
	// itself: cache stores answer about a dozen calls for events at once, and each call is charged.
	directMost = 8
	// readersPerDomain is how many gateways of a failure domain read for the others in larger deployments.
	readersPerDomain = 2
)

// role says whether a gateway reads the stores itself.
type role struct {
	// reads tells that it does.
	reads bool
	// forOthers tells that others rely on it.
	forOthers bool
	// readers are the control addresses of the gateways that read for this one.
	readers []string
}

// currentRole returns this gateway's role; it may be called from any goroutine.
func (f *Fleet) currentRole() role { return *f.role.Load() }

// assignRole works out which gateways of the failure domain read for the others: those with the lowest
// names, so that all agree.
func (f *Fleet) assignRole(now time.Time) {
	if f.members.Count() <= directMost {
		f.role.Store(&role{reads: true})
		return
	}
	type candidate struct{ name, address string }
	candidates := []candidate{{f.Self.GetInstance(), f.Self.GetControlAddress()}}
	for _, member := range f.members.Live(now) {
		if member.GetFailureDomain() == f.Self.GetFailureDomain() && !member.Leaving {
			candidates = append(candidates, candidate{member.GetInstance(), member.GetControlAddress()})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	next := &role{}
	for _, c := range candidates[:min(readersPerDomain, len(candidates))] {
		if c.name == f.Self.GetInstance() {
			f.role.Store(&role{reads: true, forOthers: true})
			return
		}
		next.readers = append(next.readers, c.address)
	}
	f.role.Store(next)
}
