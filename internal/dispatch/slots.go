package dispatch

import (
	"math"
	"time"
)

const (
	// defaultSlotMS is the time for which a request is assumed to occupy a slot of an engine until requests have been
	// measured, in milliseconds.
	defaultSlotMS = 300.0
	// slotSmoothing is the weight of one request in the average of that time.
	slotSmoothing = 0.02
)

// slotWaitMS returns how long a prompt is expected to wait for a slot of an engine, in milliseconds, when running
// requests are known to be there. It answers the load of engines with few slots, at which more requests meet than
// have a slot long before the compute time runs out.
//
// The requests of other gateways are known from heartbeats, as an average. Their number when the prompt arrives is
// taken as normally distributed about it, with the variance of a Poisson process. The expected number of requests
// that must end first is then the mean of the positive part of a normal distribution.
func (g *service) slotWaitMS(s *server, running int) float64 {
	if s.Slots <= 0 {
		return 0
	}
	excess := float64(running + 1 - s.Slots)
	deviation := math.Sqrt(float64(max(1, s.peerLoad.Running)))
	z := excess / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	probability := math.Erfc(-z/math.Sqrt2) / 2
	return (deviation*density + excess*probability) / float64(s.Slots) * g.slotMS
}

// updateSlotTime updates the average time for which requests occupy a slot of an engine. took is the time from the
// sending of the request to its end, in which it was expected to wait for a slot at first; speed is the server's in that time.
func (g *service) updateSlotTime(p *Placement, took time.Duration, speed float64) {
	if g.Engine == nil {
		return
	}
	occupied := max(0, float64(took)/float64(time.Millisecond)-p.slotWaitMS)
	g.slotMS += slotSmoothing * (occupied/speed - g.slotMS)
}
