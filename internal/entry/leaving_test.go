package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestLeavingAgentIsAskedAgainLater(t *testing.T) {
	c := qt.New(t)
	r := newReplicas(process.Identity{}, nil, zap.NewNop())
	leaving := func() bool {
		_, found := r.leaving["a"]
		return found
	}
	r.heard(&wire.Hello{Instance: "a", Incarnation: 1, Leaving: true})
	r.heard(&wire.Hello{Instance: "a", Incarnation: 1}) // an older frame of the leaving process
	c.Assert(leaving(), qt.IsTrue)
	at := r.leaving["a"].at
	r.forgetLeaving(at.Add(leavingFor - time.Millisecond))
	c.Assert(leaving(), qt.IsTrue)
	r.forgetLeaving(at.Add(leavingFor))
	c.Assert(leaving(), qt.IsFalse)

	r.heard(&wire.Hello{Instance: "a", Incarnation: 1, Leaving: true})
	r.heard(&wire.Hello{Instance: "a", Incarnation: 2})
	c.Assert(leaving(), qt.IsFalse)
}
