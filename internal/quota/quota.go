// Package quota divides the request limits of backend servers among the gateways of a deployment. A server states how many
// requests a second it takes from all gateways together. It answers loads in which some or all servers of a service
// state such limits, down to one request in several seconds, and any number of gateways wants to send.
//
// One gateway owns the limit of a server and grants single requests of it to whichever gateway has one to send. Grants
// expire soon, so that none accumulate where no requests come. Owner and Holder are pure code without clock or network;
// package fleet chooses the owner and carries the grants.
//
// Invariant: the requests sent under the grants of one Owner in any time T number at most
//
//	limit x share x (T + burstSeconds + grantTTL) + 1
//
// where share is the part of the limit that the Owner may grant. The shares of owners that can't reach each other add
// up to no more than 1, because each counts the gateways that it reaches.
package quota

import (
	"math"
	"time"
)

const (
	// grantTTL is how long a grant may be used.
	grantTTL = 500 * time.Millisecond
	// burstSeconds is how many seconds of a limit accumulate, beyond one request, while no gateway asks.
	burstSeconds = 0.25
	// minPerSecond is the smallest rate that is granted. At a lower one the end of a limit would go unnoticed.
	minPerSecond = 0.1
	// maxRequests bounds the requests of one grant.
	maxRequests = 16
	// idleBucketTTL is how long the state of a limit for which nobody asks is kept.
	idleBucketTTL = time.Minute
	// maxColdIdle is how long nobody may ask for a cold server until its bucket is emptied. Meanwhile another gateway may have owned
	// the limit, which grants nothing in its first 2.5 s, or requests may have gone to the server while it counted as warm.
	maxColdIdle = 2 * time.Second
	// minAskInterval is the minimum time after a refusal until the owner is asked again.
	minAskInterval = 20 * time.Millisecond
	// demandWindow is the time constant of the average number of requests sent.
	demandWindow = time.Second
)

// Ask is a gateway's request for a grant.
type Ask struct {
	Server string
	// PerSecond is the limit that the server states, in requests a second.
	PerSecond float64
	Requests  int
	// Cold is set when the server is cold. Its owner is then chosen in a way that leaves no time with two owners.
	Cold bool
}

// Grant permits a number of requests to one server, for a time from when the owner was asked.
type Grant struct {
	// Requests is 0 for a refusal. The owner may then be asked again after RetryAfter.
	Requests   int
	Valid      time.Duration
	RetryAfter time.Duration
}

// Owner grants requests of the limits that this gateway owns. It is not safe for concurrent use.
type Owner struct {
	buckets map[string]*bucket
}

// bucket is a token bucket of one server's limit. It starts empty, because another owner may have granted requests just
// before.
type bucket struct {
	level    float64
	filledAt time.Time
}

// NewOwner returns an Owner that has granted nothing.
func NewOwner() *Owner { return &Owner{buckets: make(map[string]*bucket)} }

// Grant grants the requests of an ask as far as the limit allows. share, from 0 to 1, is the part of the limit that this
// owner may grant.
func (o *Owner) Grant(now time.Time, ask Ask, share float64) Grant {
	o.expire(now)
	b := o.buckets[ask.Server]
	if b == nil {
		b = &bucket{filledAt: now}
		o.buckets[ask.Server] = b
	}
	perSecond := max(ask.PerSecond, minPerSecond) * share
	if ask.Cold && now.Sub(b.filledAt) > maxColdIdle {
		b.level, b.filledAt = b.levelAfterIdle(now, perSecond), now
	}
	b.fill(now, perSecond)
	granted := min(ask.Requests, maxRequests, int(b.level))
	if granted < 1 {
		seconds := (1 - b.level) / perSecond
		return Grant{RetryAfter: time.Duration(math.Ceil(seconds * float64(time.Second)))}
	}
	b.level -= float64(granted)
	return Grant{Requests: granted, Valid: grantTTL}
}

