package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// A restarted process keeps its instance id. The entry has no connection to it on which it could
// say that it is not leaving, so the entry must ask again by itself.
func TestLeavingAgentIsAskedAgainLater(t *testing.T) {
	c := qt.New(t)
	r := newReplicas(nil, zap.NewNop())
	r.byService = map[string][]platform.Instance{"assistant": {{ID: "a"}, {ID: "b"}}}
	ids := func(now time.Time) (ids []string) {
		for _, instance := range r.of("assistant", now) {
			ids = append(ids, instance.ID)
		}
		return ids
	}
	now := time.Unix(1000, 0)
	r.heard(&wire.Hello{Instance: "a", Incarnation: 1, Leaving: true}, now)
	c.Assert(ids(now), qt.DeepEquals, []string{"b"})
	c.Assert(ids(now.Add(leavingFor-time.Millisecond)), qt.DeepEquals, []string{"b"})
	c.Assert(ids(now.Add(leavingFor)), qt.DeepEquals, []string{"a", "b"})

	r.heard(&wire.Hello{Instance: "a", Incarnation: 1, Leaving: true}, now)
	r.heard(&wire.Hello{Instance: "a", Incarnation: 1}, now) // an older frame of the leaving process
	c.Assert(ids(now), qt.DeepEquals, []string{"b"})
	r.heard(&wire.Hello{Instance: "a", Incarnation: 2}, now)
	c.Assert(ids(now), qt.DeepEquals, []string{"a", "b"})
}
