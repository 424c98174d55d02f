package dispatch

import "time"

// A server may become cold before any gateway knows of it. Each gateway therefore bounds what it sends to one engine within a second
// also while the engine counts as warm. The bounds are preferences: a request for which all other engines of the gateway's sample are
// overloaded goes to one that is above its bound.

const (
	// sendWindow is the time in which a gateway's requests to one engine are counted: that of the bound for cold servers.
	sendWindow = time.Second
	// assignedSendShare is the part of the bound for cold servers that goes to the gateways to which an engine is assigned,
	// in equal parts. They send most of its requests; the rest is for the others.
	assignedSendShare = 0.75
	// unassignedSends is how many requests a gateway to which an engine isn't assigned sends it within sendWindow. Many gateways
	// that see the same idle engine then send it no more than one each.
	unassignedSends = 1
	// aboveBoundPenaltyShare is the penalty for an engine above its bound, as a share of the target latency, in the pass for engines
	// that aren't overloaded. It exceeds all differences between these, so that one below its bound comes first.
	aboveBoundPenaltyShare = 4.0
)

// recentSends are the times of a gateway's requests to one server within sendWindow, in order.
type recentSends []time.Time

func (r *recentSends) add(now time.Time) {
	r.expire(now)
	*r = append(*r, now)
}

// count returns the number of requests within sendWindow. It leaves the list as it is, so that it may be used to explain.
func (r recentSends) count(now time.Time) int {
	first := len(r)
	for first > 0 && now.Sub(r[first-1]) < sendWindow {
		first--
	}
	return len(r) - first
}

func (r *recentSends) expire(now time.Time) {
	expired := 0
	for expired < len(*r) && now.Sub((*r)[expired]) >= sendWindow {
		expired++
	}
	*r = append((*r)[:0], (*r)[expired:]...)
}

// sendBound returns how many requests this gateway should send to an engine within sendWindow.
func (d *Dispatcher) sendBound(group *service, s *server) int {
	if s.unassigned {
		return unassignedSends
	}
	assignees := s.assignees
	if assignees == 0 {
		assignees = d.budget.Gateways
	}
	bound := group.ColdPerSecond*d.coldBounds.Overage + d.coldBounds.Slack
	return max(unassignedSends, int(assignedSendShare*bound/float64(max(1, assignees))))
}

// aboveSendBound reports whether a gateway has sent an engine as many requests within sendWindow as it should. It is false for
// services without a bound for cold servers, and for cold servers, which have grants.
func (d *Dispatcher) aboveSendBound(now time.Time, group *service, s *server) bool {
	if group.Engine == nil || group.ColdPerSecond <= 0 || d.needsGrant(now, s) {
		return false
	}
	return s.sends.count(now) >= d.sendBound(group, s)
}

// aboveBoundPenaltyMS returns the penalty for an engine above its bound, in milliseconds.
func (r *Request) aboveBoundPenaltyMS() float64 {
	return aboveBoundPenaltyShare * float64(r.TargetLatency.Milliseconds())
}

// countAssignees sets to how many gateways each engine of a failure domain is assigned, as assign divides them.
func countAssignees(sorted []*server, gateways int) {
	for i, s := range sorted {
		s.assignees = 0
		for index := range gateways {
			first, end := assignedRange(index, gateways, len(sorted))
			if i >= first && i < end {
				s.assignees++
			}
		}
	}
}
