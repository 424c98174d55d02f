// Package limits holds organisations to their requests and tokens per second over all entries
// without a call to the platform. For each organisation one entry, the highest in rendezvous rank,
// is the home of its limit. The home grants amounts by recent demand; entries spend them locally
// and draw again each interval, beside the requests, never in their way. Entries call the Limiter;
// Home and Spender are pure.
//
// Bounds, for a limit of L per second and N live entries. While all entries reach one home, over
// T seconds at most
//
//	L x (T + burst) + N x (one request + L x interval / N)
//
// is admitted, as each entry may spend its first interval's share and one request before a grant.
// When c entries cannot reach the home they admit L/N each, so the total is at most
// L x (1 + c/N) a second. When the home moves, grants of the old one lapse after two intervals
// and the new one begins with one burst.
package limits

import "time"

const (
	// minInterval is the time between draws of an entry for one organisation.
	minInterval = time.Second
	// maxInterval is that time for an organisation that very many entries draw for.
	maxInterval = 20 * time.Second
	// maxDrawsPerSecond is the load of one organisation's draws that its home keeps to by
	// lengthening the interval.
	maxDrawsPerSecond = 150
	// burstSeconds is how much of its limit the home saves up while nobody draws.
	burstSeconds = 1.0
	// headroom is how many standard deviations of a Poisson count an entry asks for beyond its
	// mean demand, and maxHeadroom bounds it as a factor.
	headroom    = 2.0
	maxHeadroom = 3.0
	// demandGain is the weight of the latest interval in the mean demand.
	demandGain = 0.3
	// earlyDraws is how many times in an interval an exhausted entry may draw while the home has
	// enough.
	earlyDraws = 4
	// lostDraws is the number of failed draws in a row after which the home counts as lost.
	lostDraws = 2
	// accountIdle is how long an entry remembers an organisation that sends nothing.
	accountIdle = time.Minute
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Amount is a number of requests and of tokens.
type Amount struct {
	Requests float64
	Tokens   float64
}

// Limit is an organisation's allowance per second over all entries; zero means no limit.
type Limit struct {
	Requests float64
	Tokens   float64
}

func (l Limit) none() bool { return l.Requests <= 0 && l.Tokens <= 0 }

// Draw asks the home of an organisation for the amount that an entry wants for one interval.
type Draw struct {
	From         string
	Organisation string
	Want         Amount
}

// Grant is what the home gives. It lapses after Valid; the entry draws again after half of that.
type Grant struct {
	Amount
	Valid time.Duration
}
