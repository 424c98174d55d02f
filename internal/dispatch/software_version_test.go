package dispatch

import (
	"testing"

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
