package limits

import (
	"context"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// drawCheckInterval is the time between two checks for due draws.
	drawCheckInterval = 100 * time.Millisecond
	// drawTimeout bounds one draw.
	drawTimeout = 300 * time.Millisecond
	// pruneInterval is the time between two deletions of organisations for which no entry draws.
	pruneInterval = time.Minute
	// maxAmount bounds the number of requests or tokens of one draw.
	maxAmount = 1e12
)

// Entry is a live entry.
type Entry struct {
	Instance       string
	ControlAddress string // ip:port
}

// Connections opens gRPC connections by address; grpcpool.Pool implements it.
type Connections interface {
	Get(address string) (*grpcpool.Connection, error)
}

// Options configures a Limiter.
type Options struct {
	// Self is the name of this entry's instance.
	Self string
	// Entries returns the live entries, with or without this one. It returns none while they are unknown.
	Entries func() []Entry
	// LimitOf returns the limit of an organisation in the configuration in force.
	LimitOf     func(organisation string) Limit
	Connections Connections
}

// Limiter enforces this entry's part of all limits. It spends grants and owns the limits of some
// organisations. It is safe for concurrent use.
type Limiter struct {
	wire.UnimplementedQuotaServer
	options    Options
	drawNotify chan struct{}
	openDraws  sync.WaitGroup

	mu      sync.Mutex // guards spender and owner
	spender *Spender
	owner   *Owner
}

// NewLimiter returns a Limiter that draws once Run is called.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		options:    options,
		drawNotify: make(chan struct{}, 1),
		spender:    NewSpender(),
		owner:      NewOwner(),
	}
}

// Allow takes one request with its estimated tokens from the organisation's limit. A refused request
// has not run and may be retried after retryAfter.
func (l *Limiter) Allow(organisation string, tokens float64) (allowed bool, retryAfter time.Duration) {
	limit := l.options.LimitOf(organisation)
	if limit.unlimited() {
		return true, 0
	}
	l.mu.Lock()
	decision := l.spender.Spend(time.Now(), organisation, limit, tokens)
	l.mu.Unlock()
	if decision.Draw {
		l.notifyDraw()
	}
	return decision.Allowed, decision.RetryAfter
}

// Refund returns tokens that a request was estimated to use but did not use.
func (l *Limiter) Refund(organisation string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spender.Refund(organisation, tokens)
}

// Run draws until ctx ends and then waits for open draws.
func (l *Limiter) Run(ctx context.Context) {
	defer l.openDraws.Wait()
	ticker := time.NewTicker(drawCheckInterval)
	defer ticker.Stop()
	prunedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.drawNotify:
		case <-ticker.C:
		}
		l.drawDue(ctx)
		if now := time.Now(); now.Sub(prunedAt) >= pruneInterval {
			prunedAt = now
			l.prune(now)
		}
	}
}

func (l *Limiter) notifyDraw() {
	select {
	case l.drawNotify <- struct{}{}:
	default:
	}
}

func (l *Limiter) prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner.Prune(now)
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
		owner, local := ownerOf(d.Organisation, l.options.Self, entries)
		if local {
			l.granted(d.Organisation, l.drawLocal(d), nil)
			continue
		}
		l.openDraws.Go(func() {
			grant, err := l.drawRemote(ctx, owner, d)
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

// ownerOf returns the entry with the highest rendezvous rank for an organisation; local is true when it is self.
func ownerOf(organisation, self string, entries []Entry) (owner Entry, local bool) {
	key := rendezvous.Hash("limit/" + organisation)
	owner, local = Entry{Instance: self}, true
	best := rendezvous.Weight(key, rendezvous.Hash(self))
	for _, e := range entries {
		if weight := rendezvous.Weight(key, rendezvous.Hash(e.Instance)); weight > best {
			owner, local, best = e, false, weight
		}
	}
	return owner, local
}

func (l *Limiter) drawLocal(d Draw) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Draw(time.Now(), d, l.options.LimitOf(d.Organisation))
}

// drawRemote draws from a remote owner. It returns ErrOwnerUnreachable when the call fails.
func (l *Limiter) drawRemote(ctx context.Context, owner Entry, d Draw) (Grant, error) {
	connection, err := l.options.Connections.Get(owner.ControlAddress)
	if err != nil {
		return Grant{}, ErrOwnerUnreachable.Wrap(err, "owner %q of the limit of organisation %q", owner.Instance, d.Organisation)
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	reply, err := wire.NewQuotaClient(connection).Draw(ctx, &wire.DrawRequest{
		From:         d.From,
		Organisation: d.Organisation,
		Requests:     d.Requested.Requests,
		Tokens:       d.Requested.Tokens,
	})
	if err != nil {
		return Grant{}, ErrOwnerUnreachable.Wrap(err, "owner %q of the limit of organisation %q", owner.Instance, d.Organisation)
	}
	return Grant{
		Amount: Amount{Requests: reply.GetRequests(), Tokens: reply.GetTokens()},
		Valid:  time.Duration(reply.GetValidMs()) * time.Millisecond,
	}, nil
}

// Draw implements wire.QuotaServer.
func (l *Limiter) Draw(_ context.Context, r *wire.DrawRequest) (*wire.DrawReply, error) {
	grant := l.drawLocal(Draw{
		From:         r.GetFrom(),
		Organisation: r.GetOrganisation(),
		Requested:    Amount{Requests: boundAmount(r.GetRequests()), Tokens: boundAmount(r.GetTokens())},
	})
	return &wire.DrawReply{
		Requests: grant.Requests,
		Tokens:   grant.Tokens,
		ValidMs:  uint32(grant.Valid.Milliseconds()),
	}, nil
}

// boundAmount bounds an amount from the wire. A value that is not a number counts as zero.
func boundAmount(amount float64) float64 {
	if !(amount > 0) {
		return 0
	}
	return min(amount, maxAmount)
}

// State is the part of a dump about a Limiter.
type State struct {
	Accounts    int `json:"accounts"`
	LostOwners  int `json:"lost_homes"`
	OwnedLimits int `json:"home_of"`
}

// State returns the numbers of accounts, of accounts without an owner and of owned limits.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{
		Accounts:    l.spender.Organisations(),
		LostOwners:  l.spender.CountLost(),
		OwnedLimits: l.owner.Organisations(),
	}
}
