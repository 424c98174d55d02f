package health

import (
	"fmt"
	"runtime"
	"testing"
)

// regionReplicas is the number of replicas in a region at the design size.
const regionReplicas = 1320

func newRegionTracker() *Tracker {
	t := New(DefaultConfig())
	for i := range regionReplicas {
		t.Add(Replica{
			ID:            fmt.Sprintf("replica-%d", i),
			Service:       fmt.Sprintf("service-%d", i%5),
			FailureDomain: fmt.Sprintf("domain-%d", i%3),
		})
	}
	return t
}

func BenchmarkEvaluateRegion(b *testing.B) {
	tracker := newRegionTracker()
	for i := range regionReplicas {
		for range 10 {
			tracker.Record(start, fmt.Sprintf("replica-%d", i), Sample{Ratio: 1})
		}
	}
	for b.Loop() {
		tracker.Evaluate(start)
	}
}

func BenchmarkBytesPerReplica(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tracker := newRegionTracker()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/regionReplicas, "bytes/replica")
		runtime.KeepAlive(tracker)
	}
}
