package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
)

type listOf []metastore.Instance

func (l listOf) Instances(context.Context) ([]metastore.Instance, error) { return l, nil }

// sixReplicas returns the replicas of an entry for a service with two replicas in each of three domains.
func sixReplicas() (*replicas, []string) {
	var list listOf
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("assistant-%d", i)
		ids = append(ids, id)
		list = append(list, metastore.Instance{
			ID: id, Role: metastore.RoleAgent, Service: "assistant", State: metastore.InstanceLive,
			FailureDomain: fmt.Sprintf("lake-%d", i%3),
		})
	}
	r := newReplicas(process.Identity{Instance: "entry-0"}, list, zap.NewNop())
	r.readList(context.Background())
	return r, ids
}

// recordAttempts records ten attempts at each replica, which fail where failing returns true, and
// evaluates health.
func recordAttempts(r *replicas, ids []string, now time.Time, failing func(i int) bool) {
	for range 10 {
		for i, id := range ids {
			r.recordRunEnd(id, health.Sample{Failed: failing(i), Ratio: 1}, now)
		}
	}
	r.evaluateHealth(now)
}

func TestFailingReplicaIsEjectedAndReadmitted(t *testing.T) {
	c := qt.New(t)
	r, ids := sixReplicas()
	now := time.Now()
	recordAttempts(r, ids, now, func(i int) bool { return i == 4 })
	for i, id := range ids {
		c.Assert(r.snapshot.Load().Lookup(id).Ejected, qt.Equals, i == 4)
	}
	ejectionEnd := now.Add(health.DefaultConfig().BaseEjection)
	r.readList(context.Background())
	for range health.DefaultConfig().TrialRequests {
		r.recordDispatch(ids[4], ejectionEnd)
	}
	c.Assert(r.snapshot.Load().Lookup(ids[4]).Ejected, qt.IsTrue)
	for range health.DefaultConfig().TrialRequests {
		r.recordRunEnd(ids[4], health.Sample{Ratio: 1}, ejectionEnd)
	}
	c.Assert(r.snapshot.Load().Lookup(ids[4]).Ejected, qt.IsFalse)
}

func TestFailureOfAllReplicasEjectsNone(t *testing.T) {
	c := qt.New(t)
	r, ids := sixReplicas()
	recordAttempts(r, ids, time.Now(), func(int) bool { return true })
	for _, id := range ids {
		c.Assert(r.snapshot.Load().Lookup(id).Ejected, qt.IsFalse)
	}
}

func TestFailingDomainIsMarkedUnhealthyForPlacement(t *testing.T) {
	c := qt.New(t)
	r, ids := sixReplicas()
	recordAttempts(r, ids, time.Now(), func(i int) bool { return i%3 == 1 })
	for i, id := range ids {
		c.Assert(r.snapshot.Load().Lookup(id).DomainUnhealthy, qt.Equals, i%3 == 1)
		c.Assert(r.snapshot.Load().Lookup(id).Ejected, qt.IsFalse)
	}
}

// An ejection must end by time alone, when the list does not change and no requests reach the replica.
func TestEjectionEndsWithoutOtherChanges(t *testing.T) {
	c := qt.New(t)
	r, ids := sixReplicas()
	now := time.Now()
	recordAttempts(r, ids, now, func(i int) bool { return i == 4 })
	c.Assert(r.snapshot.Load().Lookup(ids[4]).Ejected, qt.IsTrue)
	r.evaluateHealth(now.Add(health.DefaultConfig().BaseEjection))
	c.Assert(r.snapshot.Load().Lookup(ids[4]).Ejected, qt.IsFalse)
}
