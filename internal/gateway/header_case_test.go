package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against responses that are taken for another request's because their header names are in lower case.
func TestHeaderNamesOfServersInLowerCase(t *testing.T) {
	c := qt.New(t)
	lower := func(r *received, status, lines string) {
		r.write("HTTP/1.1 %s\r\nbalsamyoke-request-id: %s\r\n%scontent-length: 1\r\n\r\nx", status, r.id(), lines)
	}
	s := startServer(c, func(r *received) {
		if strings.Contains(r.requestLine, "/refuse") {
			lower(r, "503 Service Unavailable", "balsamyoke-not-executed: 1\r\nretry-after: 0.1\r\n")
			return
		}
		lower(r, "200 OK", "balsamyoke-response-stamp: s\r\n")
	})
	d := deploy(c, s)
	started := time.Now()
	c.Check(d.mustSend("POST", "/book/x", "", "b").status, qt.Equals, 200)
	c.Check(d.mustSend("POST", "/book/refuse", "", "b").status, qt.Equals, 503)
	c.Check(time.Since(started) < time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}
