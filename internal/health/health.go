// Package health ejects replicas that perform worse than comparable ones, so that an entry sends
// them no requests. It uses only the errors, timeouts and service times of requests. A replica is
// ejected for a time and then tested with a few trial requests. When most replicas of a failure
// domain fail, the domain is reported as cut instead of its single replicas, and a fault that all
// replicas share ejects none. The entry's control goroutine calls the package, which starts no
// goroutines and takes no locks.
package health

import (
	"cmp"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
)

// Config holds the limits by which replicas are ejected.
type Config struct {
	// MinSamples is the number of recent requests that a replica needs to be evaluated.
	MinSamples float64
	// HalfLife is the time after which a sample counts half as much.
	HalfLife time.Duration
	// ErrorMargin is how far a replica's share of failed requests must exceed its peers' median.
	ErrorMargin float64
	// SlowFactor is the multiple of the peers' median service time ratio above which a replica is too slow.
	SlowFactor float64
	// MinPeers is the number of comparable replicas that an evaluation needs, the evaluated one included.
	MinPeers int
	// MaxEjectedShare bounds the ejected replicas of a service in one failure domain. One replica
	// may always be ejected when the domain has another.
	MaxEjectedShare float64
	// DomainShare is the share of a domain's evaluated replicas that must fail for the domain to count as cut.
	DomainShare float64
	// BaseEjection is the duration of a first ejection. It doubles with each consecutive one up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// TrialRequests is the number of trial requests that must succeed before a replica is healthy again.
	TrialRequests int
}

// DefaultConfig returns the limits for an entry that uses a subset of the replicas.
func DefaultConfig() Config {
	return Config{
		MinSamples:      5,
		HalfLife:        10 * time.Second,
		ErrorMargin:     0.4,
		SlowFactor:      3,
		MinPeers:        3,
		MaxEjectedShare: 0.3,
		DomainShare:     0.7,
		BaseEjection:    2 * time.Second,
		MaxEjection:     2 * time.Minute,
		TrialRequests:   3,
	}
}

// maxRatioFactor bounds the ratio of one request, as a multiple of Config.SlowFactor, because a caller
// that reads slowly makes its request long on any replica.
const maxRatioFactor = 2

// Replica identifies a replica and the service and failure domain in which it is compared.
type Replica struct {
	ID            string
	Service       string
	FailureDomain string
}

// Sample is the result of one request at a replica.
type Sample struct {
	// Failed is true after an error of the replica, a lost connection or a timeout. A refusal is not
	// a failure, because a replica with a full queue is not an outlier.
	Failed bool
	// Ratio is the service time without queueing divided by the time predicted for the request. It
	// is zero when not known.
	Ratio float64
}

// Tracker evaluates the replicas that an entry uses. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	replicas map[string]*replica
	// cutDomains holds the failure domains that are cut for a service: most of their replicas fail.
	cutDomains map[domainKey]bool
	// sortedGroups caches the result of groupByService. It is nil after a change of membership.
	sortedGroups [][]*replica
}

type domainKey struct {
	service string
	domain  string
}

// replica is the tracker's record of one replica.
type replica struct {
	Replica
	state         chart.State
	reported      chart.State // state at the end of the last Evaluate
	sampleCount   float64     // decayed count
	failureCount  float64     // decayed count
	ratioSum      float64     // decayed sum of service time ratios
	ratioCount    float64     // decayed count of samples with a ratio
	decayedAt     time.Time
	ejectedUntil  time.Time // end of the ejection
	ejections     int       // consecutive ejections
	trialsStarted int       // trial requests that were allowed
	trialsPassed  int       // trial requests that succeeded
	trialStart    time.Time // start of the trial
}

// New returns a Tracker without replicas.
func New(config Config) *Tracker {
	return &Tracker{config: config, replicas: make(map[string]*replica), cutDomains: make(map[domainKey]bool)}
}

// Add starts to track a replica. An unchanged replica that is already tracked keeps its record.
func (t *Tracker) Add(r Replica) {
	if existing := t.replicas[r.ID]; existing != nil && existing.Replica == r {
		return
	}
	t.replicas[r.ID] = &replica{Replica: r, state: replicaChart.Initial(), reported: replicaChart.Initial()}
	t.sortedGroups = nil
}

// Remove stops tracking a replica.
func (t *Tracker) Remove(id string) {
	delete(t.replicas, id)
	t.sortedGroups = nil
}

