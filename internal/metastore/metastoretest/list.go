package metastoretest

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memlist"
)

// List is an implementation under test with the list behind it, which has no lag.
type List struct {
	metastore.InstanceList
	Source *memlist.List
}

// TestList tests the contract of metastore.InstanceList. open must return an empty list on each call.
func TestList(t *testing.T, open func(c *qt.C) List) {
	t.Run("ReturnsInstancesInOrder", func(t *testing.T) {
		c := qt.New(t)
		testInstances(c, open(c))
	})
	t.Run("DownListIsUnavailable", func(t *testing.T) {
		c := qt.New(t)
		list := open(c)
		list.Source.SetDown(true)
		_, err := list.Instances(timeoutContext(c))
		assertType(c, err, metastore.ErrUnavailable)
	})
}

func testInstances(c *qt.C, list List) {
	ctx := timeoutContext(c)
	instances, err := list.Instances(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.HasLen, 0)

	agent := metastore.Instance{
		ID: "agent-1", Role: metastore.RoleAgent, Service: "assistant", Region: "lakes", FailureDomain: "erie",
		Address: "127.0.0.1:1", ControlAddress: "127.0.0.1:2", State: metastore.InstanceLive,
	}
	store := metastore.Instance{
		ID: "a-store", Role: metastore.RoleStore, Region: "lakes", FailureDomain: "huron",
		Address: "127.0.0.1:3", State: metastore.InstanceLive,
	}
	list.Source.Replace([]metastore.Instance{agent, store})
	instances, err = list.Instances(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.DeepEquals, []metastore.Instance{store, agent})

	c.Assert(list.Source.SetState("agent-1", metastore.InstanceLeaving), qt.IsTrue)
	c.Assert(list.Source.SetState("agent-9", metastore.InstanceLeaving), qt.IsFalse)
	instances, err = list.Instances(ctx)
	c.Assert(err, qt.IsNil)
	agent.State = metastore.InstanceLeaving
	c.Assert(instances, qt.DeepEquals, []metastore.Instance{store, agent})
}
