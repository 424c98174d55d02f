package dispatch

import (
	"math"
	"time"
)

// averageOver is the time over which a gateway averages its load at a server for the other gateways: about
// the age of a beat when it is used. The load of one moment is gone by then, and gateways that all believe
// in it go to the same server at once.
const averageOver = 500 * time.Millisecond

// averageLoad is an exponentially weighted average of a gateway's load at one server.
type averageLoad struct {
	running, tokens float64
	at              time.Time
}

// count adds to the gateway's own load at the server.
func (s *server) count(now time.Time, running, tokens int) {
	s.average.advance(now, s.running, s.tokens)
	s.running = max(0, s.running+running)
	s.tokens = max(0, s.tokens+tokens)
}

// advance takes the load that has been there since the last change.
func (a *averageLoad) advance(now time.Time, running, tokens int) {
	if a.at.IsZero() {
		a.at = now
	}
	kept := math.Exp(-float64(now.Sub(a.at)) / float64(averageOver))
	a.running = float64(running) + kept*(a.running-float64(running))
	a.tokens = float64(tokens) + kept*(a.tokens-float64(tokens))
	a.at = now
}

// averageLoad returns the average, with at least one running request while there is any: loading weights
// waits for it. Memory is held for longer than a beat is old, so what counts is the present.
func (s *server) averageLoad(now time.Time) PeerLoad {
	s.average.advance(now, s.running, s.tokens)
	running := max(int(math.Round(s.average.running)), min(s.running, 1))
	return PeerLoad{Running: running, Tokens: int(math.Round(s.average.tokens)), Held: s.memory.tokens}
}
