package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/attempt"
)

func TestBacklogShrinksWithTimeAndFirstTokens(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	b := newPrefillBacklog()
	c.Assert(b.left(false, start), qt.Equals, time.Duration(0))
	b.begin(attempt.ID{1}, prefill{work: 400 * time.Millisecond}, start)
	b.begin(attempt.ID{2}, prefill{work: 300 * time.Millisecond}, after(100))
	b.begin(attempt.ID{3}, prefill{work: 200 * time.Millisecond, patient: true}, after(100))
	b.begin(attempt.ID{4}, prefill{work: 50 * time.Millisecond, patient: true}, after(100))
	c.Assert(b.left(false, after(100)), qt.Equals, 800*time.Millisecond)
	c.Assert(b.left(true, after(100)), qt.Equals, 850*time.Millisecond)
	b.end(attempt.ID{1}, after(350))
	b.end(attempt.ID{1}, after(360))
	c.Assert(b.left(false, after(350)), qt.Equals, 500*time.Millisecond)
	c.Assert(b.left(false, after(5000)), qt.Equals, time.Duration(0))
	for i := range 4 {
		b.end(attempt.ID{byte(i + 1)}, after(400))
	}
	c.Assert(b.left(true, after(400)), qt.Equals, time.Duration(0))
}
