package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

const (
	// defaultTokenMS and defaultWorkMS are used until requests have been measured.
	defaultTokenMS = 0.015
	defaultWorkMS  = 50.0
	// firstTokenMS is the time to first token without the computation of the prompt.
	firstTokenMS = 35.0
	// runningRequestMS is what each running request adds to the time to first token, because it takes part in
	// each step of the batch.
	runningRequestMS = 0.8
	// fetchTargetShare is a share of the target latency. If the predicted time stays within it, cached parts
	// are fetched even if computing them would be faster, because computing delays other requests at the engine.
	fetchTargetShare = 0.9
	// fetchCutoffShare is the share of the target latency after which a fetch is abandoned. It leaves time to
	// compute the prompt.
	fetchCutoffShare = 0.5
	// distantPenaltyShare is the penalty for a server in another failure domain, as a share of the target latency:
	// traffic between failure domains is slower and is billed.
	distantPenaltyShare = 0.15
	// migrationPenaltyShare is the penalty for moving a prompt to new weights too early, or for keeping it on old
	// weights too long, as a share of the target latency. weightMigration defines the order.
	migrationPenaltyShare = 0.25
	// suspectPenaltyMS is the penalty for a server that may be tried again but has not responded since it failed.
	suspectPenaltyMS = 400.0
	// coldPenaltyMS is the penalty for a server that is still slow after its start.
	coldPenaltyMS = 100.0
	// recentComputeCredit is the credit for a server that recently computed most of the prompt, as a share of the
	// time to fetch it.
	recentComputeCredit = 1.0
	// plainQueueFactor is how many requests per slot a plain server may have before it counts as full: its
	// queue is a few times its slots.
	plainQueueFactor = 4
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal before jitter is added.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// limitedRetryAfter is the RetryAfter of a request that the limits of all servers leave no room for. What they allow
	// is used by then, and the callers that come back share what comes after.
	limitedRetryAfter = time.Second
	// loadReportTTL is how long a load that a server reported is used.
	loadReportTTL = 300 * time.Millisecond
)

// Place picks a server for the request. It returns a Refusal if no server is usable or the best one is overloaded.
func (d *Dispatcher) Place(now time.Time, r *Request) (Placement, *Refusal) {
	p, refusal := d.place(now, r)
	if group := d.services[r.Service]; group != nil && d.Sheds() && (refusal == nil || refusal.Shed != nil) {
		group.recordPlaced(r, refusal == nil)
	}
	return p, refusal
}

func (d *Dispatcher) place(now time.Time, r *Request) (Placement, *Refusal) {
	d.cached, d.home = d.cached[:0], ""
	group := d.services[r.Service]
	if group == nil || len(group.servers) == 0 {
		return Placement{}, d.refuse(NoServer, maxRetryAfter)
	}
	d.begin(now, r, group)
	best, score, candidates, _ := d.search(now, r, group)
	if best == nil {
		return Placement{}, d.refuse(d.refusalCause(now, r, group))
	}
	p := d.placementAt(now, r, group, best)
	p.Score, p.Candidates = score, candidates
	cold := d.isCold(now, best)
	if cold {
		// A request that is refused in any case must not ask for a grant, or use one up.
		if refusal := d.refuseOverloaded(now, r, group, best, &p); refusal != nil {
			return Placement{}, refusal
		}
	}
	if d.needsGrant(now, best) && !d.grants.Take(now, best.ID) {
		return Placement{}, d.refuseUngranted(now, best)
	}
	d.health.Allow(now, best.ID)
	p.warm, p.coldStarts = group.ColdPerSecond > 0 && !cold, d.coldStarts.Load()
	if cold {
		p.SendBy = d.grants.ExpiresAt(best.ID)
	} else if refusal := d.refuseOverloaded(now, r, group, best, &p); refusal != nil {
		return Placement{}, refusal
	}
	if r.Model != "" {
		d.planCache(now, r, group, best, &p)
	}
	return p, nil
}

// begin prepares the placement of a request to a service.
func (d *Dispatcher) begin(now time.Time, r *Request, group *service) {
	group.highest.observe(now, r.Priority)
	if r.Model == "" {
		return
	}
	d.migration = d.migrationOf(r)
	d.home = d.homeOf(now, r)
	group.observePriority(r.Priority)
	group.shortest.observe(now, r.TargetLatency)
}

