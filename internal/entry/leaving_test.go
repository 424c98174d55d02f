package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
)

// Neither an older frame nor the lagging list may cancel an agent's report that it is leaving. The report must expire,
// because another process may run as the same instance by then.
func TestLeavingAgentIsUsedAgainAfterTimeout(t *testing.T) {
	c := qt.New(t)
	list := listOf{{ID: "a", Role: metastore.RoleAgent, Service: "assistant", State: metastore.InstanceLive}}
	r := newReplicas(process.Identity{}, list, zap.NewNop())
	r.readList(context.Background())
	leaving := func() bool { return r.snapshot.Load().Lookup("a").Leaving }
	at := time.Now()
	report := func(incarnation uint64, leaves bool) {
		r.recordReport(membership.Report{Instance: "a", Incarnation: incarnation, Leaving: leaves}, at)
	}
	tick := func(now time.Time) {
		r.members.Tick(now)
		r.rebuild(now)
	}
	report(1, true)
	report(1, false) // an older frame of the leaving process
	c.Assert(leaving(), qt.IsTrue)
	r.readList(context.Background()) // the lagging list still shows it as live
	c.Assert(leaving(), qt.IsTrue)
	tick(at.Add(membership.LeavingTTL - time.Millisecond))
	c.Assert(leaving(), qt.IsTrue)
	tick(at.Add(membership.LeavingTTL))
	c.Assert(leaving(), qt.IsFalse)

	report(1, true)
	report(2, false)
	c.Assert(leaving(), qt.IsFalse)

	r.recordLeaving("a", at)
	c.Assert(leaving(), qt.IsTrue)
}
