package control

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestLoopRunsEventsInOrderAndStops(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	loop := NewLoop()
	stopped := make(chan struct{})
	go func() { loop.Run(ctx); close(stopped) }()
	var seen []int
	for i := range 100 {
		c.Assert(loop.Post(func() { seen = append(seen, i) }), qt.IsTrue)
	}
	var count int
	c.Assert(loop.Call(func() { count = len(seen) }), qt.IsTrue)
	c.Assert(count, qt.Equals, 100)
	for i, v := range seen {
		c.Assert(v, qt.Equals, i)
	}
	cancel()
	<-stopped
	c.Assert(loop.Call(func() {}), qt.IsFalse)
}
