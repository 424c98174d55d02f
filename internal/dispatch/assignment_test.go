package dispatch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/backend"
)

// However many gateways and engines a failure domain has, each gateway is assigned engines, each engine is assigned to
// a gateway, and the numbers of engines per gateway differ by little.
func TestEnginesAreAssignedEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 40).Draw(t, "gateways")
		engines := rapid.IntRange(1, 40).Draw(t, "engines")
		assigned := make(map[string]int)
		for i := range gateways {
			group := &service{}
			for e := range engines {
				group.servers = append(group.servers, &server{Server: backend.Server{ID: fmt.Sprintf("e%02d", e), FailureDomain: "a"}})
			}
			group.servers = append(group.servers, &server{Server: backend.Server{ID: "far", FailureDomain: "b"}})
			group.assign("a", Position{Index: i, Count: gateways})
			count := 0
			for _, s := range group.servers {
				if !s.unassigned {
					count++
					assigned[s.ID]++
				}
			}
			if count == 0 || gateways > 1 && count > engines/gateways+2 {
				t.Fatalf("gateway %d of %d is assigned %d engines of %d", i, gateways, count, engines)
			}
		}
		for e := range engines {
			id := fmt.Sprintf("e%02d", e)
			if assigned[id] == 0 || assigned[id] > gateways/engines+2 {
				t.Fatalf("engine %s of %d is assigned to %d gateways of %d", id, engines, assigned[id], gateways)
			}
		}
	})
}
