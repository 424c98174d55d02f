package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// openConfig returns a configuration whose limits are too high to take effect.
func openConfig() Config {
	return Config{Slots: 1, MaxQueued: 1 << 20, MaxQueuedPerOrganisation: 1 << 19, PatientAgeing: time.Hour}
}

// offerBacklog offers count jobs of the organisation, each with random work of at most 2,000 ms. It numbers their
// attempts from lastAttempt+1 on.
func offerBacklog(t *rapid.T, q *Queue, lastAttempt *uint64, organisation string, share float64, count int) {
	for range count {
		*lastAttempt++
		q.Offer(start, Job{
			Attempt:      attempt(*lastAttempt),
			Organisation: organisation,
			Share:        share,
			Work:         rapid.Float64Range(1, 2000).Draw(t, "work"),
		})
	}
}

// TestGreedyOrganisationDelaysOthersByOneJob checks the delay bound of start-time fair queuing: while
// the first job of a new organisation waits, another organisation starts at most one job, however many it has waiting.
func TestGreedyOrganisationDelaysOthersByOneJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(openConfig())
		var lastAttempt uint64
		greedyShare := rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(t, "share")
		offerBacklog(t, q, &lastAttempt, "greedy", greedyShare, rapid.IntRange(10, 60).Draw(t, "count"))
		for range rapid.IntRange(0, 8).Draw(t, "earlier") {
			job, _ := q.Next(start)
			q.Done(job.Attempt, 0)
		}
		q.Offer(start, Job{Attempt: attempt(1 << 40), Organisation: "small", Work: rapid.Float64Range(1, 500).Draw(t, "small")})
		workBeforeMS := 0.0
		for {
			job, _ := q.Next(start)
			q.Done(job.Attempt, 0)
			if job.Organisation == "small" {
				break
			}
			workBeforeMS += job.Work
		}
		if boundMS := 2000.0; workBeforeMS > boundMS {
			t.Fatalf("the greedy organisation ran %.0f ms before a new organisation, bound %.0f", workBeforeMS, boundMS)
		}
	})
}

// TestBackloggedOrganisationsShareWork checks Goyal, Vin and Cheng's fairness theorem: over any period
// in which two organisations have waiting work, their work per share differs by at most one job of
// each per share.
func TestBackloggedOrganisationsShareWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(openConfig())
		var lastAttempt uint64
		shares := map[string]float64{"a": 1, "b": rapid.SampledFrom([]float64{0.25, 1, 4}).Draw(t, "share"), "c": 2}
		for _, name := range []string{"a", "b", "c"} {
			offerBacklog(t, q, &lastAttempt, name, shares[name], 200)
		}
		workPerShareMS := make(map[string]float64)
		for range 200 {
			job, _ := q.Next(start)
			q.Done(job.Attempt, 0)
			workPerShareMS[job.Organisation] += job.Work / shares[job.Organisation]
			if q.organisations[job.Organisation] == nil {
				return
			}
		}
		for _, name := range []string{"b", "c"} {
			boundMS := 2000/shares["a"] + 2000/shares[name]
			if gapMS := math.Abs(workPerShareMS["a"] - workPerShareMS[name]); gapMS > boundMS {
				t.Fatalf("work per share of a and %s differs by %.0f ms, bound %.0f", name, gapMS, boundMS)
			}
		}
	})
}

// TestPatientWorkStartsDespiteUrgentFlood keeps the urgent level full and checks that a patient job
// starts after at most PatientAgeing, the running job and one more urgent job.
func TestPatientWorkStartsDespiteUrgentFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := openConfig()
		config.PatientAgeing = 5 * time.Second
		q := New(config)
		var lastAttempt uint64
		now := start
		patient := Job{Attempt: attempt(1 << 40), Organisation: "patient", Urgency: wire.Urgency_URGENCY_PATIENT, Work: 3000}
		q.Offer(now, patient)
		for {
			for q.Len() < 20 {
				lastAttempt++
				work := rapid.Float64Range(1, 2000).Draw(t, "work")
				q.Offer(now, Job{Attempt: attempt(lastAttempt), Organisation: fmt.Sprint(lastAttempt % 7), Work: work})
			}
			job, _ := q.Next(now)
			q.Done(job.Attempt, 0)
			if job.Attempt == patient.Attempt {
				break
			}
			now = now.Add(milliseconds(job.Work))
		}
		if waited := now.Sub(start); waited > config.PatientAgeing+2*2000*time.Millisecond {
			t.Fatalf("patient job waited %v", waited)
		}
	})
}

// TestAgedPatientWorkLeavesHalfToUrgent checks that a flood of aged patient work does not starve
// urgent work.
func TestAgedPatientWorkLeavesHalfToUrgent(t *testing.T) {
	c := qt.New(t)
	q := New(openConfig())
	for i := range uint64(400) {
		urgency, work := wire.Urgency_URGENCY_URGENT, 100.0
		if i%2 == 0 {
			urgency, work = wire.Urgency_URGENCY_PATIENT, 1000.0
		}
		q.Offer(start, Job{Attempt: attempt(i + 1), Organisation: fmt.Sprint(i % 3), Urgency: urgency, Work: work})
	}
	now := start.Add(2 * time.Hour)
	var urgentMS, patientMS float64
	for range 110 {
		job, _ := q.Next(now)
		q.Done(job.Attempt, 0)
		if job.Urgency == wire.Urgency_URGENCY_PATIENT {
			patientMS += job.Work
		} else {
			urgentMS += job.Work
		}
	}
	c.Assert(math.Abs(urgentMS-patientMS) <= 1100, qt.IsTrue,
		qt.Commentf("urgent %.0f ms, patient %.0f ms", urgentMS, patientMS))
}
