package entry

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
)

// designList is an instance list of about the design size, which is six regions with 18 failure domains, 3,100
// entries and 7,900 agents. It has 3,000 entries and 8,000 agents.
func designList() listOf {
	var list listOf
	for i := range 11000 {
		instance := metastore.Instance{
			ID: fmt.Sprintf("instance-%05d", i), Role: metastore.RoleAgent, Service: fmt.Sprintf("service-%d", i%5),
			Region: fmt.Sprintf("region-%d", i%6), FailureDomain: fmt.Sprintf("domain-%d", i%18),
			Address: fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256), ControlAddress: fmt.Sprintf("10.1.%d.%d:7001", i/256, i%256),
			State: metastore.InstanceLive,
		}
		if i%11 < 3 {
			instance.Role, instance.Service = metastore.RoleEntry, ""
		}
		list = append(list, instance)
	}
	return list
}

func designReplicas() *replicas {
	r := newReplicas(process.Identity{Instance: "entry-0", Region: "region-0", FailureDomain: "domain-0"}, designList(), zap.NewNop())
	r.readList(context.Background())
	return r
}

func BenchmarkRebuildAtDesignSize(b *testing.B) {
	r := designReplicas()
	for b.Loop() {
		r.rebuild(time.Now())
	}
}

func BenchmarkReadListAtDesignSize(b *testing.B) {
	r := designReplicas()
	for b.Loop() {
		r.readList(context.Background())
	}
}

func BenchmarkBytesOfReplicasAtDesignSize(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := designReplicas()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		runtime.KeepAlive(r)
	}
}
