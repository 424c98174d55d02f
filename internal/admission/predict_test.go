package admission

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPredictionsMatchTheWaits compares the predicted with the actual waits under ordinary load. Because
// probes rank replicas by the prediction, nineteen errors in twenty must be below a quarter of a run.
func TestPredictionsMatchTheWaits(t *testing.T) {
	c := qt.New(t)
	var errorsMS, waitsMS []float64
	for _, r := range simulate(trace(5, 0.8, 1)) {
		c.Assert(r.predicted, qt.HasLen, len(r.ttftMS))
		for i, ttftMS := range r.ttftMS {
			actualMS := ttftMS - prefillMS
			waitsMS = append(waitsMS, actualMS)
			errorsMS = append(errorsMS, math.Abs(r.predicted[i].Seconds()*1000-actualMS))
		}
	}
	t.Logf("wait p95 %.0f ms, error p95 %.0f ms", percentile(waitsMS, 0.95), percentile(errorsMS, 0.95))
	c.Assert(percentile(errorsMS, 0.95) <= (prefillMS+decodeMS)/4, qt.IsTrue)
}
