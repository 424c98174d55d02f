package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/fleet"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// Guards against saves that leave long after they were planned: the store may have restarted since.
func TestRequestThatWaitedToBeSentSavesNothing(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{fleet: &fleet.Fleet{}}
	now := bootclock.Now()
	for age, saved := range map[time.Duration]string{0: "10.0.0.1:1", time.Minute: ""} {
		plan := &kvcache.Plan{
			Fetch: []string{""}, Save: []string{"10.0.0.1:1"}, Until: now, SaveBefore: now.Add(kvcache.ReadingTTL - age),
		}
		d := g.newDispatch(&request{
			incoming: &incoming{}, route: &routing.Route{}, deadline: time.Now(), placement: dispatch.Placement{Plan: plan},
		})
		c.Check(d.Plan.Save, qt.DeepEquals, []string{saved}, qt.Commentf("age %v", age))
	}
}
