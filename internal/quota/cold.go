package quota

import "time"

// arrivalSpread is by how much the time from the sending of a request to its arrival differs between requests: some round
// trips between failure domains and a queue on a slow link.
const arrivalSpread = 100 * time.Millisecond

// ColdRate returns how many requests a second the owner of a cold server's limit may grant, so that in any second no more
// than perSecond x overage + slack of them arrive and no more than perSecond on average. It returns 0 if the server may get
// none.
//
// By the invariant of this package at most rate x (T + burstSeconds + grantTTL) + 1 requests are sent in a time T. Those that
// arrive in a second were sent in a second and arrivalSpread.
func ColdRate(perSecond, overage, slack float64) float64 {
	bound := perSecond*overage + slack
	if perSecond <= 0 || bound < 1 {
		return 0
	}
	seconds := 1 + burstSeconds + (grantTTL + arrivalSpread).Seconds()
	return max(minPerSecond, min(perSecond, (bound-1)/seconds))
}

// ExpiresAt returns until when the grants for a server may be used; the zero time if there are none.
func (h *Holder) ExpiresAt(server string) time.Time {
	if a := h.accounts[server]; a != nil {
		return a.expiresAt
	}
	return time.Time{}
}
