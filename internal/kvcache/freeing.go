package kvcache

import "time"

const (
	// FetchLeaseTTL is how long a gateway may fetch by a lease from the leader, from when it asked for the lease. It outlasts the
	// election of another leader, also after an outage of the metadata store of several seconds.
	FetchLeaseTTL = 12 * time.Second
	// fetchLeaseWait is how long after the grant the leader takes a lease into account. It is longer than FetchLeaseTTL because
	// clocks don't run at quite the same rate.
	fetchLeaseWait = FetchLeaseTTL + 2*time.Second
	// freeAfter is the time from when parts are known to be retired wherever they may be fetched until they are freed. By then the
	// fetches that were planned before have ended or were discarded.
	freeAfter = FetchTimeout + 300*time.Millisecond
)

// Freeing decides, for one leader, from when the parts of retired shares may be freed. A gateway fetches only by a lease that a
// leader granted, and the leader frees only what has retired at every gateway that may have a lease, its own or an earlier leader's.
// A gateway whose messages don't reach the leader, or the reverse, gets no lease.
type Freeing struct {
	// freeFrom is when the leases of earlier leaders have ended that grantedAt doesn't have.
	freeFrom time.Time
	// readFrom is from when the cache stores must have been read for fetches; zero for no bound.
	readFrom time.Time
	// grantedAt is the time of the latest lease by gateway. SetHolders enters those of earlier leaders.
	grantedAt map[string]time.Time
	// retired are the shares that have retired at every gateway with a lease, freeable those whose parts may be freed, in
	// thousandths.
	retired  map[Generation]retiredEverywhere
	freeable map[Generation]int
}

// retiredEverywhere is a share, in thousandths, and since when it has retired at every gateway with a lease.
type retiredEverywhere struct {
	share int
	since time.Time
}

// NewFreeing returns the Freeing of a leader. No earlier leader grants leases or frees parts after handover. hadLease reports whether
// the leader had a lease at handover: it then knows all retired shares that earlier leaders have freed. Otherwise only readings of
// the cache stores from after handover show what is left. Until SetHolders any gateway may have a lease of an earlier leader.
func NewFreeing(handover time.Time, hadLease bool) *Freeing {
	f := &Freeing{
		freeFrom:  handover.Add(fetchLeaseWait),
		grantedAt: make(map[string]time.Time), retired: make(map[Generation]retiredEverywhere), freeable: make(map[Generation]int),
	}
	if !hadLease {
		f.readFrom = handover
	}
	return f
}

// SetHolders records the other gateways that may have leases of earlier leaders. A gateway that isn't one of them may have a lease only
// from before the era of the metadata store that began at eraSince; zero for none.
func (f *Freeing) SetHolders(gateways []string, handover, eraSince time.Time) {
	for _, gateway := range gateways {
		if f.grantedAt[gateway].Before(handover) {
			f.grantedAt[gateway] = handover
		}
	}
	clear(f.retired)
	clear(f.freeable)
	f.freeFrom = handover
	if leasesEnd := eraSince.Add(fetchLeaseWait); !eraSince.IsZero() && leasesEnd.After(handover) {
		f.freeFrom = leasesEnd
	}
}

// ReadFrom returns from when the cache stores must have been read for fetches under this leader's leases; zero for no bound.
func (f *Freeing) ReadFrom() time.Time { return f.readFrom }

// Grant records that another gateway gets a lease. The gateway must know the shares that have retired at the leader, and ReadFrom,
// before it uses the lease.
func (f *Freeing) Grant(gateway string, now time.Time) { f.grantedAt[gateway] = now }

// Update records the retired shares of the leader. reported returns the share that a gateway has reported to the leader.
func (f *Freeing) Update(shares map[Generation]int, reported func(gateway string, g Generation) int, now time.Time) {
	for gateway, at := range f.grantedAt {
		if now.Sub(at) > fetchLeaseWait {
			delete(f.grantedAt, gateway)
		}
	}
	for g, share := range shares {
		for gateway := range f.grantedAt {
			share = min(share, reported(gateway, g))
		}
		known := f.retired[g]
		if known.share > 0 && now.Sub(known.since) >= freeAfter {
			f.freeable[g] = known.share
		}
		// A larger share is recorded only when the one before is freeable, so that its time isn't lost.
		if share > known.share && (known.share == 0 || f.freeable[g] == known.share) {
			f.retired[g] = retiredEverywhere{share: share, since: now}
		}
	}
}

// Freeable returns the shares whose parts may be freed, in thousandths. The caller must not change the map.
func (f *Freeing) Freeable(now time.Time) map[Generation]int {
	if now.Before(f.freeFrom) {
		return nil
	}
	return f.freeable
}
