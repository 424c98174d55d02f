// Package dispatch decides which backend server runs a request, whether the request is retried and when it is
// refused. The gateway's control goroutine owns the Dispatcher, which uses no clock and no network.
//
// A server that limits its requests is chosen only when no other one can take the request in time, and only under a grant of
// its limit (package quota).
//
// A server is chosen in three steps: filters remove servers that cannot or should not run the request, each
// remaining server is scored by its predicted time to the first byte, and the lowest score is picked. The
// package is designed for many prompts whose parts are cached in stores, so that any engine can take any
// prompt, and for engines that may crash, slow down or load weights at any time.
package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/quota"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/shedding"
	"balsamyoke.example/balsamyoke/internal/weights"
)

// Request holds the properties of a request that a placement depends on.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// CacheBoundary is the cache isolation boundary, as in routing.
	CacheBoundary string
	Parts         []kvcache.Part
	// PromptTokens is the size of the prompt, OutputTokens the maximum size of the response.
	PromptTokens int
	OutputTokens int
	// Bytes is the size of the request, header and body.
	Bytes int
	// Priority is the rank of the request at its server; 0 is served first.
	Priority int
	// TargetLatency is the operator's target for the time to the first byte.
	TargetLatency time.Duration
	// TimeLeft is the time remaining until the request's deadline.
	TimeLeft time.Duration
	// Timeout is the time that callers of the route have at their first attempt; 0 if unknown.
	Timeout time.Duration
	// Tried lists the servers that the request was already sent to.
	Tried []string
	// MinVersion is the minimum weight version that a resumed stream needs; 0 means any.
	MinVersion int64
	// Continues is set for the rest of a stream. Only servers of SoftwareVersion can write it; if that is empty, none can.
	Continues       bool
	SoftwareVersion string
	// Waited is the time since the request arrived at the gateway.
	Waited time.Duration
	// NoAsk excludes cold servers for which this gateway has no grant at hand.
	NoAsk bool
}

// Placement is the server chosen for a request, with the predictions that the choice was based on.
type Placement struct {
	Server        string
	Address       string
	FailureDomain string
	Service       string
	// SoftwareVersion is that of the server; empty if unknown. StartedMS is the start of the server's run in Unix milliseconds; 0
	// if unknown.
	SoftwareVersion string
	StartedMS       int64
	// RunConfirmedAt is as of when the server was confirmed to be in the run that registered SoftwareVersion; zero unless the
	// request Continues.
	RunConfirmedAt time.Time
	// Version is the server's last known weight version; 0 for plain services.
	Version int64
	// WeightsDueIn is the time until no request may start on these weights; 0 if no newer ones are the target.
	WeightsDueIn time.Duration
	Salt         string
	// Plan is nil for plain services.
	Plan *kvcache.Plan
	// ComputeTokens is the number of prompt tokens that the server must compute according to the plan.
	ComputeTokens int
	// PredictedTTFB is the expected time to the first byte.
	PredictedTTFB time.Duration
	// EngineTime is the part of PredictedTTFB in which the engine computes or lets the request wait for a slot or for
	// memory; the rest is fetches.
	EngineTime time.Duration
	// Score is the server's score in milliseconds, Candidates the number of servers scored in the same pass.
	Score      float64
	Candidates int
	// engine is nil for plain services. parts and outputTokens define the memory that the request reserves at the
	// engine from sentAt on; reservedTokens is the amount that this adds to the memory already reserved, in tokens.
	engine         *server
	parts          []kvcache.Part
	outputTokens   int
	reservedTokens int
	sentAt         time.Time
	// bytes is the size of the request.
	bytes int
	// slotWaitMS is the expected wait for a slot, in milliseconds.
	slotWaitMS float64
	// SendBy is when the grant expires under which the request may be sent to a cold server. It must not be sent later. It is zero
	// for other servers.
	SendBy time.Time
	// warm is set if the server's service has a bound for cold servers and the server didn't count as cold. coldStarts is that of
	// the Dispatcher at the time.
	warm       bool
	coldStarts uint64
	// EmptyQueue reports that no other request was known to be waiting at the server, so that the measured time to
	// the first byte is that of this request alone.
	EmptyQueue bool
	// Speed is the factor by which the server's speed multiplied the predictions; SpeedAge is the age of the statement that it
	// came from, valid if SpeedStated is set.
	Speed       float64
	SpeedStated bool
	SpeedAge    time.Duration
	// statedSpeed is what the statement said.
	statedSpeed float64
}

// Reason is the cause of a refusal.
type Reason string

