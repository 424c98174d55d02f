package membudget

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

// Readers that together need more than the budget wait for each other, and none holds more than the budget.
func TestReadersShareTheBudget(t *testing.T) {
	c := qt.New(t)
	budget := New(100)
	first, second := budget.Reserve(), budget.Reserve()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	c.Assert(first.Grow(ctx, 80), qt.IsNil)
	err := second.Grow(ctx, 30)
	c.Assert(errorx.IsOfType(err, ErrExhausted), qt.IsTrue, qt.Commentf("%v", err))
	first.Release()
	c.Assert(second.Grow(context.Background(), 30), qt.IsNil)
	c.Assert(second.Grow(context.Background(), 70), qt.IsNil)
	second.Release()
	c.Assert(second.Bytes(), qt.Equals, int64(0))
}

// A message that exceeds the whole budget fails at once instead of waiting for memory that will never be free.
func TestMessageOverTheWholeBudgetFailsAtOnce(t *testing.T) {
	c := qt.New(t)
	reservation := New(100).Reserve()
	c.Assert(reservation.Grow(context.Background(), 60), qt.IsNil)
	err := reservation.Grow(context.Background(), 60)
	c.Assert(errorx.IsOfType(err, ErrExhausted), qt.IsTrue, qt.Commentf("%v", err))
}

func TestNoBudgetMeansNoLimit(t *testing.T) {
	c := qt.New(t)
	var none *Budget
	reservation := none.Reserve()
	c.Assert(reservation.Grow(context.Background(), 1<<40), qt.IsNil)
	reservation.Release()
}
