package platformtest

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/platform/memlist"
)

// List is an implementation under test with the list behind it, which has no lag.
type List struct {
	platform.InstanceList
	Source *memlist.List
}

// TestList runs the contract of platform.InstanceList. Open returns an empty list each time.
func TestList(t *testing.T, open func(c *qt.C) List) {
	t.Run("ReturnsInstancesInOrder", func(t *testing.T) {
		c := qt.New(t)
		testInstances(c, open(c))
	})
	t.Run("DownListIsUnavailable", func(t *testing.T) {
		c := qt.New(t)
		list := open(c)
		list.Source.SetDown(true)
		_, err := list.Instances(background(c))
		isType(c, err, platform.ErrUnavailable)
	})
}

func testInstances(c *qt.C, list List) {
	ctx := background(c)
	instances, err := list.Instances(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.HasLen, 0)

	agent := platform.Instance{
		ID: "agent-1", Role: platform.RoleAgent, Service: "assistant", Region: "lakes", FailureDomain: "erie",
		Address: "127.0.0.1:1", ControlAddress: "127.0.0.1:2", State: platform.InstanceLive,
	}
	store := platform.Instance{
		ID: "a-store", Role: platform.RoleStore, Region: "lakes", FailureDomain: "huron",
		Address: "127.0.0.1:3", State: platform.InstanceLive,
	}
	list.Source.Replace([]platform.Instance{agent, store})
	instances, err = list.Instances(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.DeepEquals, []platform.Instance{store, agent})

	c.Assert(list.Source.SetState("agent-1", platform.InstanceLeaving), qt.IsTrue)
	c.Assert(list.Source.SetState("agent-9", platform.InstanceLeaving), qt.IsFalse)
	instances, err = list.Instances(ctx)
	c.Assert(err, qt.IsNil)
	agent.State = platform.InstanceLeaving
	c.Assert(instances, qt.DeepEquals, []platform.Instance{store, agent})
}
