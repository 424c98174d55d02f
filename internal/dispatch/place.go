package dispatch

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/kvcache"
)

const (
	// defaultTokenMS and defaultWorkMS stand in until requests were measured.
	defaultTokenMS = 0.015
	defaultWorkMS  = 50.0
	// firstTokenMS is the time to a first token apart from computing the prompt.
	firstTokenMS = 35.0
	// runningMS is what each running request adds to the time of a first token: it takes its share of
	// each step of the batch.
	runningMS = 0.8
	// fetchWithin is the share of the target latency within which cached parts are fetched even if
	// computing them would be quicker: computing takes the engine away from other requests.
	fetchWithin = 0.9
	// fetchUntil is the share of the target latency after which a fetch is thrown away: there is still time to
	// read the prompt then.
	fetchUntil = 0.5
	// distantShare is the share of the target latency that a server in another failure domain costs
	// besides: traffic between failure domains is slower and charged.
	distantShare = 0.15
	// movesShare is the share of the target latency that it costs to take a prompt to other weights before
	// its turn, or to keep it back.
	movesShare = 0.25
	// suspectMS is what a server costs whose suspicion is over but that has not answered since.
	suspectMS = 400.0
	// coldMS is what a server costs that is slow after its start.
	coldMS = 100.0
	// recentShare is the credit for a server that read most of the prompt a moment ago, as a share of
	// the time to fetch it.
	recentShare = 1.0
	// plainWaitFactor is how many requests a plain server may hold for each of its slots before it
	// counts as full: its queue is a few times its slots.
	plainWaitFactor = 4
	// lateShare is the share of the target latency that a first token may be expected to take before a prompt
	// is refused, if it waits for others for waitShare of it: queues that are let grow make nearly every
	// answer late, and engines that hold many prompts run out of memory and compute them twice.
	lateShare = 0.6
	waitShare = 0.1
	// yieldShare is the share of the target latency that a prompt may wait for memory while more urgent ones
	// need it too.
	yieldShare = 0.1
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// loadFresh is how long a server's own word on its load counts.
	loadFresh = 300 * time.Millisecond
)

// Place picks a server for the request, or refuses it.
func (d *Dispatcher) Place(now time.Time, r *Request) (Placement, *Refusal) {
	d.cached = d.cached[:0]
	group := d.services[r.Service]
	if group == nil || len(group.servers) == 0 {
		return Placement{}, d.refuse(NoServer, maxRetryAfter)
	}
	if r.Model != "" {
		d.turn = d.turnOf(r)
		group.rank(r.Priority)
	}
	best, score, candidates := d.search(now, r, group)
	if best == nil {
		return Placement{}, d.refuse(d.obstacle(now, r, group))
	}
	p := Placement{
		Server: best.ID, Address: best.Address, Domain: best.FailureDomain,
		Score: score, Candidates: candidates,
	}
	p.Alone = best.tokens+best.others.Tokens == 0 && (r.Model != "" || best.running+best.others.Running < best.Slots)
	d.health.Allow(now, best.ID)
	p.Predicted = milliseconds(d.predict(now, r, group, best))
	if late, wait := d.crowded(now, r, group, best); late > 0 {
		refusal := d.refuse(Crowded, late)
		refusal.Server, refusal.Predicted, refusal.Wait = best.ID, p.Predicted, wait
		refusal.AheadTokens, refusal.AheadOthers = best.tokens, best.others.Tokens
		refusal.HeldTokens, refusal.HeldOthers = best.memory.tokens, best.others.Held
		refusal.Slowness = best.slowness
		return Placement{}, refusal
	}
	if r.Model != "" {
		d.plan(now, r, group, best, &p)
	}
	return p, nil
}

// search looks at a few servers, then at a few for one that isn't crowded, whatever it costs besides, then at all, and
// at last at those that are only believed to be bad: a server that may serve is better than a refusal.
func (d *Dispatcher) search(now time.Time, r *Request, group *service) (best *server, score float64, candidates int) {
	for _, at := range []look{some, free, all, relaxed} {
		best, score, candidates = d.pick(now, r, group, at)
		if best == nil {
			continue
		}
		if late, _ := d.crowded(now, r, group, best); late <= 0 || at >= all {
			break
		}
	}
	return best, score, candidates
}

