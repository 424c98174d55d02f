package admission

import "time"

// entry is one waiting or running job.
type entry struct {
	job Job
	// work is the corrected estimate in milliseconds.
	work    float64
	running bool
	org     *organisation
	flow    *flow
	// prev and next link the entries of one flow; next also links free entries.
	prev, next *entry
	// older and younger link waiting patient entries.
	older, younger *entry
	// at is the latest start of a waiting entry or the predicted end of a running one, and
	// index is its place in the heap ordered by at; -1 if it is in no heap.
	at    time.Time
	index int
}

// organisation is one organisation that has entries or recently sent a job.
type organisation struct {
	name    string
	queued  int
	running int
	share   float64
	// lastJobAt is the time of its last job. Listed organisations are linked in the order of this time.
	lastJobAt      time.Time
	listed         bool
	earlier, later *organisation
	// usage is the moving average of the number of slots used, as of usageAt.
	usage   float64
	usageAt time.Time
	urgent  flow
	patient flow
	free    *organisation
}

// enqueue adds a job to the tail of its organisation's flow.
func (q *Queue) enqueue(now time.Time, job Job) {
	org := q.organisation(job.Organisation)
	q.recent.touch(org, job.Share, now)
	org.queued++
	q.queued++
	e := q.newEntry()
	e.job = job
	e.work = q.correction.correct(job.Kind, job.Work)
	e.org = org
	e.flow = &org.urgent
	lvl := q.level(job.Urgency)
	if lvl == &q.patient {
		e.flow = &org.patient
		q.patientAge.push(e)
	}
	e.flow.share = job.Share
	lvl.push(e)
	if !job.Deadline.IsZero() {
		e.at = job.latestStart()
		q.deadlines.push(e)
	}
	q.entries[job.Attempt] = e
}

// detach removes an entry that has left its flow from the age list, the deadlines and the counts of waiting entries.
func (q *Queue) detach(e *entry) {
	if e.flow == &e.org.patient {
		q.patientAge.remove(e)
	}
	q.deadlines.remove(e)
	q.queued--
	e.org.queued--
	e.flow = nil
	q.releaseOrganisation(e.org)
}

// releaseFlow resets a flow that its level no longer keeps.
func (q *Queue) releaseFlow(f *flow) {
	f.tag = 0
	q.releaseOrganisation(f.org)
}

// releaseOrganisation frees an organisation that has no entries, has sent no job recently and has no flow kept by a
// level.
func (q *Queue) releaseOrganisation(org *organisation) {
	if org.queued+org.running > 0 || org.listed || org.urgent.index >= 0 || org.patient.index >= 0 {
		return
	}
	delete(q.organisations, org.name)
	*org = organisation{free: q.freeOrgs}
	q.freeOrgs = org
}

func (q *Queue) organisation(name string) *organisation {
	org := q.organisations[name]
	if org != nil {
		return org
	}
	org = q.freeOrgs
	if org == nil {
		org = &organisation{}
	} else {
		q.freeOrgs = org.free
	}
	*org = organisation{name: name}
	org.urgent = flow{org: org, index: -1}
	org.patient = flow{org: org, index: -1}
	q.organisations[name] = org
	return org
}

func (q *Queue) newEntry() *entry {
	e := q.freeEntries
	if e == nil {
		return &entry{index: -1}
	}
	q.freeEntries = e.next
	e.next = nil
	return e
}

func (q *Queue) release(e *entry) {
	*e = entry{index: -1, next: q.freeEntries}
	q.freeEntries = e
}

// ageList links entries in the order in which they were enqueued.
type ageList struct {
	head, tail *entry
}

func (l *ageList) push(e *entry) {
	e.older = l.tail
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.younger = e
	}
	l.tail = e
}

func (l *ageList) remove(e *entry) {
	if e.older == nil {
		l.head = e.younger
	} else {
		e.older.younger = e.younger
	}
	if e.younger == nil {
		l.tail = e.older
	} else {
		e.younger.older = e.older
	}
	e.older, e.younger = nil, nil
}
