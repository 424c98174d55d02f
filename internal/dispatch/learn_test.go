package dispatch

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// Half of the prompts that seem alone at their engine wait for prompts of other gateways. The time of a token
// must not be learnt from these: gateways that take engines for slow refuse prompts that would be in time.
func TestTimeOfATokenIsThatOfPromptsThatAreAlone(t *testing.T) {
	c := qt.New(t)
	const tokenMS = 1.0 / 80
	d := newDispatcher(2)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		p := Placement{Server: "e00", Plan: &kvcache.Plan{}, Tokens: 1000 + rng.IntN(8000), Alone: true}
		took := firstTokenMS + tokenMS*float64(p.Tokens)
		if rng.Float64() < 0.5 {
			took += 400 * rng.Float64()
		}
		d.FirstByte(start, &p, milliseconds(took))
	}
	learnt := d.services["engines"].tokenMS
	c.Assert(learnt > 0.9*tokenMS && learnt < 1.2*tokenMS, qt.IsTrue, qt.Commentf("%v ms a token, not %v", learnt, tokenMS))
}

// A store that has become slow since the last fetch: the engine must give the fetch up while there is still
// time to read the prompt.
func TestSlowFetchLeavesTimeToReadThePrompt(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	r := prompt("s", 9000)
	p := mustPlace(c, d, r, start)
	reading := milliseconds(firstTokenMS + 9000*d.services["engines"].tokenMS)
	c.Assert(p.Plan.Until.Sub(start)+reading <= r.Target, qt.IsTrue, qt.Commentf("%v left to read", r.Target-p.Plan.Until.Sub(start)))
}
