package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
)

// A lagging list that shows no agent yet must not make the balancer send callers here.
func TestListWithoutAgentsLeavesTheEntryUnhealthy(t *testing.T) {
	c := qt.New(t)
	entryRow := metastore.Instance{ID: "e", Role: metastore.RoleEntry, State: metastore.InstanceLive}
	agentRow := metastore.Instance{ID: "a", Role: metastore.RoleAgent, Service: "assistant", State: metastore.InstanceLive}
	r := newReplicas(process.Identity{}, listOf{entryRow}, zap.NewNop())
	r.read(context.Background())
	c.Assert(r.known.Load(), qt.IsFalse)
	r.list = listOf{entryRow, agentRow}
	r.read(context.Background())
	c.Assert(r.known.Load(), qt.IsTrue)
	r.list = listOf{entryRow} // an outage of all agents is no reason to turn callers away for good
	r.read(context.Background())
	c.Assert(r.known.Load(), qt.IsTrue)
}
