package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/weights"
)

// addTargets makes versions of model m the target, as if they had been set the given times ago.
func addTargets(f *Fleet, ages map[int64]time.Duration) {
	f.loop.Call(func() {
		for version, age := range ages {
			f.dispatcher.AddTargetWeightVersion(weights.TargetVersion{Model: "m", Version: version, SetAt: bootclock.Now().Add(-age)})
		}
	})
}

// untilDue returns the time until engines with a version of model m are due; false if none of its newer versions is the target.
func untilDue(f *Fleet, version int64) (due time.Duration, bound bool) {
	f.loop.Call(func() {
		var deadline time.Time
		deadline, bound = f.dispatcher.Targets().Deadline("m", version)
		due = deadline.Sub(bootclock.Now())
	})
	return due, bound
}

// expectSameDeadlines waits until engines with versions 1 and 2 are due at both gateways within half a second of each other.
func expectSameDeadlines(c *qt.C, a, b *Fleet) {
	c.Helper()
	eventually(c, "both gateways have the same deadlines", func() bool {
		for version := range int64(3) {
			dueA, boundA := untilDue(a, version)
			dueB, boundB := untilDue(b, version)
			if boundA != boundB || (dueA-dueB).Abs() > 500*time.Millisecond {
				return false
			}
		}
		return true
	})
}

// A gateway that starts after two target versions were set, or that was cut off from the metadata store then, counts each of
// them from its own time, which the other gateways know.
func TestGatewayLearnsTimesOfTargetVersionsFromOthers(t *testing.T) {
	c := qt.New(t)
	store := memkv.New()
	c.Cleanup(store.Close)
	put(c, store, "op/config", "1")
	put(c, store, "op/weights/m", "3")
	early := startFleetOn(c, "a", store)
	eventually(c, "the first gateway knows version 3", func() bool { _, bound := untilDue(early, 2); return bound })
	addTargets(early, map[int64]time.Duration{2: 8 * time.Second, 3: 4 * time.Second})
	late := startFleetOn(c, "b", store, early.Self.GetControlAddress())
	eventually(c, "the second gateway knows version 3", func() bool { _, bound := untilDue(late, 2); return bound })
	expectSameDeadlines(c, early, late)
}