func (b *bucket) fill(now time.Time, perSecond float64) {
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*perSecond, 1+burstSeconds*perSecond)
		b.filledAt = now
	}
}

// levelAfterIdle returns the level of a cold server's bucket for which nobody has asked for longer than maxColdIdle. At rates under one
// request in that time, gateways that were refused come back later than that; their share of one request is kept.
func (b *bucket) levelAfterIdle(now time.Time, perSecond float64) float64 {
	if perSecond*maxColdIdle.Seconds() > 1 {
		return 0
	}
	b.fill(now, perSecond)
	return min(b.level, 1)
}

func (o *Owner) expire(now time.Time) {
	for server, b := range o.buckets {
		if now.Sub(b.filledAt) > idleBucketTTL {
			delete(o.buckets, server)
		}
	}
}

// Holder keeps this gateway's grants until they are used or expire. It is not safe for concurrent use.
type Holder struct {
	accounts map[string]*account
}

// account is the state of one limited server at this gateway.
type account struct {
	requests  int
	expiresAt time.Time
	// askAt is when the owner may be asked again.
	askAt time.Time
	// demand is the number of requests sent, of which each counts less the longer ago it was sent.
	demand   float64
	demandAt time.Time
}

// NewHolder returns a Holder without grants.
func NewHolder() *Holder { return &Holder{accounts: make(map[string]*account)} }

func (h *Holder) account(server string) *account {
	a := h.accounts[server]
	if a == nil {
		a = &account{}
		h.accounts[server] = a
	}
	return a
}

// Has reports whether a request may be sent to the server under a grant.
func (h *Holder) Has(now time.Time, server string) bool {
	a := h.accounts[server]
	return a != nil && a.requests > 0 && now.Before(a.expiresAt)
}

// Take uses a grant for one request to the server. It returns false if there is none.
func (h *Holder) Take(now time.Time, server string) bool {
	if !h.Has(now, server) {
		return false
	}
	a := h.accounts[server]
	a.requests--
	a.demand = a.demandSince(now) + 1
	a.demandAt = now
	return true
}

// MayAsk reports whether the owner of the server's limit may be asked for a grant.
func (h *Holder) MayAsk(now time.Time, server string) bool {
	a := h.accounts[server]
	return a == nil || !now.Before(a.askAt)
}

// AskAt returns the time from which the owner of the server's limit may be asked.
func (h *Holder) AskAt(server string) time.Time {
	if a := h.accounts[server]; a != nil {
		return a.askAt
	}
	return time.Time{}
}

// Ask returns the ask for the next requests to a server with the limit. A gateway that sends many requests asks for
// several at once, but for no more than it sends within half of grantTTL.
func (h *Holder) Ask(now time.Time, server string, perSecond float64) Ask {
	perTTL := h.account(server).demandSince(now) * grantTTL.Seconds() / demandWindow.Seconds()
	return Ask{Server: server, PerSecond: perSecond, Requests: min(1+int(perTTL/2), maxRequests)}
}

// Add adds what the owner replied to an ask at the given time.
func (h *Holder) Add(askedAt, now time.Time, server string, g Grant) {
	a := h.account(server)
	if g.Requests == 0 {
		a.askAt = now.Add(max(g.RetryAfter, minAskInterval))
		return
	}
	if !now.Before(a.expiresAt) {
		a.requests = 0
	}
	a.requests += g.Requests
	// Requests that are left from an earlier grant expire with it or earlier.
	if expiresAt := askedAt.Add(g.Valid); a.requests == g.Requests || expiresAt.Before(a.expiresAt) {
		a.expiresAt = expiresAt
	}
}

// Forget drops the grants for a server that is gone or states no limit.
func (h *Holder) Forget(server string) { delete(h.accounts, server) }

// demandSince returns the average number of requests sent in demandWindow.
func (a *account) demandSince(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandWindow.Seconds())
}
