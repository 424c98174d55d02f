package dispatch

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
)

// filter is a set of reasons for which a server gets no request, one bit each.
type filter uint32

// The filters in the order in which they are applied. filterUnreachable and those before it apply in every search pass, the others in
// all but passRelaxed. The last two are those of inPass.
const (
	filterDraining filter = 1 << iota
	filterLeaving
	filterReplaced
	filterBusy
	filterTried
	filterEvacuated
	filterSoftwareVersion
	filterMemory
	filterNoWeights
	filterOverdueWeights
	filterUnreachable
	filterSuspect
	filterLoading
	filterRefused
	filterHealth
	filterFull
	filterCold
	filterLimit
	endOfFilters
)

// everyPassFilters are the filters that no search pass ignores.
const everyPassFilters = filterUnreachable<<1 - 1 | filterCold | filterLimit

// filterNames are the names of the filters, as balsamctl shows them.
var filterNames = map[filter]string{
	filterDraining:        "draining",
	filterLeaving:         "leaving",
	filterReplaced:        "replaced",
	filterBusy:            "busy",
	filterTried:           "tried",
	filterEvacuated:       "evacuated",
	filterSoftwareVersion: "software_version",
	filterMemory:          "memory",
	filterNoWeights:       "no_weights",
	filterOverdueWeights:  "overdue_weights",
	filterUnreachable:     "unreachable",
	filterSuspect:         "suspect",
	filterLoading:         "excluded_for_weights",
	filterRefused:         "refused_recently",
	filterHealth:          "health",
	filterFull:            "full",
	filterCold:            "cold_without_grant",
	filterLimit:           "limit_without_grant",
}

// names returns the names of the filters of a set.
func (f filter) names() (names []string) {
	for one := filter(1); one < endOfFilters; one <<= 1 {
		if f&one != 0 {
			names = append(names, filterNames[one])
		}
	}
	return names
}

// filter returns the first filter, without the ignored ones, that excludes the server; 0 if there is none. When relaxed, only the
// filters of every pass apply. Those of inPass are not included.
func (d *Dispatcher) filter(now time.Time, r *Request, s *server, relaxed bool, ignored filter) filter {
	switch {
	case s.State != backend.Ready && ignored&filterDraining == 0:
		return filterDraining
	case s.leaving && ignored&filterLeaving == 0:
		return filterLeaving
	case s.replaced && ignored&filterReplaced == 0:
		return filterReplaced
	case now.Before(s.busyUntil) && ignored&filterBusy == 0:
		return filterBusy
	case slices.Contains(r.Tried, s.ID) && ignored&filterTried == 0:
		return filterTried
	case d.isEvacuated(s) && ignored&filterEvacuated == 0:
		return filterEvacuated
	case !s.canContinue(now, r) && ignored&filterSoftwareVersion == 0:
		return filterSoftwareVersion
	case !d.hasMemoryFor(r, s) && ignored&filterMemory == 0:
		return filterMemory
	case r.Model != "" && ignored&(filterNoWeights|filterOverdueWeights) == 0 && !d.hasWeights(now, r, s):
		if version := s.weightVersion[r.Model]; version == 0 || version < r.MinVersion {
			return filterNoWeights
		}
		return filterOverdueWeights
	case now.Before(s.suspectUntil) && s.unreachableCount > 1 && ignored&filterUnreachable == 0:
		return filterUnreachable
	case relaxed:
		return 0
	case now.Before(s.suspectUntil) && ignored&filterSuspect == 0:
		return filterSuspect
	case now.Before(s.excludedUntil) && ignored&filterLoading == 0:
		return filterLoading
	case now.Before(s.refusedUntil) && ignored&filterRefused == 0:
		return filterRefused
	case ignored&filterHealth == 0 && !d.health.Usable(now, s.ID):
		return filterHealth
	case ignored&filterFull == 0 && d.full(r, s):
		return filterFull
	default:
		return 0
	}
}

// filters returns all filters that exclude the server from the passes other than passRelaxed.
func (d *Dispatcher) filters(now time.Time, r *Request, s *server) (all filter) {
	for {
		next := d.filter(now, r, s, false, all)
		if next == 0 {
			break
		}
		all |= next
	}
	if d.isColdWithoutGrant(now, r, s) {
		all |= filterCold
	}
	if s.limit.stated && !d.mayBeGranted(now, s) {
		all |= filterLimit
	}
	return all
}

// isColdWithoutGrant reports whether a server is cold and there is no grant for it, nor may its owner be asked.
func (d *Dispatcher) isColdWithoutGrant(now time.Time, r *Request, s *server) bool {
	return d.isCold(now, s) && !d.coldCandidate(now, r, s)
}
