package eventlog_test

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/eventlog"
)

// A standard output that is not read must not block callers.
func TestStalledOutputDoesNotBlockCallers(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	defer writer.Close()
	log := eventlog.New(writer)
	longText := strings.Repeat("x", 60<<10)
	start := time.Now()
	for i := range 400 {
		// The names differ so that the limit for one event doesn't apply.
		log.Warn("event-"+strings.Repeat("y", i), zap.String("long", longText))
	}
	c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(start)))
	c.Assert(log.Lost() > 0, qt.IsTrue)
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) lines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.String(), "\n")
}

func TestVolumeIsLimitedAndFailuresAreKept(t *testing.T) {
	c := qt.New(t)
	out := &lockedBuffer{}
	log := eventlog.New(out)
	for range 1000 {
		log.Info("served")
	}
	log.Warn("served", zap.String("why", "failure"))
	log.Close()
	c.Assert(out.lines() <= 202, qt.IsTrue, qt.Commentf("%d lines", out.lines()))
	c.Assert(strings.Contains(out.String(), "failure"), qt.IsTrue)
	c.Assert(strings.Contains(out.String(), "dropped_before"), qt.IsTrue)
}
