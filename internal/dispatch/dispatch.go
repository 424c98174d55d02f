// Package dispatch decides which backend server runs a request, when it is sent again and when it is
// refused. The gateway's control goroutine owns the Dispatcher; it has no clock and no network.
//
// A server is found in three steps: filters leave out servers that can't or shouldn't run the request,
// each one left is scored by the predicted time to its first byte, and the lowest score is picked. The
// load that it answers: many prompts whose parts lie in cache stores, so that any engine can take any
// prompt, with engines that crash, slow down or load weights at any time.
package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// Request is what a placement needs to know of a request.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Wall separates the KV cache of isolated organisations; empty for the shared one.
	Wall  string
	Parts []kvcache.Part
	// PromptTokens is the size of the prompt, OutputTokens the most that the answer may have.
	PromptTokens int
	OutputTokens int
	// Priority is the rank of the request at its server, 0 first.
	Priority int
	// Target is the time to the first byte that the operator aims at.
	Target time.Duration
	// Left is the time that the caller still waits.
	Left time.Duration
	// Tried are the servers that the request was already sent to.
	Tried []string
	// MinVersion is the weight version that a resumed stream needs; 0 for any.
	MinVersion int64
}

// Placement is where a request goes.
type Placement struct {
	Server  string
	Address string
	Domain  string
	// Version is the weight version that the server is believed to have; 0 for plain services.
	Version int64
	Salt    string
	// Plan is nil for plain services.
	Plan *kvcache.Plan
	// Tokens are the prompt tokens that the server must compute, by the plan.
	Tokens int
	// Predicted is the expected time to the first byte.
	Predicted time.Duration
	// Compute is the part of it that the engine needs; the rest is fetching.
	Compute time.Duration
	// Score is what the server was picked by, in milliseconds, and Candidates how many there were.
	Score      float64
	Candidates int
	// engine is nil for plain services. parts and output are what the request holds of its memory since it
	// was sent, holds the size of that in tokens.
	engine *server
	parts  []kvcache.Part
	output int
	holds  int
	sentAt time.Time
	// Alone tells that no other prompt was waiting at the server, so that the time to the first byte
	// shows what this one took.
	Alone bool
}

// Reason says why no server was picked.
type Reason string

// The reasons of a refusal.
const (
	NoServer   Reason = "no_server"
	AllSuspect Reason = "all_servers_suspect"
	AllLoading Reason = "all_servers_loading"
	AllFull    Reason = "all_servers_full"
	Crowded    Reason = "engines_crowded"
	NoBudget   Reason = "no_retry_budget"
	Exhausted  Reason = "attempts_exhausted"
)

// Refusal tells the caller that its request has not run and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Server is the best that was found for a prompt that was refused for the crowd, with the expected time
	// to its first token and the part of it that is waiting for others.
	Server    string
	Predicted time.Duration
	Wait      time.Duration
	// What the expectation comes from: prompt tokens that wait at the server, tokens of memory held there,
	// both of this gateway and of the others, and the server's measured over predicted time.
	AheadTokens, AheadOthers int
	HeldTokens, HeldOthers   int
	Slowness                 float64
}

// server is what is known of one server.
type server struct {
	backend.Server
	version map[string]int64
	// running and tokens are this gateway's requests there and the prompt tokens it waits for.
	running int
	tokens  int
	// average is the average of both over averageOver, as other gateways are told.
	average averageLoad
	// memory is what this gateway's requests hold of it.
	memory memory
	// others is the load that the other gateways have there.
	others PeerLoad
	load   backend.Load
	loadAt time.Time
	// suspectUntil is when a server that could not be reached is tried again, suspected how often in a row.
	suspectUntil time.Time
	suspected    int
	// fullUntil is when a server that turned a request away is tried again.
	fullUntil time.Time
	// withheldUntil is when a server that loads weights is tried again unless the leader says more.
	withheldUntil time.Time
	// slowness is the measured over the predicted time of recent requests.
	slowness float64
	// away tells that an engine is not one of those that this gateway prefers.
	away bool
	// lastGood is when the server last answered.
	lastGood time.Time
}

// PeerLoad is the load that other gateways have at one server.
type PeerLoad struct {
	Running int
	// Tokens are the prompt tokens that wait to be computed, Held those that running requests hold in memory.
	Tokens int
	Held   int
}

