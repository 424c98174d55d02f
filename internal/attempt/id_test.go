package attempt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
)

func TestIDContainsCreationTime(t *testing.T) {
	c := qt.New(t)
	before := time.Now().Truncate(time.Millisecond)
	id, err := NewID()
	c.Assert(err, qt.IsNil)
	// The time in the id may be a millisecond ahead of the clock, because NewV7 keeps ids in order.
	c.Assert(id.Time().Before(before), qt.IsFalse)
	c.Assert(id.Time().Sub(before) < time.Minute, qt.IsTrue)
	parsed, err := ParseID(id[:])
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.Equals, id)
}

func TestParseIDRejectsOtherBytes(t *testing.T) {
	c := qt.New(t)
	random := uuid.New()
	for _, raw := range [][]byte{nil, make([]byte, 15), make([]byte, 16), random[:]} {
		_, err := ParseID(raw)
		c.Assert(errorx.IsOfType(err, ErrInvalidID), qt.IsTrue)
	}
}
