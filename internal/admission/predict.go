package admission

import (
	"container/heap"
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxReservations bounds the number of reservations at one time.
const maxReservations = 4096

// throttledWaitMargin is a safety factor, because the number of slots of an organisation above its share varies: a job
// that would be late should rather be refused on arrival than wait.
const throttledWaitMargin = 1.25

// ReservationID identifies the place that a probe reply reserves for a request. Zero means none.
type ReservationID uint64

// Predict returns how long job would wait for its start if it arrived now. It counts running, waiting and
// reserved work; later arrivals are not considered.
func (q *Queue) Predict(now time.Time, job Job) time.Duration {
	job = job.normalised()
	q.reservations.expire(now)
	if q.running+q.queued+q.reservations.count() < q.config.Slots {
		return q.throttledWait(now, job)
	}
	wait := q.untilFree(now) + q.perSlot(q.ahead(now, job)+q.reservedAhead(job))
	return max(wait, q.throttledWait(now, job))
}

// wait returns how long job would wait if there were no reservations.
func (q *Queue) wait(now time.Time, job Job) time.Duration {
	if q.running+q.queued < q.config.Slots {
		return q.throttledWait(now, job)
	}
	return max(q.untilFree(now)+q.perSlot(q.ahead(now, job)), q.throttledWait(now, job))
}

// throttledWait returns how long an organisation above its share of the slots needs for its waiting work, with the
// average number of slots that it used recently. It returns zero for other organisations.
func (q *Queue) throttledWait(now time.Time, job Job) time.Duration {
	org := q.organisations[job.Organisation]
	own := org.flowOf(job.Urgency)
	if own == nil || own.count == 0 {
		return 0
	}
	q.now = now
	org.observe(now)
	if org.usage <= q.fairSlots(org) || q.headroom() == 0 {
		return 0
	}
	return milliseconds(throttledWaitMargin * own.work / org.usage)
}

// perSlot returns the time that all slots together need for work in milliseconds.
func (q *Queue) perSlot(work float64) time.Duration {
	return milliseconds(work / float64(max(q.config.Slots, 1)))
}

// ahead returns the waiting work that would start before job, in milliseconds.
func (q *Queue) ahead(now time.Time, job Job) float64 {
	own := q.organisations[job.Organisation].flowOf(job.Urgency)
	if job.Urgency == wire.Urgency_URGENCY_PATIENT {
		patient := q.patient.ahead(own, job.Share)
		ageing := float64(q.config.PatientAgeing/time.Millisecond) * float64(q.config.Slots)
		return patient + min(q.urgent.work, ageing+patient)
	}
	urgent := q.urgent.ahead(own, job.Share)
	if !q.aged(now) {
		return urgent
	}
	return urgent + min(q.patient.work, urgent)
}

// reservedAhead returns the reserved work that may start before job, in milliseconds. It counts at most the work of
// job itself, weighted by its share, for each organisation with reservations, so that the effect of one organisation's
// probes on another's prediction is bounded.
func (q *Queue) reservedAhead(job Job) float64 {
	own := q.correction.correct(job.Kind, job.Work) / job.Share
	return min(q.reservations.work, own*float64(len(q.reservations.organisations)))
}

// flowOf returns the organisation's flow of an urgency; nil if the organisation is nil.
func (o *organisation) flowOf(urgency wire.Urgency) *flow {
	if o == nil {
		return nil
	}
	f := &o.urgent
	if urgency == wire.Urgency_URGENCY_PATIENT {
		f = &o.patient
	}
	return f
}

// untilFree returns the predicted time until a slot becomes free.
func (q *Queue) untilFree(now time.Time) time.Duration {
	if q.running < q.config.Slots || q.ends.Len() == 0 {
		return 0
	}
	return max(q.ends.top().at.Sub(now), 0)
}

// Reserve counts job in Predict until an offered job uses the reservation or ttl has passed. It
// returns false if there are too many reservations, or if id is zero or already in use.
func (q *Queue) Reserve(now time.Time, id ReservationID, job Job, ttl time.Duration) bool {
	job = job.normalised()
	q.reservations.expire(now)
	return q.reservations.add(reservation{
		id:           id,
		organisation: job.Organisation,
		work:         q.correction.correct(job.Kind, job.Work),
		expiresAt:    now.Add(ttl),
	})
}

// reservation is work announced by a probe.
type reservation struct {
	id           ReservationID
	organisation string
	work         float64 // milliseconds
	expiresAt    time.Time
}

// reservations holds the reservations that have neither been used nor expired. A used reservation
// stays in byEnd until it expires.
type reservations struct {
	byID          map[ReservationID]reservation
	byEnd         reservationHeap
	organisations map[string]int
	work          float64 // milliseconds reserved
}

func newReservations() reservations {
	return reservations{
		byID:          make(map[ReservationID]reservation),
		organisations: make(map[string]int),
	}
}

func (r *reservations) count() int { return len(r.byID) }

func (r *reservations) add(added reservation) bool {
	if added.id == 0 || len(r.byEnd) >= maxReservations {
		return false
	}
	if _, taken := r.byID[added.id]; taken {
		return false
	}
	r.byID[added.id] = added
	r.organisations[added.organisation]++
	r.work += added.work
	heap.Push(&r.byEnd, added)
	return true
}

// use ends a reservation. An expired or unknown reservation is ignored.
func (r *reservations) use(id ReservationID) {
	used, found := r.byID[id]
	if !found {
		return
	}
	delete(r.byID, id)
	r.work -= used.work
	r.organisations[used.organisation]--
	if r.organisations[used.organisation] == 0 {
		delete(r.organisations, used.organisation)
	}
	if len(r.byID) == 0 {
		r.work = 0 // clears rounding errors
	}
}

func (r *reservations) expire(now time.Time) {
	for len(r.byEnd) > 0 && !now.Before(r.byEnd[0].expiresAt) {
		r.use(heap.Pop(&r.byEnd).(reservation).id)
	}
}

// reservationHeap implements heap.Interface, earliest expiry first.
type reservationHeap []reservation

func (h reservationHeap) Len() int           { return len(h) }
func (h reservationHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h reservationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *reservationHeap) Push(x any)        { *h = append(*h, x.(reservation)) }

func (h *reservationHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}
