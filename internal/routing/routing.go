// Package routing holds the configuration in force: which route a request takes, which services may
// run it, and which organisation an API key belongs to. The gateway reads it for each request;
// platform/ fills it from the operator's document.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by server-sent events; they run at most once unless resumable.
	Streaming
)

// String names the kind as metrics and logs show it.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	default:
		return "streaming"
	}
}

// Share is one service of a route with its weight in the traffic split.
type Share struct {
	Service string
	Weight  float64
}

// Route is one entry of the route table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, that the operator aims at.
	TargetLatency time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	Split    []Share
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another server after the last whole event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CacheTokens is the memory of one engine, in tokens of KV cache.
	CacheTokens int
	// TokenBytes is the size of one token of KV cache.
	TokenBytes int
	Models     []string
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// CacheStore is one store of KV cache.
type CacheStore struct {
	Name           string
	Address        string
	FailureDomain  string
	CapacityTokens int
	// LinkMbps is the rate of the store's link, in megabits a second.
	LinkMbps float64
	// FirstByte is how long a transfer waits before its first byte.
	FirstByte time.Duration
	// EventCalls bounds the calls for events that the store holds at once.
	EventCalls int
	// Managed stores free nothing by themselves.
	Managed bool
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated organisations share no KV cache with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's document.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Stores        []CacheStore
	Organisations []Organisation
	Limits        Limits
}

// Table is a Configuration indexed for look-ups. It is immutable.
type Table struct {
	Configuration
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	services map[string]*Service
}

// NewTable indexes a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		byHost:        make(map[string][]*Route),
		byKey:         make(map[string]*Organisation),
		services:      make(map[string]*Service),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.byKey[key] = &c.Organisations[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that begins path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// KeysRequired reports whether requests to routes that aren't public need an API key.
func (t *Table) KeysRequired() bool { return len(t.Organisations) > 0 }

// Organisation returns the organisation that holds key, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Service returns the service called name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Choose returns the service of the route's split at draw, which lies in [0, 1).
func (r *Route) Choose(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
