package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memlist"
)

// listRows returns rows of one store and the given number of agents.
func listRows(agents int) []metastore.Instance {
	rows := []metastore.Instance{{ID: "store", Role: metastore.RoleStore, State: metastore.InstanceLive}}
	for n := range agents {
		name := fmt.Sprintf("agent-%d", n)
		rows = append(rows, metastore.Instance{
			ID: name, Role: metastore.RoleAgent, Service: "assistant",
			ControlAddress: name, State: metastore.InstanceLive,
		})
	}
	return rows
}

func TestPeersAreOtherProcesses(t *testing.T) {
	c := qt.New(t)
	list := memlist.New(0)
	list.Replace(listRows(5))
	i := newInstances("agent-0", list)
	c.Assert(i.Peers(0), qt.HasLen, 0)
	_, err := i.Instances(context.Background())
	c.Assert(err, qt.ErrorMatches, ".*was not read yet")
	i.read(context.Background())
	c.Assert(i.Peers(0), qt.HasLen, 4)
	c.Assert(i.Peers(3), qt.HasLen, 3)
	for _, peer := range i.Peers(0) {
		c.Assert(peer.Instance, qt.Not(qt.Equals), "agent-0")
	}
	c.Assert(i.agentsOf("assistant"), qt.HasLen, 5)
}

func TestListReadsStayWithinTheControlBudget(t *testing.T) {
	c := qt.New(t)
	const processesAtTheDesignSize = 11000
	for _, rows := range []int{30, 1000, processesAtTheDesignSize} {
		for range 100 {
			interval := readInterval(rows)
			c.Assert(interval >= minReadInterval*3/4, qt.IsTrue)
			bytesPerSecond := float64(rows*rowBytes) / interval.Seconds()
			c.Assert(bytesPerSecond <= listBytesPerSecond*4/3+1, qt.IsTrue, qt.Commentf("%d rows: %.0f B/s", rows, bytesPerSecond))
		}
	}
	c.Assert(readInterval(20) <= 2*time.Second, qt.IsTrue)
}
