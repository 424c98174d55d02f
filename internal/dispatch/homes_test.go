package dispatch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/backend"
)

// However many gateways and engines a failure domain has, each gateway has engines of its own, each engine a
// gateway, and the gateways' shares differ by little.
func TestEnginesAreDealtOutWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 40).Draw(t, "gateways")
		engines := rapid.IntRange(1, 40).Draw(t, "engines")
		dealt := make(map[string]int)
		for i := range gateways {
			group := &service{}
			for e := range engines {
				group.servers = append(group.servers, &server{Server: backend.Server{ID: fmt.Sprintf("e%02d", e), FailureDomain: "a"}})
			}
			group.servers = append(group.servers, &server{Server: backend.Server{ID: "far", FailureDomain: "b"}})
			group.deal("a", Position{Index: i, Of: gateways})
			own := 0
			for _, s := range group.servers {
				if !s.away {
					own++
					dealt[s.ID]++
				}
			}
			if own == 0 || gateways > 1 && own > engines/gateways+2 {
				t.Fatalf("gateway %d of %d has %d engines of %d", i, gateways, own, engines)
			}
		}
		for e := range engines {
			id := fmt.Sprintf("e%02d", e)
			if dealt[id] == 0 || dealt[id] > gateways/engines+2 {
				t.Fatalf("engine %s of %d is that of %d gateways of %d", id, engines, dealt[id], gateways)
			}
		}
	})
}
