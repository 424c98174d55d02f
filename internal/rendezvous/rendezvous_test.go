package rendezvous

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	memberCount = 50
	keyCount    = 20000
)

func topMember(key uint64, members []uint64) int {
	best := 0
	for i := range members {
		if Weight(key, members[i]) > Weight(key, members[best]) {
			best = i
		}
	}
	return best
}

func TestKeysSpreadEvenlyAndMoveOnlyFromTheLostMember(t *testing.T) {
	c := qt.New(t)
	members := make([]uint64, memberCount)
	for i := range members {
		members[i] = Hash(fmt.Sprintf("agent-%d", i))
	}
	counts := make([]int, memberCount)
	for k := range keyCount {
		key := Hash(fmt.Sprintf("key-%d", k))
		w := topMember(key, members)
		counts[w]++
		if w != memberCount-1 {
			c.Assert(topMember(key, members[:memberCount-1]), qt.Equals, w)
		}
	}
	// 400 keys are expected for each member; five standard deviations are 100.
	for _, n := range counts {
		c.Assert(n > 300 && n < 500, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
