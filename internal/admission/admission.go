// Package admission owns the queue of attempts that wait for one backend server. It decides which attempt
// runs next and which is refused before any work, and predicts how long a new one would wait. The agent's
// control goroutine calls it; the package starts no goroutines and takes no locks.
//
// Organisations share the backend server by start-time fair queuing (Goyal, Vin and Cheng, "Start-time
// fair queuing", 1996), weighted in estimated milliseconds of work. Because runs are not preempted, an
// organisation that recently used more than its share of the slots must leave some of them free while
// organisations within their share have demand. Urgent attempts run before patient ones until a patient one has
// waited for Config.PatientAgeing; from then on the two levels get equal work until no patient attempt is that old.
package admission

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Bounds of RetryAfter in a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// headroomDivisor is the divisor that gives the headroom of DefaultConfig from the number of slots.
const headroomDivisor = 2

// AttemptID identifies one dispatch of a request.
type AttemptID [16]byte

// Config sets the limits of a Queue.
type Config struct {
	// Slots is how many attempts the backend server runs at once.
	Slots int
	// MaxQueued bounds the number of waiting attempts.
	MaxQueued int
	// MaxQueuedPerOrganisation bounds the number of waiting attempts of one organisation. Offer also limits an
	// organisation to its share of the free places, so that a few organisations cannot fill the queue.
	MaxQueuedPerOrganisation int
	// Headroom bounds the number of slots that organisations above their share must leave free for
	// organisations within their share.
	Headroom int
	// PatientAgeing is how long urgent work may run before a waiting patient attempt.
	PatientAgeing time.Duration
}

// DefaultConfig returns the limits for a backend server that runs slots attempts at once.
func DefaultConfig(slots int) Config {
	return Config{
		Slots:                    slots,
		MaxQueued:                32 * slots,
		MaxQueuedPerOrganisation: 8 * slots,
		Headroom:                 slots / headroomDivisor,
		PatientAgeing:            5 * time.Second,
	}
}

// Job is one attempt with the properties that the queue uses.
type Job struct {
	Attempt      AttemptID
	Organisation string
	// Share is the weight of the organisation; zero or less counts as 1.
	Share float64
	// Kind groups attempts whose estimates are corrected together.
	Kind    string
	Urgency wire.Urgency
	// Work is the estimated time for which the attempt occupies a slot, in milliseconds.
	Work float64
	// FirstToken is the estimated time from the start of the run to its first token.
	FirstToken time.Duration
	// Deadline is the latest time for the first token; the zero time means none.
	Deadline time.Time
	// Enqueued is set by Offer.
	Enqueued time.Time
	// Reservation is the reservation that the attempt uses; zero means none.
	Reservation ReservationID
}

// latestStart returns the last time at which a run can still meet the deadline.
func (j *Job) latestStart() time.Time {
	return j.Deadline.Add(-j.FirstToken)
}

// Bounds that keep the arithmetic of the fair queue finite.
const (
	minWork  = 1.0   // milliseconds
	maxWork  = 3.6e6 // milliseconds
	minShare = 1.0e-3
	maxShare = 1.0e3
)

// normalised returns the job with its work and share within their bounds.
func (j Job) normalised() Job {
	if !(j.Share > 0) {
		j.Share = 1
	}
	if !(j.Work > 0) {
		j.Work = minWork
	}
	j.Share = min(max(j.Share, minShare), maxShare)
	j.Work = min(max(j.Work, minWork), maxWork)
	return j
}