// crowded returns by how much a prompt would be late that waits for others at the server, or for memory that
// more urgent ones need, and how long it would wait; nothing when it may go there.
func (d *Dispatcher) crowded(now time.Time, r *Request, group *service, s *server) (late, wait time.Duration) {
	if r.Model == "" {
		return 0, 0
	}
	wait = d.wait(now, r, group, s)
	predicted := milliseconds(d.predict(now, r, group, s))
	late = predicted - time.Duration(lateShare*float64(r.Target))
	if r.Priority > group.first {
		late = max(late, milliseconds(group.memoryWait(r, s))-time.Duration(yieldShare*float64(r.Target)))
	}
	if wait <= time.Duration(waitShare*float64(r.Target)) {
		return 0, wait
	}
	return late, wait
}

// plan adds the weight version and the KV cache to a placement.
func (d *Dispatcher) plan(now time.Time, r *Request, group *service, s *server, p *Placement) {
	times := d.engineTimes(now, r, group, s, d.running(now, s))
	p.Predicted, p.Compute = milliseconds(times.ms()), milliseconds(times.compute)
	p.Version = s.version[r.Model]
	p.Salt = d.cachedAt(now, r, p.Version, s.FailureDomain).salt
	g := kvcache.Generation{Model: r.Model, Version: p.Version}
	plan := d.catalogue.Plan(g, p.Salt, r.Parts, s.FailureDomain, times.fetches, now)
	plan.Until = now.Add(min(plan.Until.Sub(now), time.Duration(fetchUntil*float64(r.Target))))
	p.Plan = &plan
	p.Tokens = max(1, r.PromptTokens-plan.FetchTokens)
	p.engine, p.parts, p.output, p.holds = s, r.Parts, r.OutputTokens, s.memory.need(r)
	d.recent.add(p.Salt, r.Parts, s.ID, now)
}

// look says which servers a placement looks at.
type look uint8

const (
	// some are the gateway's own engines and a few others.
	some look = iota
	// free are the same, drawn anew, of which only those that aren't crowded count.
	free
	all
	// relaxed are also those that are only believed to be bad.
	relaxed
)

// pick returns the usable server with the lowest score.
func (d *Dispatcher) pick(now time.Time, r *Request, group *service, at look) (best *server, score float64, candidates int) {
	for _, s := range group.servers {
		if at <= free && s.away && d.rng.Float64() > group.awayChance {
			continue
		}
		if !d.usable(now, r, s, at == relaxed) {
			continue
		}
		if at == free {
			if late, _ := d.crowded(now, r, group, s); late > 0 {
				continue
			}
		}
		candidates++
		cost := d.score(now, r, group, s)
		if best == nil || cost < score {
			best, score = s, cost
		}
	}
	return best, score, candidates
}

// usable filters out servers that can't run the request and, unless relaxed, those that shouldn't.
func (d *Dispatcher) usable(now time.Time, r *Request, s *server, relaxed bool) bool {
	if s.State != backend.Ready || slices.Contains(r.Tried, s.ID) {
		return false
	}
	if r.Model != "" && (s.version[r.Model] == 0 || s.version[r.Model] < r.MinVersion || d.overdue(now, s, r.Model)) {
		return false
	}
	if relaxed {
		return !now.Before(s.suspectUntil) || s.suspected <= 1
	}
	if now.Before(s.suspectUntil) || now.Before(s.withheldUntil) || now.Before(s.fullUntil) {
		return false
	}
	return d.health.Usable(now, s.ID) && !d.full(r, s)
}

// full reports whether a plain server holds more requests than its queue takes.
func (d *Dispatcher) full(r *Request, s *server) bool {
	return r.Model == "" && s.Slots > 0 && s.running+s.others.Running >= plainWaitFactor*s.Slots
}

