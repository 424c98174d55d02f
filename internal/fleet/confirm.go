package fleet

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// A gateway asks others to confirm what it may still rely on, and takes a reply as of the time at which it asked. A heartbeat confirms
// nothing: its sender may be cut off itself, and a heartbeat that waited while the receiver was frozen looks new.

const (
	// confirmInterval is the interval between two requests for confirmation, firstConfirmInterval the same while this gateway has no
	// lease to fetch cached parts.
	confirmInterval      = time.Second
	firstConfirmInterval = 200 * time.Millisecond
)

// requestConfirmations asks other gateways for confirmations until ctx ends.
func (f *Fleet) requestConfirmations(ctx context.Context) {
	for ctx.Err() == nil {
		interval := confirmInterval
		f.loop.Call(func() {
			now := bootclock.Now()
			if leader := f.members.Leader(now); leader != nil {
				request := &wire.ConfirmationRequest{SentNs: now.UnixNano()}
				f.send(&wire.Beat{From: f.Self, Incarnation: f.Incarnation, ConfirmationRequest: request}, leader.GetBeatAddress())
			}
			if !f.catalogue.HasFetchLease(now) {
				interval = firstConfirmInterval
			}
		})
		sleep(ctx, interval)
	}
}

// confirm replies to another gateway's request. Only the leader does: it grants a lease to fetch cached parts.
func (f *Fleet) confirm(from *wire.Peer, incarnation uint64, request *wire.ConfirmationRequest, now time.Time) {
	if from.GetInstance() == "" || from.GetBeatAddress() == "" || !f.mayGrantFetches(now) {
		return
	}
	f.lead.freeing.Grant(from.GetInstance(), now)
	reply := &wire.Confirmation{Incarnation: incarnation, RequestSentNs: request.GetSentNs(), FetchLease: true, Retired: f.retiredShares()}
	if readFrom := f.lead.freeing.ReadFrom(); !readFrom.IsZero() {
		reply.MaxReadingAgeMs = uint32(max(1, now.Sub(readFrom).Milliseconds()))
	}
	f.send(&wire.Beat{From: f.Self, Incarnation: f.Incarnation, Confirmation: reply}, from.GetBeatAddress())
}

// mayGrantFetches reports whether this gateway is the leader and may grant leases to fetch cached parts.
func (f *Fleet) mayGrantFetches(now time.Time) bool {
	return f.lead.fence > 0 && now.Before(f.lead.until)
}

// mergeConfirmation records another gateway's reply to a request.
func (f *Fleet) mergeConfirmation(c *wire.Confirmation, now time.Time) {
	requestedAt := time.Unix(0, c.GetRequestSentNs())
	if c.GetIncarnation() != f.Incarnation || requestedAt.After(now) {
		return
	}
	f.mergeRetired(c.GetRetired())
	if c.GetFetchLease() {
		readFrom := time.Time{}
		if age := c.GetMaxReadingAgeMs(); age > 0 {
			readFrom = now.Add(-time.Duration(age) * time.Millisecond)
		}
		f.catalogue.ExtendFetchLease(requestedAt.Add(kvcache.FetchLeaseTTL), readFrom)
	}
}

// mergeRetired records shares of cached parts that have retired at another gateway.
func (f *Fleet) mergeRetired(shares []*wire.RetiredShare) {
	for _, r := range shares {
		f.catalogue.Retire(kvcache.Generation{Model: r.GetModel(), Version: r.GetVersion()}, int(r.GetThousandths()))
	}
}

// retiredShares returns the shares of cached parts that have retired at this gateway.
func (f *Fleet) retiredShares() []*wire.RetiredShare {
	var shares []*wire.RetiredShare
	for g, share := range f.catalogue.RetiredShares() {
		shares = append(shares, &wire.RetiredShare{Model: g.Model, Version: g.Version, Thousandths: uint32(share)})
	}
	return shares
}

// send sends a message to other gateways in the background.
func (f *Fleet) send(message *wire.Beat, to ...string) {
	go func() {
		if err := f.link.Send(message, to); err != nil {
			f.Log.Warn(EventBeatFailed, eventlog.Error(err))
		}
	}()
}
