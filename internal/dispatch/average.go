package dispatch

import (
	"math"
	"time"
)

// averageTimeConstant is the time constant of the average load at a server that a gateway sends to the others. It is
// about the age of a heartbeat when it is used. A momentary load is outdated by then, and gateways that all rely on it
// pick the same server at once.
const averageTimeConstant = 500 * time.Millisecond

// averageLoad is an exponentially weighted average of a gateway's load at one server.
type averageLoad struct {
	requests, waitingTokens float64
	at                      time.Time
}

// addLoad adds to the gateway's own load at the server. Both changes may be negative.
func (s *server) addLoad(now time.Time, running, tokens int) {
	s.average.advance(now, s.running, s.waitingTokens)
	s.running = max(0, s.running+running)
	s.waitingTokens = max(0, s.waitingTokens+tokens)
}

// advance updates the average to now with the load since the last change.
func (a *averageLoad) advance(now time.Time, running, tokens int) {
	if a.at.IsZero() {
		a.at = now
	}
	decay := math.Exp(-float64(now.Sub(a.at)) / float64(averageTimeConstant))
	a.requests = float64(running) + decay*(a.requests-float64(running))
	a.waitingTokens = float64(tokens) + decay*(a.waitingTokens-float64(tokens))
	a.at = now
}

// averageLoad returns the average load. It reports at least one running request while there is any, because loading
// weights waits for running requests. ReservedTokens and KB are the present values, because memory stays reserved for longer
// than the age of a heartbeat.
func (s *server) averageLoad(now time.Time) PeerLoad {
	s.average.advance(now, s.running, s.waitingTokens)
	running := max(int(math.Round(s.average.requests)), min(s.running, 1))
	return PeerLoad{Running: running, WaitingTokens: int(math.Round(s.average.waitingTokens)), ReservedTokens: s.memory.reservedTokens, KB: s.kilobytes()}
}
