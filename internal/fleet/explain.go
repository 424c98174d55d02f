package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/origin"
	"balsamyoke.example/balsamyoke/internal/quarantine"
)

// maxExplained bounds the servers that an explanation lists. A service of the deployments has up to 54 servers, and the text of 64 can
// still be read.
const maxExplained = 64

// ExplainOrigin returns the origin of a stream as FindOrigin does, but counts nothing and asks the others once.
func (f *Fleet) ExplainOrigin(ctx context.Context, stream string) origin.Origin {
	found, keepers := f.lookUpOrigin(stream)
	if found.Known() || stream == "" {
		return found
	}
	return f.askOrigins(ctx, keepers, stream)
}

// Explain returns where Place would place the request now, without a change of any state. It returns false when the gateway is
// stopping. It occupies the control goroutine for about 1 µs per server of the service.
func (f *Fleet) Explain(r *dispatch.Request, parts []quarantine.Part) (e explain.Service, ok bool) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ok = f.loop.Call(func() {
		now := bootclock.Now()
		e = f.dispatcher.Explain(now, r, maxExplained, rng)
		if r.Continues && r.Model == "" && !f.registry.IsStoreReachable() {
			e = f.explainUnconfirmed(now, r, e, rng)
		}
		hold, held := f.quarantine.WouldHold(now, parts, f.lead.fence > 0)
		if refusal := holdRefusal(now, hold, held); refusal != nil {
			e.Refusal = refusal.Explain()
		}
	})
	return e, ok
}

// explainUnconfirmed returns what becomes of the rest of a plain service's stream while no run can be confirmed: Place leaves out one
// server after the other.
func (f *Fleet) explainUnconfirmed(now time.Time, r *dispatch.Request, e explain.Service, rng *rand.Rand) explain.Service {
	unconfirmed := *r
	unconfirmed.Tried = slices.Clone(r.Tried)
	for range maxExplained {
		if e.Refusal != nil {
			break
		}
		unconfirmed.Tried = append(unconfirmed.Tried, e.Server)
		e = f.dispatcher.Explain(now, &unconfirmed, maxExplained, rng)
	}
	return e
}