// Record adds the result of one request. It ignores replicas that are not tracked.
func (t *Tracker) Record(now time.Time, id string, s Sample) {
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.decay(now, t.config.HalfLife)
	r.sampleCount++
	if s.Failed {
		r.failureCount++
	} else if s.Ratio > 0 {
		r.ratioSum += min(s.Ratio, maxRatioFactor*t.config.SlowFactor)
		r.ratioCount++
	}
	if replicaChart.Label(r.state) == labelLimited {
		t.recordTrial(now, r, s)
	}
}

// recordTrial counts the result of a trial request. The first failure ejects the replica again.
func (t *Tracker) recordTrial(now time.Time, r *replica, s Sample) {
	if s.Failed {
		t.startEjection(now, r, eventFail)
		return
	}
	r.trialsPassed++
	if r.trialsPassed >= t.config.TrialRequests {
		r.apply(eventPass)
		r.ejections = 0
		r.resetSamples()
	}
}

// Allow reports whether a request may go to the replica now. It counts trial requests, so it must
// be called only for the replica that was chosen for the request.
func (t *Tracker) Allow(now time.Time, id string) bool {
	r := t.replicas[id]
	if r == nil {
		return true
	}
	t.startDueTrial(now, r)
	switch replicaChart.Label(r.state) {
	case labelOpen:
		return true
	case labelLimited:
		return t.startTrialRequest(now, r)
	default:
		return false
	}
}

// startTrialRequest reports whether a trial request may start, and counts it. Trial requests whose
// result is not recorded within another BaseEjection are replaced.
func (t *Tracker) startTrialRequest(now time.Time, r *replica) bool {
	if t.trialsOverdue(now, r) {
		r.trialStart = now
		r.trialsStarted = r.trialsPassed
	}
	if r.trialsStarted >= t.config.TrialRequests {
		return false
	}
	r.trialsStarted++
	return true
}

// Usable reports whether Allow would return true, without counting a trial request.
func (t *Tracker) Usable(now time.Time, id string) bool {
	r := t.replicas[id]
	if r == nil {
		return true
	}
	switch replicaChart.Label(r.state) {
	case labelOpen:
		return true
	case labelLimited:
		return r.trialsStarted < t.config.TrialRequests || t.trialsOverdue(now, r)
	default:
		return !now.Before(r.ejectedUntil)
	}
}

// trialsOverdue reports whether the results of trial requests are overdue.
func (t *Tracker) trialsOverdue(now time.Time, r *replica) bool {
	return now.Sub(r.trialStart) >= t.config.BaseEjection
}

// DomainCut reports whether a failure domain is cut for a service, as found by the last Evaluate.
func (t *Tracker) DomainCut(service, domain string) bool {
	return t.cutDomains[domainKey{service, domain}]
}

// Change is a state change of one replica or, when ID is empty, of a failure domain.
type Change struct {
	Replica
	State string
}

// Evaluate ejects outliers, detects cut failure domains and returns the changes since the last call. The
// control goroutine calls it about once a second.
func (t *Tracker) Evaluate(now time.Time) []Change {
	var changes []Change
	for _, group := range t.decayedGroups(now) {
		changes = append(changes, t.evaluateDomains(group)...)
		t.ejectOutliers(now, group)
		changes = append(changes, unreportedChanges(group)...)
	}
	return changes
}

// unreportedChanges returns the state changes since the last call and marks them as reported.
func unreportedChanges(group []*replica) []Change {
	var changes []Change
	for _, r := range group {
		if r.state != r.reported {
			r.reported = r.state
			changes = append(changes, Change{Replica: r.Replica, State: replicaChart.StateName(r.state)})
		}
	}
	return changes
}

// decayedGroups returns the replicas by service in a fixed order. It decays their samples to now and
// starts trials that are due.
func (t *Tracker) decayedGroups(now time.Time) [][]*replica {
	if t.sortedGroups == nil {
		t.sortedGroups = t.groupByService()
	}
	for _, group := range t.sortedGroups {
		for _, r := range group {
			r.decay(now, t.config.HalfLife)
			t.startDueTrial(now, r)
		}
	}
	return t.sortedGroups
}

// groupByService returns the replicas of each service, sorted by service and id.
func (t *Tracker) groupByService() [][]*replica {
	byService := make(map[string][]*replica)
	for _, r := range t.replicas {
		byService[r.Service] = append(byService[r.Service], r)
	}
	groups := make([][]*replica, 0, len(byService))
	for _, group := range byService {
		slices.SortFunc(group, func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b []*replica) int { return cmp.Compare(a[0].Service, b[0].Service) })
	return groups
}
