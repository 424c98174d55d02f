package dispatch

import "time"

// An engine that becomes available looks empty to all gateways at once. Until heartbeats show what the others send to it, each of them
// would give it the prompts for which it has no room elsewhere: on a played day, 12 gateways sent 48 prompts to an engine in the 0.13 s
// after it had loaded its weights, work for 2.7 s. For returnedFor a gateway therefore expects that the others send an engine as much as
// it has sent itself.
//
// It answers the load after a change of weights, a new start or an evacuation, when a part of the engines returns while the others are
// crowded. Like load shedding it is used only where servers state their speed or may be cold.

const (
	// returnedFor is how long an engine counts as returned. The heartbeats of all gateways show their load at it by then, though they
	// average it over averageTimeConstant.
	returnedFor = 2 * averageTimeConstant
	// unseenFor is how long what gateways send may be missing in the heartbeats that others have received: an interval between two of
	// them, and most of the average.
	unseenFor = 400 * time.Millisecond
)

// sentTokens are the prompt tokens that a gateway sent to a server at one time.
type sentTokens struct {
	at     time.Time
	tokens int
}

// returned is what a gateway knows of a server that has become available.
type returned struct {
	at time.Time
	// sent are this gateway's prompts to it since then, within unseenFor.
	sent []sentTokens
}

// begin records that the server has become available to all gateways.
func (r *returned) begin(now time.Time) { r.at, r.sent = now, r.sent[:0] }

// add records a prompt that is sent to the server.
func (r *returned) add(now time.Time, tokens int) {
	if !r.isRecent(now) || tokens <= 0 {
		return
	}
	expired := 0
	for expired < len(r.sent) && now.Sub(r.sent[expired].at) >= unseenFor {
		expired++
	}
	r.sent = append(append(r.sent[:0], r.sent[expired:]...), sentTokens{now, tokens})
}

func (r *returned) isRecent(now time.Time) bool { return now.Sub(r.at) < returnedFor }

// recentTokens returns the tokens sent within unseenFor. It leaves the list as it is, so that it may be used to explain.
func (r *returned) recentTokens(now time.Time) (tokens int) {
	for _, s := range r.sent {
		if now.Sub(s.at) < unseenFor {
			tokens += s.tokens
		}
	}
	return tokens
}

// unseenTokens returns how many prompt tokens the other gateways are expected to have sent to a returned engine beyond those that their
// heartbeats show. There are none at servers that get requests under grants, which bound them already.
func (d *Dispatcher) unseenTokens(now time.Time, s *server) int {
	if !s.returned.isRecent(now) || !d.Sheds() || d.needsGrant(now, s) {
		return 0
	}
	return max(0, (d.budget.Gateways-1)*s.returned.recentTokens(now)-s.peerLoad.WaitingTokens)
}

// endExclusion makes a server available that was excluded because it loads weights.
func (s *server) endExclusion(now time.Time) {
	if now.Before(s.excludedUntil) {
		s.returned.begin(now)
	}
	s.excludedUntil = time.Time{}
}
