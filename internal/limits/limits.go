// Package limits enforces the limits of organisations on requests and tokens per second over all
// entries, without calls to the platform. For each organisation, the entry with the highest rendezvous
// rank owns the limit. The owner grants amounts by recent demand. Entries spend them locally and draw
// again each interval in the background, so that no request waits for a draw. Entries call the Limiter;
// Owner and Spender have no input or output.
//
// Bounds, for a limit of L per second and N live entries: while all entries reach one owner, the
// amount admitted over T seconds is at most
//
//	L x (T + burst) + N x (one request + L x interval / N)
//
// because each entry may spend its share of the first interval and one request before it has a
// grant. When c entries cannot reach the owner, they admit L/N each, so the total is at most
// L x (1 + c/N) a second. When the owner changes, grants of the old owner expire after two intervals
// and the new owner starts with one burst.
package limits

import "time"

const (
	// minInterval is the minimum time between draws of an entry for one organisation.
	minInterval = time.Second
	// maxInterval is the maximum time between draws, for an organisation for which very many entries draw.
	maxInterval = 20 * time.Second
	// maxDrawsPerSecond is the target maximum rate of draws for one organisation. The owner increases
	// the interval to stay below it.
	maxDrawsPerSecond = 150
	// burstSeconds is how many seconds of a limit accumulate at the owner while no entry draws.
	burstSeconds = 1.0
	// headroomDeviations is the number of standard deviations of a Poisson count that an entry requests
	// above its mean demand. maxHeadroomFactor bounds the request as a multiple of the mean demand.
	headroomDeviations = 2.0
	maxHeadroomFactor  = 3.0
	// demandSmoothing is the weight of the latest interval in the moving average of the demand.
	demandSmoothing = 0.3
	// earlyDraws is how many times in an interval an exhausted entry may draw while the owner grants
	// its draws in full.
	earlyDraws = 4
	// maxFailedDraws is the number of consecutive failed draws after which the owner counts as lost.
	maxFailedDraws = 2
	// accountIdleTime is how long an entry keeps the account of an organisation without requests.
	accountIdleTime = time.Minute
	// minRetryAfter and maxRetryAfter bound the retry time in a refusal.
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

func (l Limit) unlimited() bool { return l.Requests <= 0 && l.Tokens <= 0 }

// Draw is an entry's request to the owner of an organisation's limit for a part of the limit, for one
// interval.
type Draw struct {
	From         string
	Organisation string
	Requested    Amount
}

// Grant is the owner's reply to a Draw. It expires after Valid; the entry draws again after half of Valid.
type Grant struct {
	Amount
	Valid time.Duration
}
