package admission

// Limits for the correction of estimates.
const (
	maxCorrection  = 4.0 // factor, up or down
	correctionGain = 0.1 // weight of a new observation
	maxKinds       = 1024
)

// correction scales the estimates of each kind of job by an exponentially weighted mean of actual
// over estimated work.
type correction struct {
	factors map[string]float64
}

func newCorrection() correction {
	return correction{factors: make(map[string]float64)}
}

func (c *correction) correct(kind string, work float64) float64 {
	if factor, known := c.factors[kind]; known {
		return work * factor
	}
	return work
}

func (c *correction) observe(kind string, estimated, actual float64) {
	if !(estimated > 0) || !(actual > 0) {
		return // also for NaN
	}
	factor, known := c.factors[kind]
	if !known {
		if len(c.factors) >= maxKinds {
			return
		}
		factor = 1
	}
	ratio := min(max(actual/estimated, 1/maxCorrection), maxCorrection)
	c.factors[kind] = factor + correctionGain*(ratio-factor)
}