// Reasons for a refusal.
const (
	NoServer Reason = "no_server"
	// NoServerOfVersion means that no server has the software version that began the stream.
	NoServerOfVersion Reason = "no_server_of_version"
	AllSuspect        Reason = "all_servers_suspect"
	AllLoading        Reason = "all_servers_loading"
	AllBusy           Reason = "all_servers_busy"
	EnginesOverloaded Reason = "engines_crowded"
	// DeadlineUnreachable means that the request's deadline can't be met at any server; only under load shedding.
	DeadlineUnreachable Reason = "deadline_unreachable"
	NoRetryBudget       Reason = "no_retry_budget"
	// AllLimited means that the servers take no more requests a second, as they have stated.
	AllLimited Reason = "all_servers_limited"
	// AllCold means that the servers are cold, or may be, and get no more requests at present.
	AllCold           Reason = "all_servers_cold"
	AttemptsExhausted Reason = "attempts_exhausted"
	// Evacuated means that the servers which could run the request are in evacuated failure domains.
	Evacuated Reason = "evacuated"
	// ServersFull means that the bytes of the request don't fit in the servers' memory beside those in flight.
	ServersFull Reason = "all_servers_full"
	// Quarantined means that servers have crashed under requests that share a part with this one.
	Quarantined Reason = "quarantined"
)

// Refusal states that a request has not run, why, and when the caller may retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Server is the best server found for a prompt that was refused because of overload. PredictedTTFT is the
	// predicted time to first token there, Wait the part of it that is waiting for other prompts.
	Server        string
	PredictedTTFT time.Duration
	Wait          time.Duration
	// The inputs of the prediction: prompt tokens waiting at the server and tokens of memory reserved there, each
	// by this gateway and by the others, and the ratio of measured to predicted time at the server. UnseenTokens are prompt tokens
	// that the others are expected to have sent to an engine that has just become available, beyond what they have reported.
	WaitingTokens, PeerWaitingTokens   int
	UnseenTokens                       int
	ReservedTokens, PeerReservedTokens int
	Slowness                           float64
	// Speed, SpeedStated and SpeedAge are as in Placement.
	Speed       float64
	SpeedStated bool
	SpeedAge    time.Duration
	// GrantFrom is the server to which the request could be sent under a grant of its limit; empty when there is none. FromCold is
	// set when that server is cold; other servers may then be able to take the request without a grant.
	GrantFrom string
	FromCold  bool
	// Shed is the decision of load shedding; nil if something else decided.
	Shed *Shed
	// Part is the part for which the request was refused; empty unless Reason is Quarantined.
	Part string
}

// server is the gateway's view of one server.
type server struct {
	backend.Server
	// weightVersion is the last known weight version by model.
	weightVersion map[string]int64
	// running is the number of this gateway's requests at the server, waitingTokens the number of their prompt
	// tokens that are not computed yet.
	running       int
	waitingTokens int
	// average is the moving average of both, which is sent to the other gateways.
	average averageLoad
	// memory is the memory that this gateway's requests reserve at the server.
	memory memory
	// bytes is the size of this gateway's requests at the server.
	bytes int
	// peerLoad is the sum of the loads that the other gateways have at the server.
	peerLoad       PeerLoad
	reportedLoad   backend.Load
	reportedLoadAt time.Time
	// suspectUntil is when a server that could not be reached may be tried again; unreachableCount counts such failures
	// in a row.
	suspectUntil     time.Time
	unreachableCount int
	// refusedUntil is when a server may be tried again after a request was refused by it or misdirected to it.
	refusedUntil time.Time
	// misdirectedCount counts the requests in a row that were misdirected to the server.
	misdirectedCount int
	// replaced is set when another server, started later, has registered the same address: this one has ended. It ends
	// replacedTTL after replacedSince, the first Evaluate since then.
	replaced      bool
	replacedSince time.Time
	// excludedUntil is when a server that loads weights may be tried again, unless the leader extends the exclusion.
	excludedUntil time.Time
	// busyUntil is until when the server has asked this gateway to send it no requests.
	busyUntil time.Time
	limit     limit
	cold      coldState
	// sends are this gateway's recent requests to the server, assignees the number of gateways to which an engine is
	// assigned; 0 for all.
	sends     recentSends
	assignees int
	returned  returned
	// latestStartMS is the latest start of a run that the server has registered, in Unix milliseconds.
	latestStartMS int64
	// runEndedUntil is until when the registration may be of an earlier run. A registration of another run ends that.
	runEndedUntil time.Time
	// leaving is set once the server has stated that it is about to stop. It stays set for this run of the server.
	leaving bool
	// slowness is the ratio of measured to predicted time to the first byte of recent requests.
	slowness float64
	speed    speed
	// unassigned reports that an engine is not assigned to this gateway.
	unassigned bool
}

// Dispatcher places the requests of one gateway. It is not safe for concurrent use.
type Dispatcher struct {
	domain    string
	rng       *rand.Rand
	servers   map[string]*server
	services  map[string]*service
	health    *health.Tracker
	catalogue *kvcache.Catalogue
	budgets   map[string]*Budget
	budget    BudgetConfig
	schedule  *weights.Schedule
	peers     map[string]map[string]PeerLoad
	recent    recentParts
	position  Position
	grants    *quota.Holder
	// evacuated are the failure domains whose servers get no requests.
	evacuated map[string]bool
	// speedStated is set once a server has stated its speed, hasColdRate while a service has ColdPerSecond.
	speedStated bool
	hasColdRate bool
	// coldBounds apply to servers of services with ColdPerSecond.
	coldBounds ColdBounds
	// coldStarts counts the servers that have become cold. It is the only field that other goroutines read.
	coldStarts *atomic.Uint64
	// serverMemory bounds the bytes of the requests in flight to one server; 0 for no bound.
	serverMemory int64
	// cached and migration belong to the placement in progress.
	cached    []cachedPrompt
	migration weightMigration
	// home is the failure domain whose stores hold most of the prompt; empty if that is little.
	home string
}

