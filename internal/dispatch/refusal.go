package dispatch

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
)

// refusalCause returns why no server is usable and the time until that may change.
func (d *Dispatcher) refusalCause(now time.Time, r *Request, group *service) (Reason, time.Duration) {
	tried, suspect, ready, busy, limited, cold, unfit, full := 0, 0, 0, 0, 0, 0, 0, 0
	var evacuated evacuatedServers
	soonest, soonestBusy, soonestGrant := maxRetryAfter, time.Duration(0), maxRetryAfter
	for _, s := range group.servers {
		if s.State != backend.Ready || s.leaving || s.replaced {
			continue
		}
		if !s.canContinue(now, r) {
			unfit++
			continue
		}
		if d.isEvacuated(s) {
			evacuated.count(d, now, r, s)
			continue
		}
		ready++
		if left := s.busyUntil.Sub(now); left > 0 {
			if busy == 0 || left < soonestBusy {
				soonestBusy = left
			}
			busy++
			continue
		}
		if slices.Contains(r.Tried, s.ID) {
			tried++
			continue
		}
		if !d.hasMemoryFor(r, s) {
			full++
			continue
		}
		if d.needsGrant(now, s) {
			if s.limit.stated {
				limited++
			} else {
				cold++
			}
			soonestGrant = min(soonestGrant, d.grants.AskAt(s.ID).Sub(now))
			continue
		}
		if now.Before(s.suspectUntil) {
			suspect++
			soonest = min(soonest, s.suspectUntil.Sub(now))
		}
	}
	switch {
	case ready == 0 && evacuated.all > 0:
		return Evacuated, maxRetryAfter
	case ready == 0 && unfit > 0:
		return NoServerOfVersion, maxRetryAfter
	case ready == 0:
		return NoServer, maxRetryAfter
	case busy == ready:
		return AllBusy, soonestBusy
	case tried+busy == ready && evacuated.left > 0:
		return Evacuated, maxRetryAfter
	case tried+busy == ready:
		return AttemptsExhausted, d.untilFree(group)
	case full > 0 && tried+busy+full == ready:
		return ServersFull, d.untilFree(group)
	case limited > 0:
		return AllLimited, max(soonestGrant, limitedRetryAfter)
	case cold > 0:
		return AllCold, max(soonestGrant, minRetryAfter)
	case suspect > 0:
		return AllSuspect, soonest
	case evacuated.left > 0:
		return Evacuated, maxRetryAfter
	default:
		return AllLoading, maxRetryAfter / 2
	}
}

// untilFree estimates the time until a server has a free slot: the time of one request.
func (d *Dispatcher) untilFree(group *service) time.Duration {
	if group.Engine != nil {
		return 4 * minRetryAfter
	}
	return time.Duration(group.workMS * float64(time.Millisecond))
}

// refuse returns a refusal. It adds jitter of up to half of RetryAfter so that callers do not all retry at once. The
// time that the servers themselves have asked for is not shortened.
func (d *Dispatcher) refuse(reason Reason, after time.Duration) *Refusal {
	after = max(after, minRetryAfter)
	if reason != AllBusy {
		after = min(after, maxRetryAfter)
	}
	jitter := time.Duration(d.rng.Float64() * 0.5 * float64(after))
	return &Refusal{Reason: reason, RetryAfter: after + jitter}
}

// Refuse returns a refusal for a request that cannot be retried now.
func (d *Dispatcher) Refuse(service string, reason Reason) *Refusal {
	after := minRetryAfter
	if group := d.services[service]; group != nil {
		after = d.untilFree(group)
	}
	return d.refuse(reason, after)
}
