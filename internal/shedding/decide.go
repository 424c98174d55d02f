// Package shedding decides, when servers have too little room, which requests are refused, and so delayed until their callers come
// back: those whose callers it costs least, by their target, their priority, their deadline and the work that they need. It uses no
// clock and no network.
//
// It answers bursts of 1.7 to 2.6 times the usual load for some seconds while up to a third of the engines, or half of a plain
// service, are missing. Memory is what engines run out of first, and a prompt with a long target holds many times what one with a
// short target does, for longer. The requests of a service with its shortest target may therefore use all of an engine's memory; those
// that can wait for longer leave a share of it free, larger for lower priorities.
package shedding

import "time"

const (
	// yieldRatio is how many times the shortest target of its service the target of a request must be for it to yield. Targets closer
	// together than that are of callers who lose about as much by a wait.
	yieldRatio = 1.5
	// topReserve and lowReserve are the shares of an engine's memory that yielding requests leave free, those of the highest priority and
	// the others. An engine without free memory evicts a running request, whose prompt must then be computed again; 0.14 is what
	// requests of the highest priority have free at services without load shedding.
	topReserve = 0.14
	lowReserve = 0.2
	// repeatReserve is the factor of that share for repeated requests. At 0.75, requests with the shortest target wait for memory.
	repeatReserve = 0.85
	// repeatMargin is by how much the time on arrival must be below the timeout for a request to count as repeated. Callers round it, and
	// those that don't wait as told may come back within milliseconds.
	repeatMargin = 5 * time.Millisecond
	// admitShare and admitWaitShare are shares of a request's target. A prompt is not admitted if its predicted time to the first byte
	// exceeds the first and its wait at the server the second. A longer queue would make those behind it late too.
	admitShare     = 0.75
	admitWaitShare = 0.1
	// memoryWaitShare is the share of its target that a yielding request may wait for memory at the server.
	memoryWaitShare = 0.1
	// usefulTargets is how many of its targets the first byte of a request to a plain service may take. Its caller loses less by a late
	// response than by none.
	usefulTargets = 1.5
	// usefulShare is the share of the time that it has on arrival which the first byte of such a request may take if that is longer. Where
	// the deadline is far beyond the target, a queue outlasts a short loss of servers without refusals.
	usefulShare = 0.6
	// lowReserveShare is the share of its target by which such a request must be earlier if its priority is below the highest. That much of
	// the queue is left for requests with the highest priority.
	lowReserveShare = 0.35
	// fairShare is the ratio of the shares placed, of requests with lower priorities to all, below which priority doesn't count. Served less
	// than a quarter as often counts as starved; the rest is a margin.
	fairShare = 0.5
	// maxUseful bounds usefulShare: callers leave a response that pauses for two seconds.
	maxUseful = 2 * time.Second
	// deadlineShare is the share of the time left within which the first byte must be predicted. The rest is for the response
	// and for what the prediction doesn't know of.
	deadlineShare = 0.9
	// returnShare is the share of the time that a caller has left for which it honours a Retry-After.
	returnShare = 1.0 / 3
	// MinSlotShare is the share of a plain service's slots below which nothing is refused that can meet its deadline: a service
	// with free slots isn't short of capacity.
	MinSlotShare = 0.5
)

// Request holds the properties of a request that the decision depends on.
type Request struct {
	// Priority is the rank of the request's organisation or route; 0 is the highest.
	Priority int
	// TimeLeft is the time until the deadline, Waited the time since the request arrived at the gateway.
	TimeLeft, Waited time.Duration
	// Target is the target for the time to the first byte; 0 means that only the deadline counts.
	Target time.Duration
	// Timeout is the time that callers have at their first attempt; 0 if unknown.
	Timeout time.Duration
}

// Repeats reports whether the caller was refused before and has come back: it has less time than at its first attempt.
func (r *Request) Repeats() bool { return r.TimeLeft+r.Waited < r.Timeout-repeatMargin }

// target returns the target, or the time that the request had on arrival if there is none or it is shorter.
func (r *Request) target() time.Duration {
	total := r.TimeLeft + r.Waited
	if r.Target <= 0 || r.Target > total {
		return total
	}
	return r.Target
}

// Service is what the decision depends on of a service's requests in the last seconds.
type Service struct {
	// ShortestTarget is the shortest target of its requests; 0 if none came lately.
	ShortestTarget time.Duration
	// TopPriority is the highest priority of its requests.
	TopPriority int
	// All and Low count its requests and those with a priority below the highest.
	All, Low Tally
}

