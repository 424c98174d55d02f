package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/backend"
)

// A registration of an earlier run, which the metadata store brings back from a copy, doesn't tell the software that runs now.
func TestRegistrationOfEarlierRunTellsNoSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(0)
	register := func(startedMS int64, version string) {
		d.SetServers([]backend.Server{{
			ID: "p0", Service: "plain", Address: "10.0.1.1:1", FailureDomain: "a", Slots: 6, StartedMS: startedMS, SoftwareVersion: version,
		}})
	}
	continues := func(version string) bool {
		r := plain()
		r.Continues, r.SoftwareVersion = true, version
		_, refusal := d.Place(start, r)
		return refusal == nil
	}
	register(1000, "v1")
	c.Assert(continues("v1"), qt.IsTrue)
	register(2000, "v2")
	c.Assert(continues("v1"), qt.IsFalse)
	c.Assert(continues("v2"), qt.IsTrue)
	register(1000, "v1")
	c.Assert(continues("v1"), qt.IsFalse)
	c.Assert(d.SoftwareVersion(start, "p0"), qt.Equals, "")
	_, refusal := d.Place(start, plain())
	c.Assert(refusal, qt.IsNil)
	register(2000, "v2")
	c.Assert(continues("v2"), qt.IsTrue)
}

// The end of a run that is noticed late says nothing about the next one.
func TestEndOfEarlierRunLeavesTheRegisteredOne(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(0)
	d.SetServers([]backend.Server{{
		ID: "p0", Service: "plain", Address: "10.0.1.1:1", FailureDomain: "a", Slots: 6, StartedMS: 2000, SoftwareVersion: "v2",
	}})
	d.EndRun(start, "p0", 2000)
	c.Assert(d.SoftwareVersion(start, "p0"), qt.Equals, "v2")
	d.EndRun(start, "p0", 2001)
	c.Assert(d.SoftwareVersion(start, "p0"), qt.Equals, "")
	c.Assert(d.SoftwareVersion(start.Add(runEndedTTL), "p0"), qt.Equals, "v2")
}

// Guards against an old registration that is trusted again in an outage of the metadata store: the server has started again with other
// software, and its new registration can't arrive.
func TestEndedRunIsNotTrustedAgainWhileRegistrationsCannotArrive(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(0)
	d.SetServers([]backend.Server{{
		ID: "p0", Service: "plain", Address: "10.0.1.1:1", FailureDomain: "a", Slots: 6, StartedMS: 2000, SoftwareVersion: "v2",
	}})
	d.EndRun(start, "p0", 2001)
	now := start
	for range 100 {
		now = now.Add(runEndedTTL / 4)
		d.KeepRunsEnded(now)
		c.Assert(d.SoftwareVersion(now, "p0"), qt.Equals, "")
	}
	c.Assert(d.SoftwareVersion(now.Add(runEndedTTL), "p0"), qt.Equals, "v2")
}

// Answers the load after some of the servers of a service have ended at once: their streams are taken up while the other servers have
// queues. They go on where new prompts are refused, unless the wait is longer than callers bear.
func TestStreamsGoOnAtServersThatRefuseNewPrompts(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(4)
	list := servers(4)
	for i := range list {
		list[i].SoftwareVersion = "v1"
	}
	d.SetServers(list)
	began, refused, continued, waited := 0, 0, 0, 0
	for i := range 400 {
		r := prompt(fmt.Sprint("new", i), 3000)
		if p, refusal := d.Place(start, r); refusal == nil {
			d.RecordSent(start, &p)
			began++
		} else {
			refused++
		}
		r = prompt(fmt.Sprint("old", i), 3000)
		r.TimeLeft = 10 * time.Second
		r.Continues, r.SoftwareVersion = true, "v1"
		if p, refusal := d.Place(start, r); refusal == nil {
			d.RecordSent(start, &p)
			continued++
		} else {
			waited++
		}
	}
	c.Assert(refused > 0, qt.IsTrue)
	c.Assert(continued > began, qt.IsTrue, qt.Commentf("%d went on, %d began", continued, began))
	c.Assert(waited > 0, qt.IsTrue, qt.Commentf("no stream waits for longer than callers bear"))
}
