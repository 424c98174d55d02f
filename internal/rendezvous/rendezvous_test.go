package rendezvous

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	members = 50
	keys    = 20000
)

func winner(key uint64, names []uint64) int {
	best := 0
	for i := range names {
		if Weight(key, names[i]) > Weight(key, names[best]) {
			best = i
		}
	}
	return best
}

func TestKeysSpreadEvenlyAndMoveOnlyFromTheLostMember(t *testing.T) {
	c := qt.New(t)
	names := make([]uint64, members)
	for i := range names {
		names[i] = Hash(fmt.Sprintf("agent-%d", i))
	}
	counts := make([]int, members)
	for k := range keys {
		key := Hash(fmt.Sprintf("key-%d", k))
		w := winner(key, names)
		counts[w]++
		if w != members-1 {
			c.Assert(winner(key, names[:members-1]), qt.Equals, w)
		}
	}
	// 400 keys are expected for each member; five standard deviations are 100.
	for _, n := range counts {
		c.Assert(n > 300 && n < 500, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
