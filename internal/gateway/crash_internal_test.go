package gateway

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/quarantine"
)

// Guards against a crash that is taken for the one before: a server was still refused, started again and crashed at once under
// the next request.
func TestCrashJustAfterARestartIsANewOne(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	var crashes []quarantine.Crash
	d := newCrashDetector(func(crash quarantine.Crash) { crashes = append(crashes, crash) }, newPool(time.Minute))
	d.observeRefused("s")
	time.Sleep(time.Millisecond)
	sentAt := bootclock.Now()
	d.observe("s", address, quarantine.Request{Number: 1, SentAt: sentAt, Parts: []quarantine.Part{{Scope: "app", ID: "bad", Whole: true}}})
	d.wait()
	c.Assert(crashes, qt.HasLen, 2)
	c.Assert(crashes[1].Suspects, qt.HasLen, 1)
	c.Assert(crashes[1].At.Before(sentAt), qt.IsFalse)
}
