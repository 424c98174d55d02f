package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
)

// States of a failure domain in a Change.
const (
	domainCutState      = "domain_cut"
	domainRestoredState = "domain_restored"
)

// evaluateDomains finds the failure domains of a service in which most replicas fail while the other
// domains do not. When half of the domains or more appear cut, the fault is at this entry or
// everywhere, and no domain counts as cut.
func (t *Tracker) evaluateDomains(group []*replica) []Change {
	evaluated := make(map[string]int)
	failing := make(map[string]int)
	for _, r := range group {
		if r.sampleCount < 1 && !r.closed() {
			continue
		}
		evaluated[r.FailureDomain]++
		if r.closed() || r.errorShare() > t.config.ErrorMargin {
			failing[r.FailureDomain]++
		}
	}
	cut := make(map[string]bool)
	for domain, count := range evaluated {
		if count >= 2 && float64(failing[domain]) >= t.config.DomainShare*float64(count) {
			cut[domain] = true
		}
	}
	if 2*len(cut) >= len(evaluated) {
		clear(cut)
	}
	return t.setCut(group, cut)
}

// setCut records the cut domains of a service and returns the changes.
func (t *Tracker) setCut(group []*replica, cut map[string]bool) []Change {
	var changes []Change
	seen := make(map[string]bool)
	for _, r := range group {
		if seen[r.FailureDomain] {
			continue
		}
		seen[r.FailureDomain] = true
		key := domainKey{r.Service, r.FailureDomain}
		if t.cutDomains[key] == cut[r.FailureDomain] {
			continue
		}
		change := Change{Replica: Replica{Service: r.Service, FailureDomain: r.FailureDomain}}
		if cut[r.FailureDomain] {
			t.cutDomains[key] = true
			change.State = domainCutState
		} else {
			delete(t.cutDomains, key)
			change.State = domainRestoredState
		}
		changes = append(changes, change)
	}
	return changes
}

// ejectOutliers ejects outliers, worst first, within the cap of each failure domain.
func (t *Tracker) ejectOutliers(now time.Time, group []*replica) {
	peers := t.medians(group)
	if peers.count < t.config.MinPeers {
		return
	}
	var outliers []*replica
	for _, r := range group {
		if replicaChart.Label(r.state) == labelOpen && t.isOutlier(r, peers) {
			outliers = append(outliers, r)
		}
	}
	slices.SortStableFunc(outliers, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(b.errorShare(), a.errorShare()), cmp.Compare(b.ratio(), a.ratio()))
	})
	for _, r := range outliers {
		if t.mayEject(group, r) {
			t.startEjection(now, r, eventEject)
		}
	}
}

// medians holds the number of evaluated replicas of a service and their medians.
type medians struct {
	count      int
	errorShare float64
	ratio      float64
}

func (t *Tracker) medians(group []*replica) medians {
	var shares, ratios []float64
	for _, r := range group {
		if r.sampleCount < t.config.MinSamples {
			continue
		}
		shares = append(shares, r.errorShare())
		if r.ratioCount > 0 {
			ratios = append(ratios, r.ratio())
		}
	}
	return medians{count: len(shares), errorShare: median(shares), ratio: median(ratios)}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// isOutlier reports whether r performs far worse than the median of its peers.
func (t *Tracker) isOutlier(r *replica, peers medians) bool {
	if r.sampleCount < t.config.MinSamples {
		return false
	}
	if r.errorShare() > peers.errorShare+t.config.ErrorMargin {
		return true
	}
	return r.ratioCount >= t.config.MinSamples && peers.ratio > 0 && r.ratio() > t.config.SlowFactor*peers.ratio
}

// mayEject reports whether the cap of r's failure domain allows one more ejection. In a cut domain
// no replica is ejected, because placement avoids all its replicas.
func (t *Tracker) mayEject(group []*replica, r *replica) bool {
	if t.DomainCut(r.Service, r.FailureDomain) {
		return false
	}
	members, ejected := 0, 0
	for _, other := range group {
		if other.FailureDomain != r.FailureDomain {
			continue
		}
		members++
		if replicaChart.Label(other.state) != labelOpen {
			ejected++
		}
	}
	allowed := max(int(t.config.MaxEjectedShare*float64(members)), 1)
	return ejected < allowed && ejected+1 < max(members, 2)
}

// startEjection ejects r for a duration that doubles with each consecutive ejection.
func (t *Tracker) startEjection(now time.Time, r *replica, event chart.Event) {
	r.apply(event)
	length := min(t.config.BaseEjection<<min(r.ejections, 16), t.config.MaxEjection)
	r.ejections++
	r.ejectedUntil = now.Add(length)
}

// startDueTrial starts the trial of r when its ejection is over.
func (t *Tracker) startDueTrial(now time.Time, r *replica) {
	if !r.closed() || now.Before(r.ejectedUntil) {
		return
	}
	r.apply(eventElapse)
	r.resetSamples()
	r.trialsStarted, r.trialsPassed = 0, 0
	r.trialStart = now
}

func (r *replica) closed() bool { return replicaChart.Label(r.state) == labelClosed }

// apply applies an event that the chart allows or ignores in every state.
func (r *replica) apply(event chart.Event) {
	r.state, _ = replicaChart.Next(r.state, event)
}

// resetSamples drops all samples, so that earlier ones do not count in the new state.
func (r *replica) resetSamples() {
	r.sampleCount, r.failureCount, r.ratioSum, r.ratioCount = 0, 0, 0, 0
}

// decay reduces the weight of older samples according to the time since the last call.
func (r *replica) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(r.decayedAt)
	if r.decayedAt.IsZero() || elapsed < 0 {
		r.decayedAt = now
		return
	}
	if elapsed == 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	r.decayedAt = now
	r.sampleCount *= factor
	r.failureCount *= factor
	r.ratioSum *= factor
	r.ratioCount *= factor
}

func (r *replica) errorShare() float64 {
	if r.sampleCount == 0 {
		return 0
	}
	return r.failureCount / r.sampleCount
}

func (r *replica) ratio() float64 {
	if r.ratioCount == 0 {
		return 0
	}
	return r.ratioSum / r.ratioCount
}
