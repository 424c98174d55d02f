package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
)

// If a lagging list that shows no agent yet made the entry healthy, the balancer would send callers to an
// entry that cannot place their requests.
func TestEntryStaysUnhealthyUntilTheListShowsAnAgent(t *testing.T) {
	c := qt.New(t)
	entryRow := metastore.Instance{ID: "e", Role: metastore.RoleEntry, State: metastore.InstanceLive}
	agentRow := metastore.Instance{ID: "a", Role: metastore.RoleAgent, Service: "assistant", State: metastore.InstanceLive}
	r := newReplicas(process.Identity{}, listOf{entryRow}, zap.NewNop())
	r.readList(context.Background())
	c.Assert(r.agentListed.Load(), qt.IsFalse)
	r.list = listOf{entryRow, agentRow}
	r.readList(context.Background())
	c.Assert(r.agentListed.Load(), qt.IsTrue)
	r.list = listOf{entryRow} // an outage of all agents must not make the entry unhealthy
	r.readList(context.Background())
	c.Assert(r.agentListed.Load(), qt.IsTrue)
}
