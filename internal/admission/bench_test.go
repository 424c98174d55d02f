package admission

import (
	"fmt"
	"testing"
	"time"
)

// backloggedQueue returns a queue in which each of 1,000 organisations has two waiting jobs, and their names.
func backloggedQueue() (*Queue, []string) {
	config := DefaultConfig(32)
	config.MaxQueued = 4096
	q := New(config)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%d", i)
	}
	for i := range uint64(2000) {
		q.Offer(start, Job{Attempt: attempt(i + 1), Organisation: names[i%1000], Kind: "trace", Work: 400})
	}
	return q, names
}

func BenchmarkOfferNextDone(b *testing.B) {
	q, names := backloggedQueue()
	b.ReportAllocs()
	lastAttempt, now := uint64(1<<20), start
	for b.Loop() {
		lastAttempt++
		now = now.Add(time.Millisecond)
		q.Offer(now, Job{Attempt: attempt(lastAttempt), Organisation: names[lastAttempt%1000], Kind: "trace", Work: 400})
		job, _ := q.Next(now)
		q.Done(job.Attempt, 390)
	}
}

func BenchmarkPredict(b *testing.B) {
	q, names := backloggedQueue()
	b.ReportAllocs()
	for b.Loop() {
		q.Predict(start, Job{Organisation: names[7], Kind: "trace", Work: 400})
	}
}

func BenchmarkReserve(b *testing.B) {
	q, names := backloggedQueue()
	b.ReportAllocs()
	id, now := ReservationID(0), start
	for b.Loop() {
		id++
		now = now.Add(time.Millisecond)
		q.Reserve(now, id, Job{Organisation: names[7], Work: 400}, 50*time.Millisecond)
	}
}