// refuseUngranted returns the refusal of a request for which the best server needs a grant that isn't at hand.
func (d *Dispatcher) refuseUngranted(now time.Time, best *server) *Refusal {
	reason := AllLimited
	if !best.limit.stated {
		reason = AllCold
	}
	refusal := d.refuse(reason, limitedRetryAfter)
	refusal.GrantFrom, refusal.FromCold = best.ID, d.isCold(now, best)
	return refusal
}

// placementAt returns the placement of a request at the server, without a plan for KV cache.
func (d *Dispatcher) placementAt(now time.Time, r *Request, group *service, s *server) Placement {
	p := Placement{
		Server: s.ID, Address: s.Address, FailureDomain: s.FailureDomain,
		Service: s.Service, SoftwareVersion: s.SoftwareVersion, StartedMS: s.StartedMS, bytes: r.Bytes,
	}
	p.EmptyQueue = s.waitingTokens+s.peerLoad.WaitingTokens == 0 && (r.Model != "" || s.running+s.peerLoad.Running < s.Slots)
	p.PredictedTTFB = milliseconds(d.predictMS(now, r, group, s))
	p.setSpeed(now, s)
	return p
}

// search runs the passes in order until one finds a server that is not overloaded; from passAll on it takes any server
// found, and returns the last pass that it ran. The last pass includes servers that are only suspected to be unusable, because trying
// one of them is better than a refusal. Servers with a limit come before overloaded and suspected ones.
func (d *Dispatcher) search(now time.Time, r *Request, group *service) (best *server, score float64, candidates int, pass searchPass) {
	for _, pass = range []searchPass{passRechecked, passSampled, passNotOverloaded, passLimited, passAll, passRelaxed} {
		best, score, candidates = d.pick(now, r, group, pass)
		if best == nil {
			continue
		}
		if late, _ := d.overload(now, r, group, best); late <= 0 || pass >= passAll {
			break
		}
	}
	return best, score, candidates, pass
}

// planCache adds the weight version and the plan of KV cache fetches and saves to a placement.
func (d *Dispatcher) planCache(now time.Time, r *Request, group *service, s *server, p *Placement) {
	estimate := d.estimateTTFT(now, r, group, s, d.runningAt(now, s))
	p.PredictedTTFB, p.EngineTime = milliseconds(estimate.totalMS()), milliseconds(estimate.engineMS())
	p.Version, p.WeightsDueIn = s.weightVersion[r.Model], d.weightsDueIn(now, s, r.Model)
	p.Salt = d.cachedAt(now, r, p.Version, s.FailureDomain).salt
	g := kvcache.Generation{Model: r.Model, Version: p.Version}
	plan := d.catalogue.Plan(g, p.Salt, r.Parts, s.FailureDomain, estimate.useFetch, now)
	if r.TimeLeft > 0 {
		d.catalogue.LimitSaves(&plan, now.Add(r.TimeLeft))
	}
	plan.Until = now.Add(min(plan.Until.Sub(now), time.Duration(fetchCutoffShare*float64(r.TargetLatency))))
	p.Plan = &plan
	p.ComputeTokens = max(1, r.PromptTokens-plan.FetchTokens)
	p.slotWaitMS = estimate.slotWaitMS
	p.engine, p.parts, p.outputTokens, p.reservedTokens = s, r.Parts, r.OutputTokens, s.memory.need(r)
	d.recent.record(p.Salt, r.Parts, s.ID, now)
}

// searchPass defines which servers are candidates for a placement.
type searchPass uint8

const (
	// passRechecked considers servers with a limit that a request must show to be still in force.
	passRechecked searchPass = iota
	// passSampled considers the gateway's assigned engines and a random sample of the others.
	passSampled
	// passNotOverloaded draws a new sample and skips overloaded engines.
	passNotOverloaded
	// passLimited considers servers with a limit that aren't overloaded.
	passLimited
	passAll
	// passRelaxed also considers servers that are only suspected to be unusable.
	passRelaxed
)