// score is the predicted time to the first byte, in milliseconds, with what else a server costs. A
// small random part spreads equal servers.
func (d *Dispatcher) score(now time.Time, r *Request, group *service, s *server) float64 {
	cost := d.predict(now, r, group, s)
	if s.FailureDomain != d.domain {
		cost += distantShare * float64(r.Target.Milliseconds())
	}
	if s.away {
		cost += homeShare * float64(r.Target.Milliseconds())
	}
	if s.suspected > 0 {
		cost += suspectMS
	}
	if r.Model != "" && d.turn.against(s.version[r.Model]) {
		cost += movesShare * float64(r.Target.Milliseconds())
	}
	if s.Cold > 0 {
		cost += coldMS
	}
	return cost + d.rng.Float64()
}

// running returns how many requests the server is believed to hold.
func (d *Dispatcher) running(now time.Time, s *server) int {
	running := s.running + s.others.Running
	if now.Sub(s.loadAt) < loadFresh {
		running = max(running, s.load.Running+s.load.Waiting)
	}
	return running
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// turn says where a prompt stands in the order in which prompts move to new weights: the order in which
// their parts retire, so that each one is computed once for the new weights and found there when it returns.
type turn struct {
	newest int64
	// moved is whether the prompt's turn has come, by the weight version that it would leave.
	moved map[int64]bool
	// pending tells that some engines still have older weights, and the turn hasn't come for the oldest.
	pending bool
	// known tells that the prompt has a part that others share, and that weights are changing.
	known bool
}

// turnOf looks the prompt's turn up.
func (d *Dispatcher) turnOf(r *Request) turn {
	part := sharedPart(r.Parts)
	t := turn{newest: d.named[r.Model].version}
	oldest := d.oldest(r.Model)
	if part == "" || oldest >= t.newest {
		return t
	}
	t.known = true
	t.moved = make(map[int64]bool)
	share := kvcache.ShareOf(part)
	for g, retired := range d.catalogue.Retired() {
		if g.Model == r.Model && g.Version < t.newest {
			t.moved[g.Version] = share < retired
		}
	}
	t.pending = !t.moved[oldest]
	return t
}

// against reports whether a server of the version would change the prompt's weights before its turn, or
// keep it back.
func (t *turn) against(version int64) bool {
	if !t.known {
		return false
	}
	if version >= t.newest {
		return t.pending
	}
	return t.moved[version]
}

// predict returns the expected time to the first byte at the server, in milliseconds.
func (d *Dispatcher) predict(now time.Time, r *Request, group *service, s *server) float64 {
	running := d.running(now, s)
	if r.Model == "" {
		waiting := max(0, running+1-s.Slots)
		return s.slowness * group.workMS * (1 + float64(waiting)/float64(max(1, s.Slots)) + 0.1*float64(running)/float64(max(1, s.Slots)))
	}
	t := d.engineTimes(now, r, group, s, running)
	return t.ms()
}

// engineTimes are the parts of a predicted time to the first token, in milliseconds.
type engineTimes struct {
	// compute is the time that the engine needs, before others and for this prompt.
	compute float64
	// fetch is the time of the fetches; they go on while others are computed.
	fetch float64
	// memory is the time until the engine has memory for the prompt.
	memory float64
	// fetches tells that cached parts are fetched rather than computed.
	fetches bool
}

func (t *engineTimes) ms() float64 { return t.compute + t.fetch + t.memory }

// wait returns how long a prompt is expected to wait for others at the engine.
func (d *Dispatcher) wait(now time.Time, r *Request, group *service, s *server) time.Duration {
	cached := d.cachedAt(now, r, s.version[r.Model], s.FailureDomain)
	t := d.engineTimes(now, r, group, s, d.running(now, s))
	alone := firstTokenMS + cached.TransferMS + float64(r.PromptTokens-cached.Tokens)*group.tokenMS
	if !t.fetches {
		alone = firstTokenMS + float64(r.PromptTokens)*group.tokenMS
	}
	return milliseconds(t.ms() - alone)
}

// engineTimes predicts the time to the first token at an engine, with the better of fetching and
// computing the cached parts of the prompt.
func (d *Dispatcher) engineTimes(now time.Time, r *Request, group *service, s *server, running int) engineTimes {
	cached := d.cachedAt(now, r, s.version[r.Model], s.FailureDomain)
	ahead := firstTokenMS + float64(s.tokens+s.others.Tokens)*group.tokenMS + float64(running)*runningMS
	read := float64(max(0, r.PromptTokens-cached.Tokens)) * group.tokenMS
	fetch := cached.MS
	if d.recent.at(cached.salt, r.Parts, s.ID, now) {
		own := float64(r.PromptTokens-sharedTokens(r)) * group.tokenMS
		read, fetch = min(read, own), fetch*(1-recentShare)
	}
	memory := group.memoryWait(r, s)
	t := engineTimes{compute: s.slowness * (ahead + read), fetch: fetch, memory: memory, fetches: true}
	target := fetchWithin * float64(r.Target.Milliseconds())
	if t.ms() <= target {
		return t
	}
	whole := engineTimes{compute: s.slowness * (ahead + float64(r.PromptTokens)*group.tokenMS), memory: memory}
	if whole.ms() <= target {
		return whole
	}
	return t
}

// cachedPrompt is what the stores hold of the request being placed, for one weight version and
// failure domain.
type cachedPrompt struct {
	kvcache.Estimate
	version int64
	domain  string
	salt    string
}

// cachedAt looks the prompt up once for each weight version and failure domain of the servers.
func (d *Dispatcher) cachedAt(now time.Time, r *Request, version int64, domain string) cachedPrompt {
	for _, c := range d.cached {
		if c.version == version && c.domain == domain {
			return c
		}
	}
	g := kvcache.Generation{Model: r.Model, Version: version}
	c := cachedPrompt{version: version, domain: domain, salt: kvcache.Salt(g, r.Wall)}
	c.Estimate = d.catalogue.Estimate(g, c.salt, r.Parts, domain, now)
	d.cached = append(d.cached, c)
	return c
}

// sharedTokens returns the tokens of all parts but the last, which is the request's own.
func sharedTokens(r *Request) int {
	tokens := 0
	for i := range max(0, len(r.Parts)-1) {
		tokens += r.Parts[i].Tokens
	}
	return tokens
}

// obstacle says why no server is usable, and when that may change.
func (d *Dispatcher) obstacle(now time.Time, r *Request, group *service) (Reason, time.Duration) {
	tried, suspect, ready := 0, 0, 0
	soonest := maxRetryAfter
	for _, s := range group.servers {
		if s.State != backend.Ready {
			continue
		}
		ready++
		if slices.Contains(r.Tried, s.ID) {
			tried++
			continue
		}
		if now.Before(s.suspectUntil) {
			suspect++
			soonest = min(soonest, s.suspectUntil.Sub(now))
		}
	}
	switch {
	case ready == 0:
		return NoServer, maxRetryAfter
	case tried == ready:
		return Exhausted, d.drainTime(group)
	case suspect > 0:
		return AllSuspect, soonest
	default:
		return AllLoading, maxRetryAfter / 2
	}
}

// drainTime estimates when a server will have a free place: the time of one request.
func (d *Dispatcher) drainTime(group *service) time.Duration {
	if group.Engine != nil {
		return 4 * minRetryAfter
	}
	return time.Duration(group.workMS * float64(time.Millisecond))
}

// refuse spreads the callers that come back.
func (d *Dispatcher) refuse(reason Reason, after time.Duration) *Refusal {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	spread := time.Duration(d.rng.Float64() * 0.5 * float64(after))
	return &Refusal{Reason: reason, RetryAfter: after + spread}
}

// Refuse returns a refusal for a request that can't be sent again.
func (d *Dispatcher) Refuse(service string, reason Reason) *Refusal {
	after := minRetryAfter
	if group := d.services[service]; group != nil {
		after = d.drainTime(group)
	}
	return d.refuse(reason, after)
}
