// Package routing holds the configuration in force: which route a request takes, which services may
// run it, and which organisation an API key belongs to. The gateway reads it for each request.
// platform/ builds it from the operator's document.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind defines whether the requests of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests have a response of server-sent events; they run at most once unless resumable.
	Streaming
)

// String returns the name of the kind in metrics and logs.
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
	// Timeout bounds how long a caller waits for the response.
	Timeout time.Duration
	// TargetLatency is the operator's target for the time to the response, or to the first event of a stream.
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is served first.
	Priority int
	Split    []Share
	// MaxAttempts bounds the number of backend servers that may run one request.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another server after the last complete event.
	Resumable bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CacheTokens is the memory of one engine for KV cache, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token of KV cache, in bytes.
	TokenBytes int
	Models     []string
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the number of connections of all callers to one server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// ColdPerSecond is how many requests a second a cold server takes from all gateways together; 0 means any number.
	ColdPerSecond float64
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
}

// CacheStore is one store for KV cache.
type CacheStore struct {
	Name           string
	Address        string
	FailureDomain  string
	CapacityTokens int
	// LinkMbps is the bandwidth of the store's link, in megabits per second.
	LinkMbps float64
	// FirstByteDelay is the delay before the first byte of a transfer.
	FirstByteDelay time.Duration
	// MaxEventCalls bounds the number of calls for events that the store keeps open at one time.
	MaxEventCalls int
	// Managed stores do not free cached parts by themselves.
	Managed bool
}

// Organisation holds the API keys, the priority and the cache isolation of one organisation.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated organisations share no KV cache with others.
	Isolated bool
}

// Limits bound the requests and connections of a caller.
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

// Table is a Configuration with indexes for look-ups. It is immutable.
type Table struct {
	Configuration
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	byName   map[string]*Organisation
	services map[string]*Service
	// sharedBoundary is the cache isolation boundary of the organisations that aren't isolated.
	sharedBoundary string
}

// NewTable returns a Table for the configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		byHost:        make(map[string][]*Route),
		byKey:         make(map[string]*Organisation),
		byName:        make(map[string]*Organisation),
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
		t.byName[c.Organisations[i].Name] = &c.Organisations[i]
		for _, key := range c.Organisations[i].Keys {
			t.byKey[key] = &c.Organisations[i]
		}
	}
	t.sharedBoundary = sharedBoundary(c.Organisations)
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of the host with the longest prefix that matches path, or nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// KeysRequired reports whether requests to routes that are not public need an API key.
func (t *Table) KeysRequired() bool { return len(t.Organisations) > 0 }

// Organisation returns the organisation that owns the API key, or nil if there is none.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Service returns the service with the name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasService reports whether the route's requests may go to the service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == name })
}

// ChooseService returns the name of the service that the route's split assigns to draw, a random number in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
