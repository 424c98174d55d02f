package attempt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
)

func TestIDCarriesItsTime(t *testing.T) {
	c := qt.New(t)
	before := time.Now().Truncate(time.Millisecond)
	id, err := NewID()
	c.Assert(err, qt.IsNil)
	// NewV7 may run ahead of the clock by a millisecond to stay ordered.
	c.Assert(id.Time().Before(before), qt.IsFalse)
	c.Assert(id.Time().Sub(before) < time.Minute, qt.IsTrue)
	parsed, err := ParseID(id[:])
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.Equals, id)
}

func TestParseIDRefusesOtherBytes(t *testing.T) {
	c := qt.New(t)
	random := uuid.New()
	for _, raw := range [][]byte{nil, make([]byte, 15), make([]byte, 16), random[:]} {
		_, err := ParseID(raw)
		c.Assert(errorx.IsOfType(err, ErrInvalidID), qt.IsTrue)
	}
}
