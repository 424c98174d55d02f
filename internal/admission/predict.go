package admission

import (
	"container/heap"
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxReservations bounds the probes that hold a place at one time.
const maxReservations = 4096

// heldMargin covers that the slots of an organisation above its share vary: it rather learns at once
// that its job would be late.
const heldMargin = 1.25

// ReservationID names the place that a probe reply holds for a request. Zero means none.
type ReservationID uint64

// Predict returns how long job would wait for its start if it came now. It counts what runs, what
// waits and what is reserved; later arrivals are not foreseen.
func (q *Queue) Predict(now time.Time, job Job) time.Duration {
	job = job.normalised()
	q.reservations.lapse(now)
	if q.running+q.queued+q.reservations.count() < q.config.Slots {
		return q.heldWait(now, job)
	}
	wait := q.untilFree(now) + q.perSlot(q.ahead(now, job)+q.reservedAhead(job))
	return max(wait, q.heldWait(now, job))
}

// wait returns how long job would wait without regard to reservations.
func (q *Queue) wait(now time.Time, job Job) time.Duration {
	if q.running+q.queued < q.config.Slots {
		return q.heldWait(now, job)
	}
	return max(q.untilFree(now)+q.perSlot(q.ahead(now, job)), q.heldWait(now, job))
}

// heldWait returns how long an organisation above its share of the slots needs for what it has
// waiting, with the slots that it has had lately.
func (q *Queue) heldWait(now time.Time, job Job) time.Duration {
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
	return milliseconds(heldMargin * own.work / org.usage)
}

// perSlot returns the time that all slots together need for work in milliseconds.
func (q *Queue) perSlot(work float64) time.Duration {
	return milliseconds(work / float64(max(q.config.Slots, 1)))
}

// ahead returns the waiting work in milliseconds that would start before job.
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

// reservedAhead returns the reserved work in milliseconds that may start before job: at most as much
// for each organisation with reservations as job has itself, so that one organisation's probes
// cannot move another's prediction without bound.
func (q *Queue) reservedAhead(job Job) float64 {
	own := q.correction.correct(job.Kind, job.Work) / job.Share
	return min(q.reservations.work, own*float64(len(q.reservations.organisations)))
}

// flowOf returns the flow of an urgency; nil when the organisation is not known.
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

// untilFree returns the predicted time until a slot is free.
func (q *Queue) untilFree(now time.Time) time.Duration {
	if q.running < q.config.Slots || q.ends.Len() == 0 {
		return 0
	}
	return max(q.ends.top().at.Sub(now), 0)
}

// Reserve counts job in Predict until an offered job uses the reservation or ttl has passed. It
// returns false when too many reservations are held or id is zero or taken.
func (q *Queue) Reserve(now time.Time, id ReservationID, job Job, ttl time.Duration) bool {
	job = job.normalised()
	q.reservations.lapse(now)
	return q.reservations.add(reservation{
		id:           id,
		organisation: job.Organisation,
		work:         q.correction.correct(job.Kind, job.Work),
		until:        now.Add(ttl),
	})
}

// reservation is work that a probe announced.
type reservation struct {
	id           ReservationID
	organisation string
	work         float64 // milliseconds
	until        time.Time
}

// reservations holds what was reserved and has neither been used nor lapsed. A used reservation
// stays in byEnd until it lapses.
type reservations struct {
	held          map[ReservationID]reservation
	byEnd         reservationHeap
	organisations map[string]int
	work          float64 // milliseconds held
}

func newReservations() reservations {
	return reservations{
		held:          make(map[ReservationID]reservation),
		organisations: make(map[string]int),
	}
}

func (r *reservations) count() int { return len(r.held) }

func (r *reservations) add(added reservation) bool {
	if added.id == 0 || len(r.byEnd) >= maxReservations {
		return false
	}
	if _, taken := r.held[added.id]; taken {
		return false
	}
	r.held[added.id] = added
	r.organisations[added.organisation]++
	r.work += added.work
	heap.Push(&r.byEnd, added)
	return true
}

// use ends a reservation; one that has lapsed or never was is ignored.
func (r *reservations) use(id ReservationID) {
	used, held := r.held[id]
	if !held {
		return
	}
	delete(r.held, id)
	r.work -= used.work
	r.organisations[used.organisation]--
	if r.organisations[used.organisation] == 0 {
		delete(r.organisations, used.organisation)
	}
	if len(r.held) == 0 {
		r.work = 0 // clears rounding errors
	}
}

func (r *reservations) lapse(now time.Time) {
	for len(r.byEnd) > 0 && !now.Before(r.byEnd[0].until) {
		r.use(heap.Pop(&r.byEnd).(reservation).id)
	}
}

// reservationHeap implements heap.Interface, earliest end first.
type reservationHeap []reservation

func (h reservationHeap) Len() int           { return len(h) }
func (h reservationHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h reservationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *reservationHeap) Push(x any)        { *h = append(*h, x.(reservation)) }

func (h *reservationHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}
