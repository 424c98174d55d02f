package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func agents(count int, state metastore.InstanceState) []metastore.Instance {
	list := make([]metastore.Instance, count)
	for i := range list {
		list[i] = metastore.Instance{
			ID: fmt.Sprintf("assistant-%05d", i), Role: metastore.RoleAgent, Service: "assistant",
			Region: "kigali", FailureDomain: fmt.Sprintf("kigali-%d", i%3), State: state,
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), ControlAddress: fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
		}
	}
	return list
}

// tableWithOneAgent returns a table with one live agent and the agent's ID.
func tableWithOneAgent() (*Table, string) {
	table := New(metastore.RoleAgent)
	list := agents(1, metastore.InstanceLive)
	table.RecordList(start, list)
	return table, list[0].ID
}

func isOpen(t *Table, id string) bool {
	m, _ := t.Lookup(id)
	return m.Open
}

func TestOwnReportOverridesTheList(t *testing.T) {
	c := qt.New(t)
	table, id := tableWithOneAgent()
	c.Assert(isOpen(table, id), qt.IsTrue)
	c.Assert(table.RecordReport(start, Report{Instance: id, Incarnation: 1, Leaving: true}), qt.IsTrue)

	// The lagging list and an older frame of the same process do not make it open again.
	table.RecordList(start.Add(time.Second), agents(1, metastore.InstanceLive))
	table.RecordReport(start.Add(time.Second), Report{Instance: id, Incarnation: 1})
	table.Tick(start.Add(LeavingTTL - 1))
	c.Assert(isOpen(table, id), qt.IsFalse)

	// After LeavingTTL another process may run as this instance.
	c.Assert(table.Tick(start.Add(LeavingTTL)), qt.IsTrue)
	c.Assert(isOpen(table, id), qt.IsTrue)

	// A process that replaced it reports under another incarnation.
	table.RecordReport(start, Report{Instance: id, Incarnation: 1, Leaving: true})
	c.Assert(table.RecordReport(start, Report{Instance: id, Incarnation: 2, ConfigVersion: 7}), qt.IsTrue)
	c.Assert(isOpen(table, id), qt.IsTrue)
	m, _ := table.Lookup(id)
	c.Assert(m.ConfigVersion, qt.Equals, uint64(7))
}

// An instance that the list shows as leaving is not open again until another incarnation reports.
func TestListedAsLeavingHoldsUntilReplaced(t *testing.T) {
	c := qt.New(t)
	table, id := tableWithOneAgent()
	table.RecordList(start, agents(1, metastore.InstanceLeaving))
	table.Tick(start.Add(time.Hour))
	c.Assert(isOpen(table, id), qt.IsFalse)
	table.RecordReport(start, Report{Instance: id, Incarnation: 1})
	c.Assert(isOpen(table, id), qt.IsFalse)
	table.RecordReport(start, Report{Instance: id, Incarnation: 2})
	c.Assert(isOpen(table, id), qt.IsTrue)
}

func TestUnreachableInstanceIsSuspectForAWhile(t *testing.T) {
	c := qt.New(t)
	table, id := tableWithOneAgent()
	c.Assert(table.RecordFailure(start, id), qt.IsTrue)
	m, _ := table.Lookup(id)
	c.Assert(m.Open, qt.IsFalse)
	c.Assert(m.Unconfirmed, qt.IsTrue)
	table.RecordFailure(start.Add(time.Second), id)
	table.Tick(start.Add(SuspectTTL))
	c.Assert(isOpen(table, id), qt.IsFalse)
	table.Tick(start.Add(time.Second + SuspectTTL))
	c.Assert(isOpen(table, id), qt.IsTrue)
	table.RecordFailure(start, id)
	table.RecordReport(start, Report{Instance: id, Incarnation: 1})
	c.Assert(isOpen(table, id), qt.IsTrue)
}

// An instance list that has just started is empty, so an empty list must not remove instances that have reported
// recently.
func TestEmptyListIsIgnored(t *testing.T) {
	c := qt.New(t)
	table, id := tableWithOneAgent()
	table.RecordReport(start, Report{Instance: id, Incarnation: 1})
	table.RecordList(start.Add(time.Second), nil)
	c.Assert(isOpen(table, id), qt.IsTrue)
	c.Assert(table.ReadAt(), qt.Equals, start.Add(time.Second))

	// An instance that is not listed and does not report is removed.
	table.RecordList(start.Add(UnlistedTTL), nil)
	c.Assert(len(table.members), qt.Equals, 0)
}

func TestUnlistedInstanceThatReportsIsKept(t *testing.T) {
	c := qt.New(t)
	table := New(metastore.RoleAgent)
	list := agents(3, metastore.InstanceLive)
	table.RecordList(start, list)
	table.RecordReport(start.Add(time.Minute), Report{Instance: list[2].ID, Incarnation: 1})
	table.RecordList(start.Add(time.Minute), list[:1])
	c.Assert(len(table.members), qt.Equals, 2)
	c.Assert(isOpen(table, list[2].ID), qt.IsTrue)
}

// TestLeavingIsNeverOpenTooSoon applies random reports, failures and lists. An instance that reported that it is
// leaving must not be open before LeavingTTL has passed or a later incarnation has reported.
func TestLeavingIsNeverOpenTooSoon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, id := tableWithOneAgent()
		now := start
		var reportedLeavingAt time.Time
		incarnation, leavingIncarnation := uint64(1), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				table.Tick(now)
			},
			"leaving": func(*rapid.T) {
				table.RecordReport(now, Report{Instance: id, Incarnation: incarnation, Leaving: true})
				reportedLeavingAt, leavingIncarnation = now, incarnation
			},
			"heard": func(*rapid.T) { table.RecordReport(now, Report{Instance: id, Incarnation: incarnation}) },
			"restart": func(*rapid.T) {
				incarnation++
				table.RecordReport(now, Report{Instance: id, Incarnation: incarnation})
			},
			"failed": func(*rapid.T) { table.RecordFailure(now, id) },
			"listed": func(*rapid.T) { table.RecordList(now, agents(1, metastore.InstanceLive)) },
			"": func(t *rapid.T) {
				if leavingIncarnation == incarnation && now.Sub(reportedLeavingAt) < LeavingTTL && isOpen(table, id) {
					t.Fatalf("open %v after it reported that it is leaving", now.Sub(reportedLeavingAt))
				}
			},
		})
	})
}

// BenchmarkBytesPerInstance reports the heap bytes that one instance takes.
func BenchmarkBytesPerInstance(b *testing.B) {
	const count = 10000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New(metastore.RoleAgent)
		table.RecordList(start, agents(count, metastore.InstanceLive))
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "bytes/instance")
		runtime.KeepAlive(table)
	}
}

func BenchmarkRecordList(b *testing.B) {
	table := New(metastore.RoleAgent)
	list := agents(11000, metastore.InstanceLive)
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		table.RecordList(now, list)
	}
}
