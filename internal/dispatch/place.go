package dispatch

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
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
	// fetchShare is the time to fetch a token from a store, as a share of the time to compute it.
	fetchShare = 0.15
	// distantShare is the share of the target latency that a server in another failure domain costs
	// besides: traffic between failure domains is slower and charged.
	distantShare = 0.15
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
	best, score, candidates := d.pick(now, r, group, false)
	if best == nil {
		// Suspicion and load are beliefs: a server that may serve is better than a refusal.
		best, score, candidates = d.pick(now, r, group, true)
	}
	if best == nil {
		return Placement{}, d.refuse(d.obstacle(now, r, group))
	}
	p := Placement{
		Server: best.ID, Address: best.Address, Domain: best.FailureDomain,
		Score: score, Candidates: candidates,
	}
	d.health.Allow(now, best.ID)
	p.Predicted = time.Duration(d.predict(now, r, group, best) * float64(time.Millisecond))
	if r.Model != "" {
		d.plan(now, r, best, &p)
	}
	return p, nil
}

// plan adds the weight version and the KV cache to a placement.
func (d *Dispatcher) plan(now time.Time, r *Request, s *server, p *Placement) {
	p.Version = s.version[r.Model]
	p.Salt = d.cachedAt(now, r, p.Version).salt
	plan := d.catalogue.Plan(p.Salt, r.Parts, s.FailureDomain, now)
	p.Plan = &plan
	p.Tokens = max(1, r.PromptTokens-plan.FetchTokens)
	d.recent.add(p.Salt, r.Parts, s.ID, now)
}

// Salt keeps KV cache apart by model, weight version and wall.
func Salt(model string, version int64, wall string) string {
	return model + "." + strconv.FormatInt(version, 10) + "." + wall
}

// VersionOf returns the weight version in a salt of the model.
func VersionOf(salt, model string) (version int64, ok bool) {
	rest, ok := strings.CutPrefix(salt, model+".")
	if !ok {
		return 0, false
	}
	number, _, ok := strings.Cut(rest, ".")
	if !ok {
		return 0, false
	}
	version, err := strconv.ParseInt(number, 10, 64)
	return version, err == nil
}

// pick returns the usable server with the lowest score. When relaxed, servers that are only believed
// to be bad are usable too.
func (d *Dispatcher) pick(now time.Time, r *Request, group *service, relaxed bool) (best *server, score float64, candidates int) {
	for _, s := range group.servers {
		if !d.usable(now, r, s, relaxed) {
			continue
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
	if r.Model != "" && (s.version[r.Model] == 0 || s.version[r.Model] < r.MinVersion) {
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
	if s.suspected > 0 {
		cost += suspectMS
	}
	if s.Cold > 0 {
		cost += coldMS
	}
	return cost + d.rng.Float64()
}

// predict returns the expected time to the first byte at the server, in milliseconds.
func (d *Dispatcher) predict(now time.Time, r *Request, group *service, s *server) float64 {
	running := s.running + s.others.Running
	if now.Sub(s.loadAt) < loadFresh {
		running = max(running, s.load.Running+s.load.Waiting)
	}
	if r.Model == "" {
		waiting := max(0, running+1-s.Slots)
		return s.slowness * group.workMS * (1 + float64(waiting)/float64(max(1, s.Slots)) + 0.1*float64(running)/float64(max(1, s.Slots)))
	}
	cached := d.cachedAt(now, r, s.version[r.Model])
	read := max(0, r.PromptTokens-cached.tokens)
	fetch := fetchShare * float64(cached.tokens)
	if d.recent.at(cached.salt, r.Parts, s.ID, now) {
		fetch -= recentShare * fetch
		read = min(read, r.PromptTokens-sharedTokens(r))
	}
	tokens := float64(s.tokens+s.others.Tokens+read) + fetch
	return s.slowness * (firstTokenMS + tokens*group.tokenMS + float64(running)*runningMS)
}

// cachedPrompt is what the stores hold of the request being placed, for one weight version.
type cachedPrompt struct {
	version int64
	salt    string
	tokens  int
}

// cachedAt looks the prompt up once for each weight version that the servers have.
func (d *Dispatcher) cachedAt(now time.Time, r *Request, version int64) cachedPrompt {
	for _, c := range d.cached {
		if c.version == version {
			return c
		}
	}
	c := cachedPrompt{version: version, salt: Salt(r.Model, version, r.Wall)}
	c.tokens = d.catalogue.Fetchable(c.salt, r.Parts, now)
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
