package fleet

import (
	"time"

	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/dispatch"
)

// speedBuckets span the factors that predictions are multiplied by; the bounds are those of package dispatch.
var speedBuckets = tally.ValueBuckets{0.6, 0.8, 0.95, 1.05, 1.25, 1.5, 2, 2.5, 3, 4, 5}

// recordPlacedSpeed counts the factor by which the speed of the server multiplied the predictions of a placement.
func (f *Fleet) recordPlacedSpeed(p *dispatch.Placement) {
	if p.SpeedStated {
		f.Counters.SpeedFactor.RecordValue(p.Speed)
	}
}

// updateSpeedGauges sets the gauges of servers that state their speed.
func (f *Fleet) updateSpeedGauges(now time.Time) {
	stated, slow := f.dispatcher.SpeedCounts(now)
	f.Counters.ServersStatingSpeed.Update(float64(stated))
	f.Counters.ServersSlow.Update(float64(slow))
}
