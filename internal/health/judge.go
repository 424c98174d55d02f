package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
)

// domainCutState is the state that a Change shows for a failure domain.
const (
	domainCutState      = "domain_cut"
	domainRestoredState = "domain_restored"
)

// judgeDomains finds the failure domains in which most replicas fail while the others do not. When
// half of the domains or more look cut, the fault is on this side or everywhere and none is.
func (t *Tracker) judgeDomains(group []*replica) []Change {
	judged := make(map[string]int)
	failing := make(map[string]int)
	for _, r := range group {
		if r.samples < 1 && !r.closed() {
			continue
		}
		judged[r.FailureDomain]++
		if r.closed() || r.errorShare() > t.config.ErrorMargin {
			failing[r.FailureDomain]++
		}
	}
	looksCut := make(map[string]bool)
	for domain, count := range judged {
		if count >= 2 && float64(failing[domain]) >= t.config.DomainShare*float64(count) {
			looksCut[domain] = true
		}
	}
	if 2*len(looksCut) >= len(judged) {
		clear(looksCut)
	}
	return t.setCut(group, looksCut)
}

// setCut records the cut domains of a service.
func (t *Tracker) setCut(group []*replica, looksCut map[string]bool) []Change {
	var changes []Change
	seen := make(map[string]bool)
	for _, r := range group {
		if seen[r.FailureDomain] {
			continue
		}
		seen[r.FailureDomain] = true
		key := domainKey{r.Service, r.FailureDomain}
		if t.cut[key] == looksCut[r.FailureDomain] {
			continue
		}
		change := Change{Replica: Replica{Service: r.Service, FailureDomain: r.FailureDomain}}
		if looksCut[r.FailureDomain] {
			t.cut[key] = true
			change.State = domainCutState
		} else {
			delete(t.cut, key)
			change.State = domainRestoredState
		}
		changes = append(changes, change)
	}
	return changes
}

// judgeReplicas ejects outliers, worst first, within the cap of each failure domain.
func (t *Tracker) judgeReplicas(now time.Time, group []*replica) {
	peers := t.medians(group)
	if peers.count < t.config.MinPeers {
		return
	}
	var outliers []*replica
	for _, r := range group {
		if replicaChart.Label(r.state) == labelOpen && t.outlier(r, peers) {
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

// medians describes the judged replicas of a service.
type medians struct {
	count      int
	errorShare float64
	ratio      float64
}

func (t *Tracker) medians(group []*replica) medians {
	var shares, ratios []float64
	for _, r := range group {
		if r.samples < t.config.MinSamples {
			continue
		}
		shares = append(shares, r.errorShare())
		if r.timed > 0 {
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

// outlier reports whether r does far worse than the median of its peers.
func (t *Tracker) outlier(r *replica, peers medians) bool {
	if r.samples < t.config.MinSamples {
		return false
	}
	if r.errorShare() > peers.errorShare+t.config.ErrorMargin {
		return true
	}
	return r.timed >= t.config.MinSamples && peers.ratio > 0 && r.ratio() > t.config.SlowFactor*peers.ratio
}

// mayEject reports whether the cap of r's failure domain allows one more ejection. A cut domain
// needs none: it is avoided as a whole.
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

// startEjection ejects r for a time that doubles with each ejection in a row.
func (t *Tracker) startEjection(now time.Time, r *replica, event chart.Event) {
	r.fire(event)
	length := min(t.config.BaseEjection<<min(r.times, 16), t.config.MaxEjection)
	r.times++
	r.until = now.Add(length)
}

// elapse starts the trial of a replica whose ejection is over.
func (t *Tracker) elapse(now time.Time, r *replica) {
	if !r.closed() || now.Before(r.until) {
		return
	}
	r.fire(eventElapse)
	r.forget()
	r.trials, r.passed = 0, 0
	r.since = now
}

func (r *replica) closed() bool { return replicaChart.Label(r.state) == labelClosed }

// fire applies an event that the chart allows or ignores in every state.
func (r *replica) fire(event chart.Event) {
	r.state, _ = replicaChart.Next(r.state, event)
}

// forget drops the samples of the time before.
func (r *replica) forget() {
	r.samples, r.failures, r.ratios, r.timed = 0, 0, 0, 0
}

// decay weighs older samples down.
func (r *replica) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(r.decayed)
	if r.decayed.IsZero() || elapsed < 0 {
		r.decayed = now
		return
	}
	if elapsed == 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	r.decayed = now
	r.samples *= factor
	r.failures *= factor
	r.ratios *= factor
	r.timed *= factor
}

func (r *replica) errorShare() float64 {
	if r.samples == 0 {
		return 0
	}
	return r.failures / r.samples
}

func (r *replica) ratio() float64 {
	if r.timed == 0 {
		return 0
	}
	return r.ratios / r.timed
}
