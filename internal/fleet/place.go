package fleet

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/quota"
)

// Place picks a server for a request with the parts, or returns the reason for its refusal. If only servers with a limit can
// take the request, it asks the owner of one of their limits. A request for which the owners of several cold servers have no grant
// goes to a server that needs none. The rest of a stream goes to a server whose run is confirmed. After a freeze a prompt waits until
// this gateway has heard from the leader which servers are excluded.
func (f *Fleet) Place(ctx context.Context, r *dispatch.Request, parts []quarantine.Part) (dispatch.Placement, *dispatch.Refusal) {
	r.NoAsk = false
	runs := runConfirmation{fleet: f}
	for asks := 0; ; {
		p, refusal, waits := f.placeOnce(r, parts)
		switch {
		case waits && ctx.Err() == nil:
			sleep(ctx, leaderCheckInterval)
		case refusal == nil && r.Continues && !runs.confirm(ctx, &p):
			f.withdraw(p)
			r.Tried = append(r.Tried, p.Server)
		case refusal == nil && f.IsEvacuated(p.FailureDomain):
			// The evacuation came while the run was being confirmed.
			f.withdraw(p)
		case refusal == nil || refusal.GrantFrom == "" || r.NoAsk:
			return p, refusal
		case asks == maxAsks:
			if !refusal.FromCold {
				return p, refusal
			}
			r.NoAsk = true
		case !f.askOwner(ctx, refusal.GrantFrom):
			return p, refusal
		default:
			asks++
		}
	}
}

// maxSelfAsks bounds the cold servers of which this gateway itself owns the limit and that a request asks for. A placement costs
// about 0.1 ms on a small gateway.
const maxSelfAsks = 2

// ownsLimit reports whether this gateway owns the limit for which a request was refused.
func (f *Fleet) ownsLimit(now time.Time, refusal *dispatch.Refusal) bool {
	owner, _ := f.owner(now, quota.Ask{Server: refusal.GrantFrom, Cold: refusal.FromCold})
	return owner == nil
}

// withdraw releases what a placement reserved for a request that was not sent.
func (f *Fleet) withdraw(p dispatch.Placement) {
	f.loop.Post(func() {
		f.dispatcher.RecordEnd(bootclock.Now(), &p, dispatch.Cancelled, false)
		f.dispatcher.RecordNotSent(&p)
	})
}

// MaySend reports whether a placed request may still be sent to its server. One whose server has become cold since needs a grant, and
// the rest of a stream a server whose run was confirmed lately. It is called right before the first byte is written.
func (f *Fleet) MaySend(p dispatch.Placement) (may bool) {
	if !p.RunConfirmedAt.IsZero() && bootclock.Now().Sub(p.RunConfirmedAt) >= confirmedFor {
		return false
	}
	if f.dispatcher == nil || !f.dispatcher.MayHaveBecomeCold(&p) {
		return true
	}
	f.loop.Call(func() {
		now := bootclock.Now()
		may = f.dispatcher.MaySend(now, &p)
		switch {
		case !may:
			f.Counters.ColdSendsWithheld.Inc(1)
		case f.dispatcher.IsCold(now, p.Server):
			f.Counters.ColdGrantsUsed.Inc(1)
		}
	})
	return may
}

// placeOnce picks a server. A refusal with GrantFrom may become a placement after a grant. It reports whether the request waits for
// the leader's heartbeat instead.
func (f *Fleet) placeOnce(r *dispatch.Request, parts []quarantine.Part) (p dispatch.Placement, refusal *dispatch.Refusal, waits bool) {
	f.loop.Call(func() {
		now := bootclock.Now()
		if waits = r.Model != "" && f.exclusionsMayBeOld(now); waits {
			return
		}
		if refusal = f.refuseHeld(now, parts); refusal != nil {
			return
		}
		p, refusal = f.dispatcher.Place(now, r)
		for asks := 0; refusal != nil && refusal.GrantFrom != "" && asks < maxSelfAsks && (asks == 0 || refusal.FromCold) && f.ownsLimit(now, refusal); asks++ {
			f.grantSelf(now, refusal.GrantFrom)
			p, refusal = f.dispatcher.Place(now, r)
		}
		if refusal != nil && refusal.Reason == dispatch.Evacuated {
			f.Counters.EvacuationRefusals.Inc(1)
		}
		if refusal == nil {
			if !p.SendBy.IsZero() {
				f.Counters.ColdGrantsUsed.Inc(1)
			}
			f.dispatcher.RecordSent(now, &p)
			f.recordPlacedSpeed(&p)
		}
	})
	if p.Server == "" && refusal == nil {
		refusal = &dispatch.Refusal{Reason: dispatch.NoServer, RetryAfter: time.Second}
	}
	return p, refusal, waits
}
