// Package health decides which replicas an entry leaves out because they do worse than comparable
// ones. Errors, timeouts and service times of requests are its only evidence. A replica is ejected
// for a time, then tried with a few requests. A failure domain that fails as a whole is told apart
// from single replicas, and a fault that all replicas share ejects none. The entry's control
// goroutine calls it; the package starts no goroutines and takes no locks.
package health

import (
	"cmp"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
)

// Config sets when replicas are ejected.
type Config struct {
	// MinSamples is how many recent requests a judgement needs.
	MinSamples float64
	// HalfLife is the time after which a sample counts half.
	HalfLife time.Duration
	// ErrorMargin is how far the share of failed requests must exceed that of the peers' median.
	ErrorMargin float64
	// SlowFactor is how many times the peers' median service time is too slow.
	SlowFactor float64
	// MinPeers is how many comparable replicas a judgement needs, the judged one included.
	MinPeers int
	// MaxEjectedShare bounds the ejected replicas of a service in one failure domain. One replica
	// may always be ejected when the domain has another.
	MaxEjectedShare float64
	// DomainShare is the share of a domain's judged replicas that must fail for a cut domain.
	DomainShare float64
	// BaseEjection is the length of a first ejection; it doubles up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// TrialRequests is how many requests must succeed before a replica is healthy again.
	TrialRequests int
}

// DefaultConfig returns the limits for an entry that asks a subset of the replicas.
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

// ratioCap bounds what one request counts, as a multiple of Config.SlowFactor: a caller that reads
// slowly makes its request long on any replica.
const ratioCap = 2

// Replica names a replica and what it is comparable with.
type Replica struct {
	ID            string
	Service       string
	FailureDomain string
}

// Sample is the end of one request at a replica.
type Sample struct {
	// Failed is true after an error of the replica, a lost connection or a timeout. A refusal is
	// no failure: a full queue is not an outlier.
	Failed bool
	// Ratio is the service time, queueing excluded, over the time that was predicted for the
	// request. Zero when it is not known.
	Ratio float64
}

// Tracker judges the replicas that an entry uses.
type Tracker struct {
	config   Config
	replicas map[string]*replica
	// cut holds the failure domains, by service, that fail as a whole.
	cut map[domainKey]bool
	// ordered holds the replicas by service and name; nil after a change of membership.
	ordered [][]*replica
}

type domainKey struct {
	service string
	domain  string
}

// replica is what the tracker knows about one replica.
type replica struct {
	Replica
	state    chart.State
	reported chart.State // state at the end of the last Evaluate
	samples  float64     // decayed count
	failures float64     // decayed count
	ratios   float64     // decayed sum of service time ratios
	timed    float64     // decayed count of samples with a ratio
	decayed  time.Time
	until    time.Time // end of the ejection
	times    int       // ejections in a row
	trials   int       // trial requests let through
	passed   int       // trial requests that succeeded
	since    time.Time // start of the trial
}

// New returns a Tracker without replicas.
func New(config Config) *Tracker {
	return &Tracker{config: config, replicas: make(map[string]*replica), cut: make(map[domainKey]bool)}
}

// Add begins to track a replica; one that is known keeps its record.
func (t *Tracker) Add(r Replica) {
	if known := t.replicas[r.ID]; known != nil && known.Replica == r {
		return
	}
	t.replicas[r.ID] = &replica{Replica: r, state: replicaChart.Initial(), reported: replicaChart.Initial()}
	t.ordered = nil
}

// Remove forgets a replica.
func (t *Tracker) Remove(id string) {
	delete(t.replicas, id)
	t.ordered = nil
}

// Record takes the end of one request.
func (t *Tracker) Record(now time.Time, id string, s Sample) {
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.decay(now, t.config.HalfLife)
	r.samples++
	if s.Failed {
		r.failures++
	} else if s.Ratio > 0 {
		r.ratios += min(s.Ratio, ratioCap*t.config.SlowFactor)
		r.timed++
	}
	if replicaChart.Label(r.state) == labelLimited {
		t.trialEnded(now, r, s)
	}
}

// trialEnded counts a trial request; the first failure ejects the replica again.
func (t *Tracker) trialEnded(now time.Time, r *replica, s Sample) {
	if s.Failed {
		t.startEjection(now, r, eventFail)
		return
	}
	r.passed++
	if r.passed >= t.config.TrialRequests {
		r.fire(eventPass)
		r.times = 0
		r.forget()
	}
}

// Allow reports whether a request may go to the replica now. It counts trial requests, so the
// caller asks only for the replica that it has chosen.
func (t *Tracker) Allow(now time.Time, id string) bool {
	r := t.replicas[id]
	if r == nil {
		return true
	}
	t.elapse(now, r)
	switch replicaChart.Label(r.state) {
	case labelOpen:
		return true
	case labelLimited:
		return t.takeTrial(now, r)
	default:
		return false
	}
}

// takeTrial lets a trial request through. Trials whose end is never recorded are replaced after
// another ejection time.
func (t *Tracker) takeTrial(now time.Time, r *replica) bool {
	if t.trialsStale(now, r) {
		r.since = now
		r.trials = r.passed
	}
	if r.trials >= t.config.TrialRequests {
		return false
	}
	r.trials++
	return true
}

// Usable reports whether Allow would let a request through, without counting one.
func (t *Tracker) Usable(now time.Time, id string) bool {
	r := t.replicas[id]
	if r == nil {
		return true
	}
	switch replicaChart.Label(r.state) {
	case labelOpen:
		return true
	case labelLimited:
		return r.trials < t.config.TrialRequests || t.trialsStale(now, r)
	default:
		return !now.Before(r.until)
	}
}

// trialsStale reports whether the ends of trial requests are overdue.
func (t *Tracker) trialsStale(now time.Time, r *replica) bool {
	return now.Sub(r.since) >= t.config.BaseEjection
}

// DomainCut reports whether a failure domain fails as a whole for a service.
func (t *Tracker) DomainCut(service, domain string) bool {
	return t.cut[domainKey{service, domain}]
}

// Change is a change of state of one replica or, when ID is empty, of a whole failure domain.
type Change struct {
	Replica
	State string
}

// Evaluate judges all replicas and returns what changed since the last time. The control goroutine calls it about
// once a second.
func (t *Tracker) Evaluate(now time.Time) []Change {
	var changes []Change
	for _, group := range t.groups(now) {
		changes = append(changes, t.judgeDomains(group)...)
		t.judgeReplicas(now, group)
		changes = append(changes, report(group)...)
	}
	return changes
}

// report returns the changes of state that were not reported yet.
func report(group []*replica) []Change {
	var changes []Change
	for _, r := range group {
		if r.state != r.reported {
			r.reported = r.state
			changes = append(changes, Change{Replica: r.Replica, State: replicaChart.StateName(r.state)})
		}
	}
	return changes
}

// groups returns the replicas by service in a fixed order, decayed to now.
func (t *Tracker) groups(now time.Time) [][]*replica {
	if t.ordered == nil {
		t.ordered = t.order()
	}
	for _, group := range t.ordered {
		for _, r := range group {
			r.decay(now, t.config.HalfLife)
			t.elapse(now, r)
		}
	}
	return t.ordered
}

// order sorts the replicas by service and name.
func (t *Tracker) order() [][]*replica {
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