// Dispatcher decides for one gateway. It is not safe for concurrent use.
type Dispatcher struct {
	domain    string
	rng       *rand.Rand
	servers   map[string]*server
	services  map[string]*service
	health    *health.Tracker
	catalogue *kvcache.Catalogue
	budgets   map[string]*Budget
	budget    BudgetConfig
	named     map[string]naming
	// weightsWithin is how long after a naming requests may still begin on older weights.
	weightsWithin time.Duration
	peers         map[string]map[string]PeerLoad
	recent        recentParts
	position      Position
	// cached and turn belong to the placement that is being made.
	cached []cachedPrompt
	turn   turn
}

type service struct {
	routing.Service
	servers []*server
	// tokenMS is the time to compute one prompt token, in milliseconds, and workMS the time of a
	// request to a plain service, both as measured lately.
	tokenMS float64
	workMS  float64
	// holdMS is how long requests hold an engine's memory, in milliseconds, as measured lately.
	holdMS float64
	// awayChance is how likely a placement looks at an engine that is not one of the gateway's own.
	awayChance float64
	// claims is how many gateways may claim the same room at an engine that is not their own.
	claims int
	// first is the rank of the most urgent requests seen, once ranked.
	first  int
	ranked bool
}

// New returns a Dispatcher for a gateway in the failure domain.
func New(domain string, seed uint64, catalogue *kvcache.Catalogue, budget BudgetConfig) *Dispatcher {
	return &Dispatcher{
		domain:    domain,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		servers:   make(map[string]*server),
		services:  make(map[string]*service),
		health:    health.New(healthConfig()),
		catalogue: catalogue,
		budgets:   make(map[string]*Budget),
		budget:    budget,
		named:     make(map[string]naming),
		peers:     make(map[string]map[string]PeerLoad),
		recent:    newRecentParts(),
	}
}

// healthConfig suits servers that get several requests a second from each gateway.
func healthConfig() health.Config {
	c := health.DefaultConfig()
	c.HalfLife = 2 * time.Second
	c.BaseEjection = 1500 * time.Millisecond
	c.MaxEjection = 6 * time.Second
	c.ErrorMargin = 0.25
	return c
}

// SetServices takes the services of a configuration.
func (d *Dispatcher) SetServices(services []routing.Service) {
	kept := make(map[string]*service, len(services))
	for _, s := range services {
		known := d.services[s.Name]
		if known == nil {
			known = &service{tokenMS: defaultTokenMS, workMS: defaultWorkMS, holdMS: defaultHoldMS}
		}
		known.Service = s
		kept[s.Name] = known
	}
	d.services = kept
	d.regroup()
}

// SetServers takes the registered servers. What is known of those that stay is kept.
func (d *Dispatcher) SetServers(servers []backend.Server) {
	kept := make(map[string]*server, len(servers))
	for _, s := range servers {
		known := d.servers[s.ID]
		if known == nil || known.Started != s.Started && s.Started != 0 && known.Started != 0 {
			known = &server{version: make(map[string]int64), slowness: 1}
		}
		known.Server = s
		for model, v := range s.Versions {
			known.version[model] = max(known.version[model], v)
		}
		kept[s.ID] = known
		d.health.Add(health.Replica{ID: s.ID, Service: s.Service, FailureDomain: s.FailureDomain})
	}
	for id := range d.servers {
		if kept[id] == nil {
			d.health.Remove(id)
		}
	}
	d.servers = kept
	d.regroup()
	d.sumPeers()
}

