package limits

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// drawTick is how often due draws are looked for.
	drawTick = 100 * time.Millisecond
	// drawTimeout bounds one draw.
	drawTimeout = 300 * time.Millisecond
	// pruneEvery is how often the home forgets organisations that nobody draws for.
	pruneEvery = time.Minute
	// maxWanted bounds the requests or tokens of one draw.
	maxWanted = 1e12
)

// Entry is a live entry.
type Entry struct {
	Instance       string
	ControlAddress string // ip:port
}

// Connections opens gRPC connections by address; grpcpool.Pool is one.
type Connections interface {
	Get(address string) (*grpc.ClientConn, error)
}

// Options are what a Limiter is built from.
type Options struct {
	// Self is the name of this entry's instance.
	Self string
	// Entries returns the live entries, with or without this one; none while they are not known.
	Entries func() []Entry
	// LimitOf returns the limit of an organisation in the configuration in force.
	LimitOf     func(organisation string) Limit
	Connections Connections
}

// Limiter holds this entry's part of all limits: it spends grants and is the home of some
// organisations. It is safe for concurrent use.
type Limiter struct {
	wire.UnimplementedQuotaServer
	options Options
	wake    chan struct{}
	draws   sync.WaitGroup

	mu      sync.Mutex // guards spender and home
	spender *Spender
	home    *Home
}

// NewLimiter returns a Limiter that draws once Run is called.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		options: options,
		wake:    make(chan struct{}, 1),
		spender: NewSpender(),
		home:    NewHome(),
	}
}

// Allow takes one request with its estimated tokens from the organisation's limit. A refused
// request has not run; retryAfter tells when to come back.
func (l *Limiter) Allow(organisation string, tokens float64) (allowed bool, retryAfter time.Duration) {
	limit := l.options.LimitOf(organisation)
	if limit.none() {
		return true, 0
	}
	l.mu.Lock()
	decision := l.spender.Spend(time.Now(), organisation, limit, tokens)
	l.mu.Unlock()
	if decision.Draw {
		l.wakeUp()
	}
	return decision.Allowed, decision.RetryAfter
}

// Refund gives back tokens that a request was estimated to use but did not.
func (l *Limiter) Refund(organisation string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spender.Refund(organisation, tokens)
}

// Run draws until ctx ends, then waits for open draws.
func (l *Limiter) Run(ctx context.Context) {
	defer l.draws.Wait()
	ticker := time.NewTicker(drawTick)
	defer ticker.Stop()
	pruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		l.drawDue(ctx)
		if now := time.Now(); now.Sub(pruned) >= pruneEvery {
			pruned = now
			l.prune(now)
		}
	}
}

func (l *Limiter) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.Prune(now)
}

// drawDue starts all due draws.
func (l *Limiter) drawDue(ctx context.Context) {
	entries := l.options.Entries()
	l.mu.Lock()
	if len(entries) > 0 {
		l.spender.SetLive(l.countLive(entries))
	}
	due := l.spender.Due(time.Now())
	l.mu.Unlock()
	for _, d := range due {
		d.From = l.options.Self
		home, local := homeOf(d.Organisation, l.options.Self, entries)
		if local {
			l.granted(d.Organisation, l.drawHere(d), nil)
			continue
		}
		l.draws.Go(func() {
			grant, err := l.drawFrom(ctx, home, d)
			l.granted(d.Organisation, grant, err)
		})
	}
}

// countLive counts the live entries, this one included.
func (l *Limiter) countLive(entries []Entry) int {
	count := 1
	for _, e := range entries {
		if e.Instance != l.options.Self {
			count++
		}
	}
	return count
}

func (l *Limiter) granted(organisation string, grant Grant, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.spender.Failed(time.Now(), organisation)
		return
	}
	l.spender.Granted(time.Now(), organisation, grant)
}

// homeOf returns the entry that ranks highest for an organisation; local is true when it is self.
func homeOf(organisation, self string, entries []Entry) (home Entry, local bool) {
	key := rendezvous.Hash("limit/" + organisation)
	home, local = Entry{Instance: self}, true
	best := rendezvous.Weight(key, rendezvous.Hash(self))
	for _, e := range entries {
		if weight := rendezvous.Weight(key, rendezvous.Hash(e.Instance)); weight > best {
			home, local, best = e, false, weight
		}
	}
	return home, local
}

func (l *Limiter) drawHere(d Draw) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Draw(time.Now(), d, l.options.LimitOf(d.Organisation))
}

// drawFrom asks a remote home. It returns ErrHomeUnreachable.
func (l *Limiter) drawFrom(ctx context.Context, home Entry, d Draw) (Grant, error) {
	connection, err := l.options.Connections.Get(home.ControlAddress)
	if err != nil {
		return Grant{}, ErrHomeUnreachable.Wrap(err, "home %q of organisation %q", home.Instance, d.Organisation)
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	reply, err := wire.NewQuotaClient(connection).Draw(ctx, &wire.DrawRequest{
		From:         d.From,
		Organisation: d.Organisation,
		Requests:     d.Want.Requests,
		Tokens:       d.Want.Tokens,
	})
	if err != nil {
		return Grant{}, ErrHomeUnreachable.Wrap(err, "home %q of organisation %q", home.Instance, d.Organisation)
	}
	return Grant{
		Amount: Amount{Requests: reply.GetRequests(), Tokens: reply.GetTokens()},
		Valid:  time.Duration(reply.GetValidMs()) * time.Millisecond,
	}, nil
}

// Draw implements wire.QuotaServer.
func (l *Limiter) Draw(_ context.Context, r *wire.DrawRequest) (*wire.DrawReply, error) {
	grant := l.drawHere(Draw{
		From:         r.GetFrom(),
		Organisation: r.GetOrganisation(),
		Want:         Amount{Requests: wanted(r.GetRequests()), Tokens: wanted(r.GetTokens())},
	})
	return &wire.DrawReply{
		Requests: grant.Requests,
		Tokens:   grant.Tokens,
		ValidMs:  uint32(grant.Valid.Milliseconds()),
	}, nil
}

// wanted bounds an amount from the wire; no number counts as zero.
func wanted(amount float64) float64 {
	if !(amount > 0) {
		return 0
	}
	return min(amount, maxWanted)
}

// State is what dump shows.
type State struct {
	Accounts  int `json:"accounts"`
	LostHomes int `json:"lost_homes"`
	HomeOf    int `json:"home_of"`
}

// State returns the size of the limiter's parts.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		Accounts:  l.spender.Organisations(),
		LostHomes: l.spender.Lost(),
		HomeOf:    l.home.Organisations(),
	}
}
