package runtable

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkAttempt measures the admission, start, one chunk and end of an attempt. At this rate of
// attempts the table also removes one old attempt for each new one.
func BenchmarkAttempt(b *testing.B) {
	table := New(DefaultSettings(testIncarnation))
	now := testStart
	chunk := []byte("token")
	b.ReportAllocs()
	for serial := uint32(0); b.Loop(); serial++ {
		now = now.Add(50 * time.Millisecond)
		id := idAt(now, serial)
		if table.Admit(now, Dispatch{Attempt: id, Incarnation: testIncarnation, Record: true}).Verdict != VerdictNew {
			b.Fatal("not admitted")
		}
		if table.Start(now, id) != nil || table.Append(now, id, 0, chunk) != nil || table.Finish(now, id, done()) != nil {
			b.Fatal("not run")
		}
	}
}

// BenchmarkMemory reports the bytes of one ended attempt without recorded chunks.
func BenchmarkMemory(b *testing.B) {
	const attempts = 50000
	for b.Loop() {
		table := New(DefaultSettings(testIncarnation))
		before := heapInUse()
		for serial := range uint32(attempts) {
			id := idAt(testStart, serial)
			table.Admit(testStart, Dispatch{Attempt: id, Incarnation: testIncarnation})
			_ = table.Start(testStart, id)
			_ = table.Finish(testStart, id, done())
		}
		b.ReportMetric(float64(heapInUse()-before)/attempts, "B/attempt")
		runtime.KeepAlive(table)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
