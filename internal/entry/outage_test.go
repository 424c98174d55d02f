package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
)

// changingList is an instance list that a test changes between reads.
type changingList struct {
	instances []metastore.Instance
	err       error
}

func (l *changingList) Instances(context.Context) ([]metastore.Instance, error) {
	return l.instances, l.err
}

// An instance list that is down or has just started shows no replicas. The entry must keep those it already uses.
func TestListOutageKeepsReplicas(t *testing.T) {
	c := qt.New(t)
	list := &changingList{instances: []metastore.Instance{
		{ID: "a", Role: metastore.RoleAgent, Service: "assistant", State: metastore.InstanceLive},
	}}
	r := newReplicas(process.Identity{}, list, zap.NewNop())
	r.readList(context.Background())
	r.recordReport(membership.Report{Instance: "a", Incarnation: 1}, r.members.ReadAt())

	list.err = metastore.ErrUnavailable.New("instance list")
	r.readList(context.Background())
	c.Assert(r.snapshot.Load().Lookup("a"), qt.IsNotNil)

	// A list that has just started shows no instances.
	list.err, list.instances = nil, nil
	r.readList(context.Background())
	c.Assert(r.snapshot.Load().Lookup("a"), qt.IsNotNil)
}