// Verdict is the decision on an offered job.
type Verdict struct {
	Accepted bool
	// Wait is the predicted time until the start of the run.
	Wait time.Duration
	// Reason is the cause of a refusal. A refused job has not run.
	Reason wire.RefusalReason
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

// Queue holds the waiting and running attempts of one backend server.
type Queue struct {
	config        Config
	urgent        level
	patient       level
	entries       map[AttemptID]*entry
	organisations map[string]*organisation
	queued        int
	running       int
	// patientAge lists waiting patient entries, oldest first.
	patientAge ageList
	deadlines  timeHeap
	ends       timeHeap
	recent     recentOrganisations
	// now is the time of the latest call.
	now time.Time
	// demand is the mean number of slots used by organisations within their share, as of demandAt.
	demand       float64
	demandAt     time.Time
	reservations reservations
	correction   correction
	// agedBalance is the work of the urgent level minus that of the patient level since a patient attempt
	// reached PatientAgeing, in milliseconds.
	agedBalance float64
	freeEntries *entry
	freeOrgs    *organisation
}

// New returns an empty Queue.
func New(config Config) *Queue {
	q := &Queue{
		config:        config,
		entries:       make(map[AttemptID]*entry),
		organisations: make(map[string]*organisation),
		reservations:  newReservations(),
		correction:    newCorrection(),
	}
	for _, l := range []*level{&q.urgent, &q.patient} {
		l.throttled = q.throttled
		l.release = q.releaseFlow
	}
	return q
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return q.queued }

// Running returns the number of running attempts.
func (q *Queue) Running() int { return q.running }

// SetSlots sets how many attempts run at once. Running attempts are not stopped.
func (q *Queue) SetSlots(slots int) { q.config.Slots = slots }

// Offer puts job into the queue or refuses it. A job that is already waiting or running keeps its place.
func (q *Queue) Offer(now time.Time, job Job) Verdict {
	job = job.normalised()
	q.now = now
	q.expireOrganisations(now)
	q.reservations.use(job.Reservation)
	wait := q.wait(now, job)
	if _, known := q.entries[job.Attempt]; known {
		return Verdict{Accepted: true, Wait: wait}
	}
	if !job.Deadline.IsZero() {
		if late := now.Add(wait).Sub(job.latestStart()); late > 0 {
			return refuse(wire.RefusalReason_REFUSAL_REASON_DEADLINE, late)
		}
	}
	if q.full(job) {
		return refuse(wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL, wait)
	}
	job.Enqueued = now
	q.enqueue(now, job)
	return Verdict{Accepted: true, Wait: wait}
}

func refuse(reason wire.RefusalReason, retryAfter time.Duration) Verdict {
	return Verdict{Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}

// full reports whether the queue has no place for job. The share of the free places that an
// organisation may use follows Choudhury and Hahne, "Dynamic queue length thresholds for
// shared-memory packet switches", 1998, with alpha equal to the organisation's share.
func (q *Queue) full(job Job) bool {
	free := q.config.MaxQueued - q.queued
	if free <= 0 {
		return true
	}
	org := q.organisations[job.Organisation]
	if org == nil {
		return false
	}
	return org.queued >= q.config.MaxQueuedPerOrganisation ||
		float64(org.queued) >= job.Share*float64(free)
}

// Next returns the job to run now and marks it as running. It returns false if no slot is free,
// nothing waits, or the free slots are headroom that the waiting organisations may not use. The caller must call
// Expired first.
func (q *Queue) Next(now time.Time) (Job, bool) {
	if q.running >= q.config.Slots || q.queued == 0 {
		return Job{}, false
	}
	q.now = now
	e := q.pick(now)
	if e == nil {
		return Job{}, false
	}
	e.org.observe(now)
	e.org.running++
	q.detach(e)
	e.running = true
	e.at = now.Add(milliseconds(e.work))
	q.ends.push(e)
	q.running++
	return e.job, true
}

// pick removes and returns the next entry; nil if all waiting organisations are throttled.
func (q *Queue) pick(now time.Time) *entry {
	if !q.aged(now) {
		q.agedBalance = 0
		return firstOf(&q.urgent, &q.patient)
	}
	contended := len(q.urgent.active) > 0 && len(q.patient.active) > 0
	first, second := &q.patient, &q.urgent
	if q.agedBalance < 0 {
		first, second = second, first
	}
	e := firstOf(first, second)
	if e != nil && contended {
		q.balance(e)
	}
	return e
}

func firstOf(first, second *level) *entry {
	if e := first.pick(); e != nil {
		return e
	}
	return second.pick()
}

// balance accounts for an entry that was picked while both levels had active flows.
func (q *Queue) balance(e *entry) {
	if q.level(e.job.Urgency) == &q.patient {
		q.agedBalance -= e.work
	} else {
		q.agedBalance += e.work
	}
}

// aged reports whether a patient attempt has waited for PatientAgeing.
func (q *Queue) aged(now time.Time) bool {
	oldest := q.patientAge.head
	return oldest != nil && now.Sub(oldest.job.Enqueued) >= q.config.PatientAgeing
}

// Remove removes a waiting attempt from the queue. It returns false if the attempt is not waiting.
func (q *Queue) Remove(attempt AttemptID) bool {
	e := q.entries[attempt]
	if e == nil || e.running {
		return false
	}
	q.drop(e)
	return true
}

// Done frees the slot of a running attempt. Actual is the time for which the run occupied the slot, in
// milliseconds; it corrects later estimates for jobs of the same kind. Zero, for a run that was cut short,
// corrects nothing. Done returns false if the attempt is not running.
func (q *Queue) Done(attempt AttemptID, actual float64) bool {
	e := q.entries[attempt]
	if e == nil || !e.running {
		return false
	}
	q.correction.observe(e.job.Kind, e.job.Work, actual)
	q.ends.remove(e)
	q.running--
	e.org.observe(q.now)
	e.org.running--
	q.releaseOrganisation(e.org)
	delete(q.entries, attempt)
	q.release(e)
	return true
}

// Expired removes and returns the waiting jobs whose deadline can no longer be met, earliest first. None of
// them has run.
func (q *Queue) Expired(now time.Time) []Job {
	var expired []Job
	for q.deadlines.Len() > 0 && q.deadlines.top().at.Before(now) {
		e := q.deadlines.top()
		expired = append(expired, e.job)
		q.drop(e)
	}
	return expired
}

// NextExpiry returns the time of the next possible expiry, after which Expired must be called. It returns false if no
// waiting job has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.deadlines.Len() == 0 {
		return time.Time{}, false
	}
	return q.deadlines.top().at, true
}

// drop removes a waiting entry from the queue and frees it.
func (q *Queue) drop(e *entry) {
	q.level(e.job.Urgency).remove(e)
	q.detach(e)
	delete(q.entries, e.job.Attempt)
	q.release(e)
}

func (q *Queue) level(urgency wire.Urgency) *level {
	if urgency == wire.Urgency_URGENCY_PATIENT {
		return &q.patient
	}
	return &q.urgent
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
