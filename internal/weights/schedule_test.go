package weights

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawTargets draws target versions as they may become known: in any order, some several times with other times.
func drawTargets(t *rapid.T) []TargetVersion {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) TargetVersion {
		return TargetVersion{
			Model:   "m",
			Version: rapid.Int64Range(1, 9).Draw(t, "version"),
			SetAt:   start.Add(time.Duration(rapid.IntRange(-40_000, 0).Draw(t, "at_ms")) * time.Millisecond),
		}
	}), 1, 12).Draw(t, "targets")
}

// earliest returns the earliest time of a target version that is newer than version.
func earliest(targets []TargetVersion, version int64) (at time.Time, found bool) {
	for _, target := range targets {
		if target.Version > version && (!found || target.SetAt.Before(at)) {
			at, found = target.SetAt, true
		}
	}
	return at, found
}

// An engine's deadline follows from the earliest of all newer target versions.
func TestDeadlineFollowsFromAllNewerVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		s := NewSchedule()
		s.SetWithin(time.Second)
		for _, target := range targets {
			s.Add(target)
		}
		for version := range int64(10) {
			deadline, bound := s.Deadline("m", version)
			at, found := earliest(targets, version)
			if bound != found || bound && !deadline.Equal(at.Add(time.Second)) {
				t.Fatalf("version %d is due at %v (%t), want %v (%t)", version, deadline, bound, at.Add(time.Second), found)
			}
		}
	})
}

// A gateway that gets the binding versions of another one takes the same engines as overdue from then on.
func TestBindingVersionsSufficeForAnotherGateway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := NewSchedule(), NewSchedule()
		s.SetWithin(15 * time.Second)
		other.SetWithin(15 * time.Second)
		for _, target := range drawTargets(t) {
			s.Add(target)
		}
		for _, target := range s.Binding("m", start) {
			other.Add(target)
		}
		for after := time.Duration(0); after <= 16*time.Second; after += 500 * time.Millisecond {
			now := start.Add(after)
			for version := range int64(10) {
				deadline, bound := s.Deadline("m", version)
				otherDeadline, otherBound := other.Deadline("m", version)
				overdue, otherOverdue := bound && !now.Before(deadline), otherBound && !now.Before(otherDeadline)
				if bound != otherBound || overdue != otherOverdue {
					t.Fatalf("version %d after %v: overdue %t, at the other gateway %t", version, after, overdue, otherOverdue)
				}
			}
		}
	})
}

// Guards against inc1 of issue 56: a deadline counted from a late reading, though some gateway knows since when the version may be set.
func TestLateReadingsNeverExtendADeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const within = time.Minute
		s := NewSchedule()
		s.SetWithin(within)
		milliseconds := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		setAt := start
		times := make(map[int64]time.Time)
		exact := make(map[int64]bool)
		var told []TargetVersion
		for version := int64(2); version <= 5; version++ {
			setAt = setAt.Add(milliseconds(6000, "pause"))
			times[version] = setAt
			for range rapid.IntRange(1, 3).Draw(t, "gateways") {
				known := TargetVersion{Model: "m", Version: version, SetAt: setAt.Add(milliseconds(8000, "late")), NotBefore: setAt.Add(-milliseconds(4000, "early"))}
				exact[version] = exact[version] || known.NotBefore.Equal(setAt)
				unbounded := known
				unbounded.SetAt, unbounded.NotBefore = known.SetAt.Add(milliseconds(20_000, "held up")), time.Time{}
				told = append(told, known, unbounded)
			}
		}
		for _, target := range rapid.Permutation(told).Draw(t, "order") {
			s.Add(target)
		}
		for version, at := range times {
			deadline, bound := s.Deadline("m", version-1)
			if !bound || deadline.After(at.Add(within)) {
				t.Fatalf("version %d is due %v late (%t)", version-1, deadline.Sub(at.Add(within)), bound)
			}
			if exact[version] && !deadline.Equal(at.Add(within)) {
				t.Fatalf("version %d is due %v early, though a gateway knows the time", version-1, at.Add(within).Sub(deadline))
			}
		}
	})
}

// Gateways that start after a long stop must not take all engines as overdue at once.
func TestLongUnreadTimeLeavesTimeToLoad(t *testing.T) {
	c := qt.New(t)
	s := NewSchedule()
	s.SetWithin(10 * time.Second)
	s.Add(TargetVersion{Model: "m", Version: 2, SetAt: start, NotBefore: start.Add(-time.Hour)})
	deadline, bound := s.Deadline("m", 1)
	c.Assert(bound, qt.IsTrue)
	c.Assert(deadline.Sub(start), qt.Equals, 5*time.Second)
}

// Versions that are set faster than they can be kept bind engines too early rather than too late.
func TestManyTargetVersionsNeverBindLater(t *testing.T) {
	c := qt.New(t)
	s := NewSchedule()
	var targets []TargetVersion
	for v := range int64(3 * maxScheduled) {
		target := TargetVersion{Model: "m", Version: v + 1, SetAt: start.Add(time.Duration(v) * 100 * time.Millisecond)}
		targets = append(targets, target)
		c.Assert(s.Add(target), qt.IsTrue)
	}
	for version := range int64(3 * maxScheduled) {
		deadline, bound := s.Deadline("m", version)
		at, _ := earliest(targets, version)
		c.Assert(bound, qt.IsTrue)
		c.Assert(deadline.After(at), qt.IsFalse)
	}
	c.Assert(len(s.Binding("m", start)), qt.Equals, maxScheduled)
	before, _ := s.Deadline("m", 0)
	s.Add(TargetVersion{Model: "m", Version: 1, SetAt: start.Add(time.Hour)})
	after, _ := s.Deadline("m", 0)
	c.Assert(after.After(before), qt.IsFalse)
	c.Assert(s.Newest("m"), qt.Equals, int64(3*maxScheduled))
	c.Assert(s.Models(), qt.DeepEquals, []string{"m"})
}
