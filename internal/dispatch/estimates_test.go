package dispatch

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// Half of the prompts whose engine seems to have an empty queue wait for prompts of other gateways. These waits must
// not raise the time per token: gateways that overestimate it refuse prompts that would be on time.
func TestTokenTimeExcludesQueueing(t *testing.T) {
	c := qt.New(t)
	const tokenMS = 1.0 / 80
	d := newDispatcher(2)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		p := Placement{Server: "e00", Plan: &kvcache.Plan{}, ComputeTokens: 1000 + rng.IntN(8000), EmptyQueue: true}
		took := firstTokenMS + tokenMS*float64(p.ComputeTokens)
		if rng.Float64() < 0.5 {
			took += 400 * rng.Float64()
		}
		d.RecordFirstByte(start, &p, milliseconds(took))
	}
	measured := d.services["engines"].tokenMS
	c.Assert(measured > 0.9*tokenMS && measured < 1.2*tokenMS, qt.IsTrue, qt.Commentf("%v ms a token, not %v", measured, tokenMS))
}

// A store may have become slow since the last fetch. The engine must abandon the fetch while there is still time to
// compute the prompt.
func TestFetchCutoffLeavesTimeToComputeThePrompt(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	r := prompt("s", 9000)
	p := mustPlace(c, d, r, start)
	compute := milliseconds(firstTokenMS + 9000*d.services["engines"].tokenMS)
	c.Assert(p.Plan.Until.Sub(start)+compute <= r.TargetLatency, qt.IsTrue, qt.Commentf("%v left to compute the prompt", r.TargetLatency-p.Plan.Until.Sub(start)))
}
