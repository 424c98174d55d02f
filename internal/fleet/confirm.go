package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/registry"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// A gateway asks others to confirm what it may still rely on, and takes a reply as of the time at which it asked. A heartbeat confirms
// nothing: its sender may be cut off itself, and a heartbeat that waited while the receiver was frozen looks new.

const (
	// confirmInterval is the interval between two requests for confirmation, firstConfirmInterval the same while this gateway has no
	// lease to fetch cached parts.
	confirmInterval      = time.Second
	firstConfirmInterval = 200 * time.Millisecond
	// registrationMargin is by how much earlier a lease to fetch ends than this gateway's announcement in the metadata store, because
	// clocks don't run at quite the same rate.
	registrationMargin = time.Second
	// askOthersAfter is the age of the configuration from which not only the leader is asked. A gateway that reads the metadata
	// store itself confirms its configuration more often.
	askOthersAfter = 2500 * time.Millisecond
	// maxOthersAsked bounds the gateways that are asked then, apart from the leader and the readers of this gateway.
	maxOthersAsked = 3
)

// requestConfirmations asks other gateways for confirmations until ctx ends.
func (f *Fleet) requestConfirmations(ctx context.Context) {
	for ctx.Err() == nil {
		interval := confirmInterval
		f.loop.Call(func() {
			now := bootclock.Now()
			if to := f.confirmers(now); len(to) > 0 {
				request := &wire.ConfirmationRequest{SentNs: now.UnixNano(), RegisteredNs: f.registeredAt.Load()}
				f.send(&wire.Beat{From: f.Self, Incarnation: f.Incarnation, ConfirmationRequest: request}, to...)
			}
			if !f.catalogue.HasFetchLease(now) {
				interval = firstConfirmInterval
			}
		})
		sleep(ctx, interval)
	}
}

// confirmers returns the heartbeat addresses of the gateways to ask: the leader and, when it doesn't confirm the configuration, the
// readers of this gateway and some others.
func (f *Fleet) confirmers(now time.Time) (to []string) {
	if leader := f.members.Leader(now); leader != nil {
		to = append(to, leader.GetBeatAddress())
	}
	if f.ConfigurationAge() < askOthersAfter {
		return to
	}
	to = append(to, f.currentRole().readerBeats...)
	live := f.members.Live(now)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, member := range live[:min(maxOthersAsked, len(live))] {
		to = append(to, member.GetBeatAddress())
	}
	slices.Sort(to)
	return slices.Compact(to)
}

// confirm replies to another gateway's request with the configuration that is confirmed here, if one is, and with a lease to fetch
// cached parts if this gateway leads.
func (f *Fleet) confirm(from *wire.Peer, incarnation uint64, request *wire.ConfirmationRequest, now time.Time) {
	if from.GetInstance() == "" || from.GetBeatAddress() == "" {
		return
	}
	reply := &wire.Confirmation{Incarnation: incarnation, Request: request}
	if f.IsConfigurationConfirmed() {
		// Rounded up, so that the configuration doesn't appear newer than it is.
		reply.Configuration, reply.ConfigurationAgeMs = f.configurationVersion(), uint32(f.ConfigurationAge().Milliseconds())+1
	}
	if f.mayGrantFetches(now) {
		f.grantFetches(from.GetInstance(), reply, now)
	}
	if reply.GetConfiguration() == 0 && !reply.GetFetchLease() {
		return
	}
	if up, known := f.registry.Uptime(); known {
		// Rounded so that the time doesn't appear longer than it is.
		reply.StoreUpFromMs = uint32(min(max(0, now.Sub(up.From).Milliseconds()), math.MaxUint32))
		reply.StoreUpToMs = uint32(min(now.Sub(up.To).Milliseconds()+1, math.MaxUint32))
	}
	f.send(&wire.Beat{From: f.Self, Incarnation: f.Incarnation, Confirmation: reply}, from.GetBeatAddress())
}

// grantFetches grants another gateway a lease to fetch cached parts.
func (f *Fleet) grantFetches(gateway string, reply *wire.Confirmation, now time.Time) {
	f.lead.freeing.Grant(gateway, now)
	reply.FetchLease, reply.Retired = true, f.retiredShares()
	if readFrom := f.lead.freeing.ReadFrom(); !readFrom.IsZero() {
		reply.MaxReadingAgeMs = uint32(max(1, now.Sub(readFrom).Milliseconds()))
	}
}

// mayGrantFetches reports whether this gateway is the leader and may grant leases to fetch cached parts.
func (f *Fleet) mayGrantFetches(now time.Time) bool {
	return f.lead.fence > 0 && now.Before(f.lead.until)
}

// mergeConfirmation records another gateway's reply to a request.
func (f *Fleet) mergeConfirmation(c *wire.Confirmation, now time.Time) {
	requestedAt := time.Unix(0, c.GetRequest().GetSentNs())
	if c.GetIncarnation() != f.Incarnation || requestedAt.After(now) {
		return
	}
	if version := c.GetConfiguration(); version > 0 && version <= f.configurationVersion() {
		f.confirmConfiguration(requestedAt.Add(-time.Duration(c.GetConfigurationAgeMs()) * time.Millisecond))
	}
	if c.GetStoreUpToMs() > 0 {
		f.registry.MergeUptime(registry.Stretch{
			From: now.Add(-time.Duration(c.GetStoreUpFromMs()) * time.Millisecond),
			To:   requestedAt.Add(-time.Duration(c.GetStoreUpToMs()) * time.Millisecond),
		})
	}
	f.mergeRetired(c.GetRetired())
	if c.GetFetchLease() {
		readFrom := time.Time{}
		if age := c.GetMaxReadingAgeMs(); age > 0 {
			readFrom = now.Add(-time.Duration(age) * time.Millisecond)
		}
		f.extendFetchLease(requestedAt, c.GetRequest().GetRegisteredNs(), readFrom)
	}
}

// extendFetchLease extends this gateway's lease to fetch cached parts, for which it asked at a time. registeredNs is when its announcement
// had been renewed by then, 0 for never. No lease outlasts the announcement, so that the next leader finds all gateways with leases in
// the metadata store.
func (f *Fleet) extendFetchLease(askedAt time.Time, registeredNs int64, readFrom time.Time) {
	if registeredNs == 0 {
		return
	}
	until := askedAt.Add(kvcache.FetchLeaseTTL)
	if end := time.Unix(0, registeredNs).Add(peerLeaseTTL - registrationMargin); end.Before(until) {
		until = end
	}
	f.catalogue.ExtendFetchLease(until, readFrom)
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