// Tally counts requests of the last seconds and those of them that were placed. Earlier ones count less.
type Tally struct{ Requests, Placed float64 }

// Add returns the tally with one request more. fade is by how much the earlier ones count less, from 0 to 1.
func (t Tally) Add(fade float64, placed bool) Tally {
	t.Requests, t.Placed = fade*t.Requests+1, fade*t.Placed
	if placed {
		t.Placed++
	}
	return t
}

// IsBehind reports whether a request to a plain service must leave a part of the queue to those with a higher priority.
func (s Service) IsBehind(r Request) bool { return r.Priority > s.TopPriority && !s.isStarved() }

// isStarved reports whether requests with a priority below the highest are placed so much less often than all that priority
// must not count.
func (s Service) isStarved() bool {
	return s.Low.Placed*s.All.Requests < fairShare*s.All.Placed*s.Low.Requests
}

// Yields reports whether the request lets those with the shortest target go first, as a wait costs its caller less.
func (s Service) Yields(r Request) bool {
	return s.ShortestTarget > 0 && r.target() >= scale(s.ShortestTarget, yieldRatio)
}

// Reserve returns the share of an engine's memory, from 0 to 1, that the request leaves free for others.
func (s Service) Reserve(r Request) float64 {
	if !s.Yields(r) {
		return 0
	}
	share := topReserve
	if r.Priority > s.TopPriority {
		share = lowReserve
	}
	if r.Repeats() {
		share *= repeatReserve
	}
	return share
}

// useful returns the time from its arrival on that the first byte of a request to a plain service may take.
func (s Service) useful(r *Request) time.Duration {
	useful := max(scale(r.target(), usefulTargets), min(scale(r.TimeLeft+r.Waited, usefulShare), maxUseful))
	if s.IsBehind(*r) {
		return useful - scale(r.target(), lowReserveShare)
	}
	return useful
}

// Server is the room at the best server found for a request.
type Server struct {
	// Predicted is the expected time from the sending to the first byte, Wait the part of it that is waiting for others and
	// MemoryWait that for memory, of which the request leaves its Reserve free.
	Predicted, Wait, MemoryWait time.Duration
	// IsPlain is set for servers that compute no prompts.
	IsPlain bool
	// HasFreeSlots reports that less than MinSlotShare of the slots of a plain service are taken.
	HasFreeSlots bool
}

// Cause is why a request is refused; empty if it isn't.
type Cause string

// Causes.
const (
	// Deadline means that the deadline can't be met.
	Deadline Cause = "deadline"
	// Target means that the request would wait at the server for so long that its target is missed.
	Target Cause = "target"
	// Memory means that the request would take memory that is left free for requests with a shorter target.
	Memory Cause = "memory"
)

// Decision is the cause of a refusal and what it was weighed by: the limit for the time that decided, and by how much the request exceeds
// it. The zero value admits it.
type Decision struct {
	Cause       Cause
	Over, Limit time.Duration
}

// Decide returns whether a request is refused, given the best server found for it.
func Decide(r Request, service Service, server Server) Decision {
	decision := exceeds(Deadline, server.Predicted, scale(r.TimeLeft, deadlineShare))
	if decision.Cause == "" && !server.HasFreeSlots {
		decision = decide(&r, service, &server)
	}
	return decision
}

// decide applies the rules other than that for the deadline.
func decide(r *Request, service Service, server *Server) Decision {
	if server.IsPlain {
		return exceeds(Target, r.Waited+server.Predicted, service.useful(r))
	}
	if server.Wait <= scale(r.target(), admitWaitShare) {
		return Decision{}
	}
	if service.Yields(*r) {
		if decision := exceeds(Memory, server.MemoryWait, scale(r.target(), memoryWaitShare)); decision.Cause != "" {
			return decision
		}
	}
	return exceeds(Target, server.Predicted, scale(r.target(), admitShare))
}

// exceeds returns a refusal if a time exceeds its limit.
func exceeds(cause Cause, expected, limit time.Duration) Decision {
	if expected <= limit {
		return Decision{}
	}
	return Decision{cause, expected - limit, limit}
}

// RetryAfter returns after which time the caller of a refused request should come back, of what its excess suggests: callers with less
// time left come back earlier, as they would otherwise come back too late or not at all.
func RetryAfter(r Request, after time.Duration) time.Duration {
	return min(after, scale(r.TimeLeft, returnShare))
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
