package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/stream"
)

// A run past its time waits between questions; without the wait it asks as fast as the agent answers.
func TestPatienceNeverEnds(t *testing.T) {
	c := qt.New(t)
	late := &run{
		request: &request{deadline: time.Now().Add(-time.Hour)},
		stream:  stream.NewAssembler(attempt.ID{}),
	}
	c.Assert(late.patience() >= askPause, qt.IsTrue)
}
