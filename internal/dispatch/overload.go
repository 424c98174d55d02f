package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/shedding"
)

const (
	// overloadTTFTShare and overloadWaitShare are shares of the target latency. A prompt is refused if its predicted
	// time to first token exceeds the first and its wait for other prompts exceeds the second. Without refusals
	// queues grow until nearly every response is late, and engines with many prompts run out of memory and compute
	// them twice.
	overloadTTFTShare = 0.75
	overloadWaitShare = 0.1
	// maxContinuationWait is the predicted time to the next event from which the rest of a stream is refused. It has missed its target
	// latency whatever is done, and a refusal would waste what was computed for it; but callers give up a stream that pauses for
	// longer than this.
	maxContinuationWait = 2 * time.Second
	// memoryWaitShare is the share of the target latency that a prompt may wait for memory that more urgent prompts
	// need too.
	memoryWaitShare = 0.1
)

// overload returns by how much a request would exceed its limit because it waits at the server for others or for memory that is left
// free for others, and how long it would wait. The server is overloaded for the request if late > 0.
func (d *Dispatcher) overload(now time.Time, r *Request, group *service, s *server) (late, wait time.Duration) {
	if d.Sheds() && !r.Continues {
		shed := d.shed(now, r, group, s)
		return shed.Decision.Over, shed.Server.Wait
	}
	if r.Model == "" {
		return 0, 0
	}
	predicted, wait := d.shortestTTFT(now, r, group, s)
	if r.Continues {
		return predicted - min(r.TimeLeft, maxContinuationWait), wait
	}
	late = predicted - time.Duration(overloadTTFTShare*float64(r.TargetLatency))
	if r.Priority > group.topPriority {
		late = max(late, milliseconds(d.memoryWaitMS(now, r, group, s))-time.Duration(memoryWaitShare*float64(r.TargetLatency)))
	}
	if wait <= time.Duration(overloadWaitShare*float64(r.TargetLatency)) {
		return 0, wait
	}
	return late, wait
}

// refuseOverloaded returns the refusal of a request for which the best server is overloaded; nil if it isn't.
func (d *Dispatcher) refuseOverloaded(now time.Time, r *Request, group *service, best *server, p *Placement) *Refusal {
	late, wait := d.overload(now, r, group, best)
	if late <= 0 {
		return nil
	}
	refusal := d.refuse(EnginesOverloaded, late)
	refusal.Server, refusal.PredictedTTFT, refusal.Wait = best.ID, p.PredictedTTFB, wait
	refusal.WaitingTokens, refusal.PeerWaitingTokens = best.waitingTokens, best.peerLoad.WaitingTokens
	refusal.UnseenTokens = d.unseenTokens(now, best)
	refusal.ReservedTokens, refusal.PeerReservedTokens = best.memory.reservedTokens, best.peerLoad.ReservedTokens
	refusal.Slowness = best.slowness
	refusal.Speed, refusal.SpeedStated, refusal.SpeedAge = p.Speed, p.SpeedStated, p.SpeedAge
	if d.Sheds() && !r.Continues {
		shed := d.shed(now, r, group, best)
		refusal.Shed = &shed
		refusal.RetryAfter = shedding.RetryAfter(shed.Request, refusal.RetryAfter)
		if shed.Decision.Cause == shedding.Deadline {
			refusal.Reason = DeadlineUnreachable
		}
	}
	return refusal
}