// pick returns the usable server with the lowest score.
func (d *Dispatcher) pick(now time.Time, r *Request, group *service, pass searchPass) (best *server, score float64, candidates int) {
	for _, s := range group.servers {
		if !d.inPass(now, r, s, pass) {
			continue
		}
		if pass <= passNotOverloaded && s.unassigned && !d.hasColdGrant(now, s) && d.rng.Float64() > d.candidateProbability(group, s) {
			continue
		}
		if !d.usable(now, r, s, pass == passRelaxed) {
			continue
		}
		above := pass <= passNotOverloaded && d.aboveSendBound(now, group, s)
		if above && pass < passNotOverloaded {
			continue
		}
		if pass == passNotOverloaded || s.limit.stated {
			if late, _ := d.overload(now, r, group, s); late > 0 {
				continue
			}
		}
		candidates++
		cost := d.score(now, r, group, s)
		if above {
			cost += r.aboveBoundPenaltyMS()
		}
		if best == nil || cost < score {
			best, score = s, cost
		}
	}
	return best, score, candidates
}

// inPass reports whether the pass considers the server. Passes other than passRechecked and passLimited are for servers
// without a limit. Cold servers are in no pass unless a grant is at hand or may be asked for.
func (d *Dispatcher) inPass(now time.Time, r *Request, s *server, pass searchPass) bool {
	if d.isColdWithoutGrant(now, r, s) {
		return false
	}
	switch pass {
	case passRechecked:
		return s.limit.stated && s.limit.recheck && d.mayBeGranted(now, s)
	case passLimited:
		return s.limit.stated && d.mayBeGranted(now, s)
	default:
		return !s.limit.stated
	}
}

// usable reports whether the server can run the request and, unless relaxed, whether it should. When relaxed, health,
// exclusions, full queues, recent refusals and a first failure to connect are ignored. A server that is about to stop,
// that has asked for no requests, or whose failure domain is evacuated, gets none in any case.
func (d *Dispatcher) usable(now time.Time, r *Request, s *server, relaxed bool) bool {
	return d.filter(now, r, s, relaxed, 0) == 0
}

// canContinue reports whether what the server writes fits what the caller has of the stream. What servers of different software
// versions write doesn't.
func (s *server) canContinue(now time.Time, r *Request) bool {
	return !r.Continues || r.SoftwareVersion != "" && s.SoftwareVersion == r.SoftwareVersion && s.isRegisteredRun(now)
}

// full reports whether a plain server has as many requests as its queue takes.
func (d *Dispatcher) full(r *Request, s *server) bool {
	return r.Model == "" && s.Slots > 0 && s.running+s.peerLoad.Running >= plainQueueFactor*s.Slots
}

// score returns the predicted time to the first byte plus penalties, in milliseconds; the lowest score is best. A small
// random term distributes requests over equal servers.
func (d *Dispatcher) score(now time.Time, r *Request, group *service, s *server) float64 {
	return d.penalties(now, r, group, s).addTo(d.predictMS(now, r, group, s)) + d.rng.Float64()
}

// penalties are what a server's score has beyond the predicted time, in milliseconds.
type penalties struct {
	distanceMS, suspectMS, migrationMS, warmUpMS, askMS float64
}

func (p penalties) addTo(ms float64) float64 {
	return ms + p.distanceMS + p.suspectMS + p.migrationMS + p.warmUpMS + p.askMS
}

// penalties returns the penalties for placing the request on the server.
func (d *Dispatcher) penalties(now time.Time, r *Request, group *service, s *server) (p penalties) {
	p.distanceMS = d.distancePenalty(r, s) * float64(r.TargetLatency.Milliseconds())
	if s.unreachableCount > 0 {
		p.suspectMS = suspectPenaltyMS
	}
	if r.Model != "" && d.migration.outOfOrder(s.weightVersion[r.Model]) {
		p.migrationMS = migrationPenaltyShare * float64(r.TargetLatency.Milliseconds())
	}
	if s.WarmUpLeft > 0 && group.ColdPerSecond <= 0 {
		p.warmUpMS = coldPenaltyMS
	}
	if d.isCold(now, s) && !d.grants.Has(now, s.ID) {
		p.askMS = askPenaltyMS
	}
	return p
}

