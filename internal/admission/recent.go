package admission

import (
	"math"
	"time"
)

const (
	// recentFor is how long an organisation counts as active after its last job.
	recentFor = 30 * time.Second
	// overShare is how many times its share of the slots an organisation may hold at once,
	// whatever it held before, without leaving the headroom free.
	overShare = 3.0
	// usageMemory is the time over which the slots that an organisation holds are averaged.
	usageMemory = 30 * time.Second
	// demandAge is how long the demand of the organisations within their share counts as known.
	demandAge = 100 * time.Millisecond
	// demandDeviations is how many standard deviations of a Poisson count the headroom covers.
	demandDeviations = 2.0
)

// recent lists the organisations that sent a job lately, the one that did longest ago first.
type recent struct {
	head, tail *organisation
	shares     float64
	count      int
}

// touch moves org to the end of the list.
func (r *recent) touch(org *organisation, share float64, now time.Time) {
	if org.listed {
		r.remove(org)
	}
	org.share = share
	org.seen = now
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

func (r *recent) remove(org *organisation) {
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

// lapse drops the organisations that sent nothing lately.
func (q *Queue) lapse(now time.Time) {
	for q.recent.head != nil && now.Sub(q.recent.head.seen) > recentFor {
		org := q.recent.head
		q.recent.remove(org)
		q.releaseOrganisation(org)
	}
}

// fairSlots returns how many slots are the organisation's share among the active ones.
func (q *Queue) fairSlots(org *organisation) float64 {
	if q.recent.shares <= 0 || !org.listed {
		return float64(q.config.Slots)
	}
	return float64(q.config.Slots) * org.share / q.recent.shares
}

// held reports whether the flow's organisation has held more than its share of the slots lately,
// so that the slots that are left are kept for those within their share.
func (q *Queue) held(f *flow) bool {
	free := q.config.Slots - q.running
	if free > q.config.Headroom {
		return false
	}
	f.org.observe(q.now)
	fair := q.fairSlots(f.org)
	over := f.org.usage > fair || float64(f.org.running) > overShare*fair
	return over && free <= q.headroom()
}

// headroom returns how many slots are kept for the organisations within their share: as many as
// their demand is likely to grow by while a run ends, and none when they have none.
func (q *Queue) headroom() int {
	if age := q.now.Sub(q.demandAt); age < 0 || age >= demandAge {
		q.demand = q.demandWithinShare()
		q.demandAt = q.now
	}
	return min(q.config.Headroom, int(math.Round(demandDeviations*math.Sqrt(q.demand))))
}

// demandWithinShare returns the mean slots that the organisations within their share hold.
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

// observe takes the slots that the organisation has held into their mean.
func (o *organisation) observe(now time.Time) {
	elapsed := now.Sub(o.observed)
	if elapsed <= 0 {
		return
	}
	old := math.Exp(-elapsed.Seconds() / usageMemory.Seconds())
	o.usage = o.usage*old + float64(o.running)*(1-old)
	o.observed = now
}
