package admission

import (
	"math"
	"time"
)

const (
	// activeFor is how long an organisation counts as active after its last job.
	activeFor = 30 * time.Second
	// maxShareFactor is how many times its share of the slots an organisation may use at once, regardless of
	// its earlier use, without being required to leave the headroom free.
	maxShareFactor = 3.0
	// usageTimeConstant is the time constant of the average number of slots that an organisation uses.
	usageTimeConstant = 30 * time.Second
	// demandMaxAge is how long the computed demand of the organisations within their share is used.
	demandMaxAge = 100 * time.Millisecond
	// demandDeviations is how many standard deviations of a Poisson count the headroom covers.
	demandDeviations = 2.0
)

// recentOrganisations lists the organisations that recently sent a job, ordered by their last job, oldest first.
type recentOrganisations struct {
	head, tail *organisation
	shares     float64
	count      int
}

// touch moves org to the end of the list and records its share.
func (r *recentOrganisations) touch(org *organisation, share float64, now time.Time) {
	if org.listed {
		r.remove(org)
	}
	org.share = share
	org.lastJobAt = now
	org.listed = true
	org.earlier, org.later = r.tail, nil
	if r.tail == nil {
		r.head = org
	} else {
		r.tail.later = org
	}
	r.tail = org
	r.shares += share
	r.count++
}

func (r *recentOrganisations) remove(org *organisation) {
	if org.earlier == nil {
		r.head = org.later
	} else {
		org.earlier.later = org.later
	}
	if org.later == nil {
		r.tail = org.earlier
	} else {
		org.later.earlier = org.earlier
	}
	org.earlier, org.later = nil, nil
	org.listed = false
	r.shares -= org.share
	r.count--
	if r.count == 0 {
		r.shares = 0 // clears rounding errors
	}
}

// expireOrganisations removes the organisations that have sent no job for activeFor.
func (q *Queue) expireOrganisations(now time.Time) {
	for q.recent.head != nil && now.Sub(q.recent.head.lastJobAt) > activeFor {
		org := q.recent.head
		q.recent.remove(org)
		q.releaseOrganisation(org)
	}
}

// fairSlots returns the organisation's share of the slots among the active organisations.
func (q *Queue) fairSlots(org *organisation) float64 {
	if q.recent.shares <= 0 || !org.listed {
		return float64(q.config.Slots)
	}
	return float64(q.config.Slots) * org.share / q.recent.shares
}

// throttled reports whether the flow's organisation recently used more than its share of the slots, or now uses more
// than maxShareFactor times its share, and no more slots are free than are kept for organisations within their share.
func (q *Queue) throttled(f *flow) bool {
	free := q.config.Slots - q.running
	if free > q.config.Headroom {
		return false
	}
	f.org.observe(q.now)
	fair := q.fairSlots(f.org)
	over := f.org.usage > fair || float64(f.org.running) > maxShareFactor*fair
	return over && free <= q.headroom()
}

// headroom returns how many slots are kept free for the organisations within their share: the number by which their
// demand is likely to grow until a run ends, and none if they have no demand.
func (q *Queue) headroom() int {
	if age := q.now.Sub(q.demandAt); age < 0 || age >= demandMaxAge {
		q.demand = q.demandWithinShare()
		q.demandAt = q.now
	}
	return min(q.config.Headroom, int(math.Round(demandDeviations*math.Sqrt(q.demand))))
}

// demandWithinShare returns the mean number of slots used by the organisations within their share.
func (q *Queue) demandWithinShare() float64 {
	demand := 0.0
	for org := q.recent.head; org != nil; org = org.later {
		org.observe(q.now)
		if org.usage <= q.fairSlots(org) {
			demand += org.usage
		}
	}
	return demand
}

// observe updates usage to now with the slots that the organisation has used since usageAt.
func (o *organisation) observe(now time.Time) {
	elapsed := now.Sub(o.usageAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	o.usage = o.usage*decay + float64(o.running)*(1-decay)
	o.usageAt = now
}
