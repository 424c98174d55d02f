package kvcache

import "time"

const (
	// crossDomainFactor is the factor by which a transfer between failure domains takes longer.
	crossDomainFactor = 2
	// bitsPerMbpsMS is the number of bits that a link of one megabit per second carries in a millisecond.
	bitsPerMbpsMS = 1000
	bitsPerByte   = 8
	// lagSmoothing is the weight of the newest fetch in the moving average of a store's lag.
	lagSmoothing = 0.15
	// lagHalfLife is the time in which the lag halves while no fetch confirms it, so that a store that is
	// avoided is tried again.
	lagHalfLife = time.Second
	// maxLagMS limits the lag, in milliseconds: an engine doesn't start a transfer that would wait longer.
	maxLagMS = 2000.0
)

// transferMS returns the time of a transfer without waiting, in milliseconds.
func (c *Catalogue) transferMS(s *store, tokens int, domain string) float64 {
	ms := float64(tokens*c.tokenBytes*bitsPerByte) / (max(s.LinkMbps, 1) * bitsPerMbpsMS)
	if s.FailureDomain != domain {
		ms *= crossDomainFactor
	}
	return ms + float64(s.FirstByteDelay)/float64(time.Millisecond)
}

// ObserveFetch updates the lag of the stores of a plan. waitMS is by how much its fetches took longer than the
// transfers alone, in milliseconds.
func (c *Catalogue) ObserveFetch(plan *Plan, waitMS float64, now time.Time) {
	waitMS = min(max(waitMS, 0), maxLagMS)
	for i, address := range plan.Fetch {
		if address == "" || i > 0 && address == plan.Fetch[i-1] {
			continue
		}
		if s := c.find(address); s != nil {
			lag := s.lag(now)
			s.lagMS, s.lagAt = lag+lagSmoothing*(waitMS-lag), now
		}
	}
}
