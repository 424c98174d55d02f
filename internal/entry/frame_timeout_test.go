package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/stream"
)

// A run past its deadline must still wait between Asks. Without that wait it sends them as fast as the
// agent replies.
func TestFrameTimeoutStaysPositiveForLateRuns(t *testing.T) {
	c := qt.New(t)
	late := &run{
		request: &request{deadline: time.Now().Add(-time.Hour)},
		stream:  stream.NewAssembler(attempt.ID{}),
	}
	c.Assert(late.frameTimeout() >= askRetryDelay, qt.IsTrue)
}