// runningAt estimates how many requests are running or waiting at the server.
func (d *Dispatcher) runningAt(now time.Time, s *server) int {
	running := s.running + s.peerLoad.Running
	if now.Sub(s.reportedLoadAt) < loadReportTTL {
		running = max(running, s.reportedLoad.Running+s.reportedLoad.Waiting)
	}
	return running
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// weightMigration is the position of a prompt in the order in which prompts move to new weights. That is the order in
// which their shared parts retire, so that each part is computed only once for the new weights and is cached there when
// a prompt uses it again.
type weightMigration struct {
	// target is the target weight version.
	target int64
	// due reports, by old weight version, whether the prompt should have left that version.
	due map[int64]bool
	// early reports that some engines still have older weights and that the prompt should not have left the
	// oldest version yet.
	early bool
	// active reports that the prompt has a shared part and that a weight change is in progress.
	active bool
}

// migrationOf returns the position of the prompt in the migration to the target weight version.
func (d *Dispatcher) migrationOf(r *Request) weightMigration {
	part := sharedPart(r.Parts)
	t := weightMigration{target: d.schedule.Newest(r.Model)}
	oldest := d.oldestVersion(r.Model)
	if part == "" || oldest >= t.target {
		return t
	}
	t.active = true
	t.due = make(map[int64]bool)
	rank := kvcache.RetirementRank(part)
	for g, retired := range d.catalogue.RetiredShares() {
		if g.Model == r.Model && g.Version < t.target {
			t.due[g.Version] = rank < retired
		}
	}
	t.early = !t.due[oldest]
	return t
}

// outOfOrder reports whether a server with the weight version would move the prompt to new weights too early or keep
// it on old weights too long.
func (t *weightMigration) outOfOrder(version int64) bool {
	if !t.active {
		return false
	}
	if version >= t.target {
		return t.early
	}
	return t.due[version]
}

// predictMS returns the expected time to the first byte at the server, in milliseconds.
func (d *Dispatcher) predictMS(now time.Time, r *Request, group *service, s *server) float64 {
	running := d.runningAt(now, s)
	if r.Model == "" {
		waiting := max(0, running+1-s.Slots)
		return d.workMS(now, group, s) * (1 + float64(waiting)/float64(max(1, s.Slots)) + 0.1*float64(running)/float64(max(1, s.Slots)))
	}
	t := d.estimateTTFT(now, r, group, s, running)
	return t.totalMS()
}

// workMS returns the expected time of a request at a plain server without other requests, in milliseconds.
func (d *Dispatcher) workMS(now time.Time, group *service, s *server) float64 {
	return d.speedFactor(now, s) * s.slowness * group.workMS
}

// ttftEstimate holds the components of a predicted time to first token, in milliseconds.
type ttftEstimate struct {
	// computeMS is the compute time of the engine for the requests ahead and for this prompt.
	computeMS float64
	// queueMS is the part of computeMS for the requests ahead.
	queueMS float64
	// fetchMS is the time of the fetches, which run while the engine computes other prompts.
	fetchMS float64
	// memoryWaitMS is the time until the engine has enough free memory for the prompt.
	memoryWaitMS float64
	// slotWaitMS is the time until the engine has a free slot.
	slotWaitMS float64
	// useFetch reports whether cached parts are fetched rather than computed.
	useFetch bool
}

// waitMS returns the part of the time that is waiting for other prompts at the engine.
func (t *ttftEstimate) waitMS() float64 { return t.queueMS + t.memoryWaitMS + t.slotWaitMS }

func (t *ttftEstimate) totalMS() float64 { return t.engineMS() + t.fetchMS }

// engineMS returns the part of the time that the engine itself takes or lets the request wait.
func (t *ttftEstimate) engineMS() float64 { return t.computeMS + t.memoryWaitMS + t.slotWaitMS }

// shortestTTFT returns the expected time to first token in whichever of two ways is shorter, with the cached parts
// fetched or with all of the prompt computed, and how much of it is waiting for other prompts. A prompt isn't refused
// because a store is slow, as the engine can do without it.
func (d *Dispatcher) shortestTTFT(now time.Time, r *Request, group *service, s *server) (ttft, wait time.Duration) {
	cached := d.cachedAt(now, r, s.weightVersion[r.Model], s.FailureDomain)
	fetched, computed := d.estimates(now, r, group, s, d.runningAt(now, s))
	if d.Sheds() {
		if computed.totalMS() < fetched.totalMS() {
			return milliseconds(computed.totalMS()), milliseconds(computed.waitMS())
		}
		return milliseconds(fetched.totalMS()), milliseconds(fetched.waitMS() + max(0, fetched.fetchMS-cached.TransferMS))
	}
	speed := d.speedFactor(now, s)
	if computed.totalMS() < fetched.totalMS() {
		unqueuedMS := speed * (firstTokenMS + float64(r.PromptTokens)*group.tokenMS)
		return milliseconds(computed.totalMS()), milliseconds(computed.totalMS() - unqueuedMS)
	}
	unqueuedMS := speed*firstTokenMS + cached.TransferMS + speed*float64(r.PromptTokens-cached.Tokens)*group.tokenMS
	return milliseconds(fetched.totalMS()), milliseconds(fetched.totalMS() - unqueuedMS)
}

// estimateTTFT predicts the time to first token at an engine. The cached parts of the prompt are fetched, unless only
// computing them keeps the time within fetchTargetShare.
func (d *Dispatcher) estimateTTFT(now time.Time, r *Request, group *service, s *server, running int) ttftEstimate {
	fetched, computed := d.estimates(now, r, group, s, running)
	limitMS := fetchTargetShare * float64(r.TargetLatency.Milliseconds())
	if fetched.totalMS() > limitMS && computed.totalMS() <= limitMS {
		return computed
	}
	return fetched
}

// estimates predicts the time to first token at an engine when the cached parts of the prompt are fetched, and when all
// of it is computed.
func (d *Dispatcher) estimates(now time.Time, r *Request, group *service, s *server, running int) (fetched, computed ttftEstimate) {
	cached := d.cachedAt(now, r, s.weightVersion[r.Model], s.FailureDomain)
	aheadMS := firstTokenMS + float64(s.waitingTokens+s.peerLoad.WaitingTokens+d.unseenTokens(now, s))*group.tokenMS + float64(running)*runningRequestMS
	computeMS := float64(max(0, r.PromptTokens-cached.Tokens)) * group.tokenMS
	fetchMS := cached.MS
	if d.recent.computedBy(cached.salt, r.Parts, s.ID, now) {
		ownMS := float64(r.PromptTokens-sharedTokens(r)) * group.tokenMS
		computeMS, fetchMS = min(computeMS, ownMS), fetchMS*(1-recentComputeCredit)
	}
	speed := d.speedFactor(now, s)
	memoryWaitMS, slotWaitMS := speed*d.memoryWaitMS(now, r, group, s), speed*group.slotWaitMS(s, running)
	queueMS := speed * s.slowness * (aheadMS - firstTokenMS)
	fetched = ttftEstimate{
		computeMS: speed * s.slowness * (aheadMS + computeMS), queueMS: queueMS, fetchMS: fetchMS,
		memoryWaitMS: memoryWaitMS, slotWaitMS: slotWaitMS, useFetch: true,
	}
	computed = ttftEstimate{
		computeMS: speed * s.slowness * (aheadMS + float64(r.PromptTokens)*group.tokenMS), queueMS: queueMS,
		memoryWaitMS: memoryWaitMS, slotWaitMS: slotWaitMS,
	}
	return fetched, computed
}

// cachedPrompt is the part of the prompt being placed that the stores hold, for one weight version and one failure
// domain.
type cachedPrompt struct {
	kvcache.Estimate
	version int64
	domain  string
	salt    string
}

// cachedAt looks up the cached parts of the prompt, once per placement for each weight version and failure domain.
func (d *Dispatcher) cachedAt(now time.Time, r *Request, version int64, domain string) cachedPrompt {
	for _, c := range d.cached {
		if c.version == version && c.domain == domain {
			return c
		}
	}
	g := kvcache.Generation{Model: r.Model, Version: version}
	c := cachedPrompt{version: version, domain: domain, salt: kvcache.Salt(g, r.CacheBoundary)}
	c.Estimate = d.catalogue.Estimate(g, c.salt, r.Parts, domain, now)
	d.cached = append(d.cached, c)
	return c
}

// sharedTokens returns the number of tokens in all parts but the last, which belongs to this request alone.
func sharedTokens(r *Request) int {
	tokens := 0
	for i := range max(0, len(r.Parts)-1) {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}