func (d *Dispatcher) regroup() {
	for _, s := range d.services {
		s.servers = s.servers[:0]
	}
	for _, s := range d.servers {
		if group := d.services[s.Service]; group != nil {
			group.servers = append(group.servers, s)
		}
	}
	for _, s := range d.services {
		slices.SortFunc(s.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	}
	d.assignHomes()
}

// naming is the newest weight version of a model and when it was named, as far as is known.
type naming struct {
	version int64
	at      time.Time
}

// SetNamed takes the newest weight version that the operator has named for a model, and when.
func (d *Dispatcher) SetNamed(model string, version int64, at time.Time) {
	known := d.named[model]
	if version < known.version || version == known.version && !at.Before(known.at) {
		return
	}
	d.named[model] = naming{version, at}
	d.catalogue.SetNewest(model, version)
}

// SetWeightsWithin takes how long after a naming requests may still begin on older weights.
func (d *Dispatcher) SetWeightsWithin(within time.Duration) { d.weightsWithin = within }

// overdueMargin is taken off the time in which requests may begin on older weights: their way to the
// server and their wait there.
const overdueMargin = 1200 * time.Millisecond

// overdue reports whether requests may no longer begin on a server's weights.
func (d *Dispatcher) overdue(now time.Time, s *server, model string) bool {
	n := d.named[model]
	return s.version[model] < n.version && now.Sub(n.at) > d.weightsWithin-overdueMargin
}

// oldest returns the oldest weight version that a server has of the model; 0 when none has it.
func (d *Dispatcher) oldest(model string) int64 {
	var oldest int64
	for _, s := range d.servers {
		if v := s.version[model]; v > 0 && (oldest == 0 || v < oldest) {
			oldest = v
		}
	}
	return oldest
}

// SetVersion takes a server's weight version from an answer, a report or another gateway. Versions of
// one server never go back.
func (d *Dispatcher) SetVersion(id, model string, version int64) {
	if s := d.servers[id]; s != nil && version > s.version[model] {
		s.version[model] = version
		s.withheldUntil = time.Time{}
		s.fullUntil = time.Time{}
	}
}

// withheldFor is how long the leader's word that a server is loading counts: a few of its beats.
const withheldFor = 1500 * time.Millisecond

// SetWithheld takes the servers that are about to load weights, or do.
func (d *Dispatcher) SetWithheld(ids []string, now time.Time) {
	for _, s := range d.servers {
		s.withheldUntil = time.Time{}
	}
	for _, id := range ids {
		if s := d.servers[id]; s != nil {
			s.withheldUntil = now.Add(withheldFor)
		}
	}
}

// SetPeer takes the load that another gateway has at each server; nil when the gateway is gone.
func (d *Dispatcher) SetPeer(peer string, loads map[string]PeerLoad) {
	if loads == nil {
		delete(d.peers, peer)
	} else {
		d.peers[peer] = loads
	}
	d.sumPeers()
}

func (d *Dispatcher) sumPeers() {
	for _, s := range d.servers {
		s.others = PeerLoad{}
	}
	for _, loads := range d.peers {
		for id, l := range loads {
			if s := d.servers[id]; s != nil {
				s.others.Running += l.Running
				s.others.Tokens += l.Tokens
				s.others.Held += l.Held
			}
		}
	}
}

// Loads returns this gateway's own average load by server, for the other gateways.
func (d *Dispatcher) Loads(now time.Time) map[string]PeerLoad {
	loads := make(map[string]PeerLoad)
	for id, s := range d.servers {
		if load := s.averageLoad(now); load != (PeerLoad{}) {
			loads[id] = load
		}
	}
	return loads
}

// Engines returns what the rollout needs to know of the servers that run a model.
func (d *Dispatcher) Engines(model string, now time.Time) []EngineView {
	var views []EngineView
	for _, s := range d.servers {
		if _, ok := s.version[model]; !ok {
			continue
		}
		views = append(views, EngineView{
			Server:   s.Server,
			Version:  s.version[model],
			InFlight: s.running + s.others.Running,
			Suspect:  now.Before(s.suspectUntil),
		})
	}
	return views
}

// EngineView is one server as the rollout of weights sees it.
type EngineView struct {
	backend.Server
	Version  int64
	InFlight int
	Suspect  bool
}

// NamedVersion is a weight version that was named for a model, and how long ago.
type NamedVersion struct {
	Model   string
	Version int64
	At      time.Time
}

// Named returns the newest named weight versions.
func (d *Dispatcher) Named() []NamedVersion {
	list := make([]NamedVersion, 0, len(d.named))
	for model, n := range d.named {
		list = append(list, NamedVersion{model, n.version, n.at})
	}
	return list
}

// Evaluate judges the servers' health and returns what changed. It is called a few times a second.
func (d *Dispatcher) Evaluate(now time.Time) []health.Change {
	d.catalogue.Expire(now)
	return d.health.Evaluate(now)
}