type service struct {
	routing.Service
	servers []*server
	// tokenMS is the time to compute one prompt token, in milliseconds, and workMS the time of a
	// request to a plain service, both measured on recent requests.
	tokenMS float64
	workMS  float64
	// slotMS is how long recent requests occupied a slot of an engine, in milliseconds.
	slotMS float64
	// holdMS is how long recent requests reserved an engine's memory, in milliseconds.
	holdMS float64
	// unassignedProbability is the probability that an engine not assigned to the gateway is a candidate.
	unassignedProbability float64
	// homeProbability is, by failure domain, the probability that an engine there is a candidate for a prompt whose home
	// is that domain.
	homeProbability map[string]float64
	// shortest is the shortest target of its recent requests, highest their highest priority.
	shortest shortTarget
	highest  highPriority
	// all and low count its recent requests and those with a priority below the highest.
	all, low shedding.Tally
	// claimants is how many gateways may claim the same free memory at an engine that is not assigned to them.
	claimants int
	// topPriority is the rank of the most urgent requests seen; valid if hasPriority is set.
	topPriority int
	hasPriority bool
}

// New returns a Dispatcher for a gateway in the failure domain.
func New(domain string, seed uint64, catalogue *kvcache.Catalogue, budget BudgetConfig) *Dispatcher {
	return &Dispatcher{
		domain:     domain,
		rng:        rand.New(rand.NewPCG(seed, seed)),
		servers:    make(map[string]*server),
		services:   make(map[string]*service),
		health:     health.New(healthConfig()),
		catalogue:  catalogue,
		budgets:    make(map[string]*Budget),
		budget:     budget,
		schedule:   weights.NewSchedule(),
		peers:      make(map[string]map[string]PeerLoad),
		recent:     newRecentParts(),
		grants:     quota.NewHolder(),
		evacuated:  make(map[string]bool),
		coldStarts: new(atomic.Uint64),
	}
}

// healthConfig returns limits for servers that get several requests a second from each gateway.
func healthConfig() health.Config {
	c := health.DefaultConfig()
	c.HalfLife = 2 * time.Second
	c.BaseEjection = 1500 * time.Millisecond
	c.MaxEjection = 6 * time.Second
	c.ErrorMargin = 0.25
	return c
}

// SetServices replaces the services by those of a configuration. Measured times of services that stay are kept.
func (d *Dispatcher) SetServices(services []routing.Service) {
	kept := make(map[string]*service, len(services))
	for _, s := range services {
		current := d.services[s.Name]
		if current == nil {
			current = &service{tokenMS: defaultTokenMS, workMS: defaultWorkMS, holdMS: defaultHoldMS, slotMS: defaultSlotMS}
		}
		current.Service = s
		kept[s.Name] = current
	}
	d.services = kept
	d.setHasColdRate()
	d.groupServers()
}

// SetServers replaces the registered servers. The state of servers that stay and have not restarted is kept.
func (d *Dispatcher) SetServers(servers []backend.Server) {
	kept := make(map[string]*server, len(servers))
	for _, s := range servers {
		current := d.servers[s.ID]
		if current == nil || current.StartedMS != s.StartedMS && s.StartedMS != 0 && current.StartedMS != 0 {
			latest := int64(0)
			if current != nil {
				latest = current.latestStartMS
			}
			current = &server{weightVersion: make(map[string]int64), slowness: 1, latestStartMS: latest, cold: coldState{starts: d.coldStarts}}
		}
		current.Server = s
		current.latestStartMS = max(current.latestStartMS, s.StartedMS)
		for model, v := range s.Versions {
			current.weightVersion[model] = max(current.weightVersion[model], v)
		}
		kept[s.ID] = current
		d.health.Add(health.Replica{ID: s.ID, Service: s.Service, FailureDomain: s.FailureDomain})
	}
	for id := range d.servers {
		if kept[id] == nil {
			d.health.Remove(id)
			d.grants.Forget(id)
		}
	}
	d.servers = kept
	d.markReplaced()
	d.groupServers()
	d.sumPeers()
}

func (d *Dispatcher) groupServers() {
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
	d.assignEngines()
}

// Evaluate updates the servers' health and returns the changes. It is called a few times a second.
func (d *Dispatcher) Evaluate(now time.Time) []health.Change {
	d.catalogue.Expire(now)
	d.expireReplaced(now)
	return d.health.Evaluate(now)
}
